use std::{net::SocketAddr, time::Duration};

use hawthornstack_decisions::{
    directory::DatabaseStatus, failover::DatabaseOrder, identity::DatabaseName, pg_host::HostEvent,
    positions::LogPosition,
};
use hawthornstack_wire::reports::{order_statement, read_report, report_statement};
use ractor::ActorRef;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::{UpstreamConnection, UpstreamError, upstream_error::ConfusedSnafu};
use crate::{kernel::HostClock, pg_host::HostMessage};

/// Longest time that a database holds a report back when nothing changes.
const REPORT_WAIT: Duration = Duration::from_millis(50);
/// Shortest time between two reports of one database.
const REPORT_SPACING: Duration = Duration::from_millis(4);
/// Time after which a silent connection is replaced.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between attempts to reach a database.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Time for an order and its answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Database name under which control connects.
const CONTROL_DATABASE: &str = "hawthornstack";

/// Asks one database for reports over a connection of its own.
#[derive(Debug)]
pub(super) struct DatabaseMonitor {
    pub(super) database: DatabaseName,
    pub(super) address: SocketAddr,
    pub(super) host: ActorRef<HostMessage>,
    pub(super) clock: HostClock,
    pub(super) cancel: CancellationToken,
}

impl DatabaseMonitor {
    /// Runs until cancelled.
    pub(super) async fn run(self) {
        let cancel = self.cancel.clone();
        tokio::select! {
            () = cancel.cancelled() => {}
            () = self.watch() => {}
        }
    }

    async fn watch(&self) {
        loop {
            if let Err(error) = self.follow().await {
                let database = &self.database;
                log::debug!(target: "upstreams", "Database {database} does not report: {error}.");
            }
            let event = HostEvent::ReportFailed(self.database.clone());
            let _ = self.host.send_message(HostMessage::Event(event));
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn follow(&self) -> Result<(), UpstreamError> {
        let mut connection = UpstreamConnection::open(self.address, CONTROL_DATABASE).await?;
        let mut term = 0;
        let mut position = LogPosition::default();
        loop {
            let sent_at = self.clock.now();
            let statement = report_statement(term, position, REPORT_WAIT.as_millis() as u64);
            let status = match timeout(REPORT_TIMEOUT, ask(&mut connection, &statement)).await {
                Ok(status) => status?,
                Err(_) => return Err(UpstreamError::Late),
            };
            (term, position) = (status.term, status.position);
            let database = self.database.clone();
            let event = HostEvent::DatabaseReported { database, sent_at, status };
            let _ = self.host.send_message(HostMessage::Event(event));
            sleep(REPORT_SPACING).await;
        }
    }
}

/// Gives an order over a new connection and returns the database's status.
///
/// # Errors
/// `UpstreamError` if the database did not answer with a report in time.
pub(super) async fn give_order(
    address: SocketAddr,
    order: &DatabaseOrder,
) -> Result<DatabaseStatus, UpstreamError> {
    let exchange = async {
        let mut connection = UpstreamConnection::open(address, CONTROL_DATABASE).await?;
        ask(&mut connection, &order_statement(order)).await
    };
    match timeout(ORDER_TIMEOUT, exchange).await {
        Ok(status) => status,
        Err(_) => Err(UpstreamError::Late),
    }
}

async fn ask(
    connection: &mut UpstreamConnection,
    statement: &str,
) -> Result<DatabaseStatus, UpstreamError> {
    let segment = connection.query(statement).await?;
    let status = segment.first_row().and_then(|row| read_report(&row));
    status.map_or_else(|| ConfusedSnafu { text: "not a report" }.fail(), Ok)
}
