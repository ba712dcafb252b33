use std::{net::SocketAddr, time::Duration};

use hawthornstack_decisions::{
    directory::DatabaseStatus, failover::DatabaseOrder, identity::DatabaseName, pg_host::HostEvent,
    positions::LogPosition,
};
use hawthornstack_wire::reports::{order_statement, read_report, report_statement};
use ractor::ActorRef;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::{UpstreamConnection, UpstreamError, upstream_error::ProtocolSnafu};
use crate::{kernel::HostClock, pg_host::HostMessage};

/// Longest time that a database delays a report while nothing changes.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(50);
/// Shortest time between two reports of one database.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(4);
/// Time to wait for a report before the connection is replaced.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before the monitor reconnects to a database.
const RECONNECT_DELAY: Duration = Duration::from_millis(60);
/// Timeout for connecting, sending an order and reading its answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Database name in the start-up message of connections for reports and orders.
const CONTROL_DATABASE: &str = "hawthornstack";

/// Polls one database for reports over a dedicated connection.
#[derive(Debug)]
pub(super) struct DatabaseMonitor {
    pub(super) database: DatabaseName,
    pub(super) address: SocketAddr,
    pub(super) host: ActorRef<HostMessage>,
    pub(super) clock: HostClock,
    pub(super) cancel: CancellationToken,
}

impl DatabaseMonitor {
    /// Polls the database until cancelled.
    pub(super) async fn run(self) {
        let cancel = self.cancel.clone();
        tokio::select! {
            () = cancel.cancelled() => {}
            () = self.poll_with_reconnect() => {}
        }
    }

    async fn poll_with_reconnect(&self) {
        loop {
            if let Err(error) = self.poll_reports().await {
                let database = &self.database;
                log::debug!(
                    target: "upstreams",
                    "Polling database {database} failed; reconnecting: {error}."
                );
            }
            let event = HostEvent::ReportFailed(self.database.clone());
            let _ = self.host.send_message(HostMessage::Event(event));
            sleep(RECONNECT_DELAY).await;
        }
    }

    async fn poll_reports(&self) -> Result<(), UpstreamError> {
        let mut connection = UpstreamConnection::open(self.address, CONTROL_DATABASE).await?;
        let mut term = 0;
        let mut position = LogPosition::default();
        loop {
            let sent_at = self.clock.now();
            let statement = report_statement(term, position, MAX_REPORT_DELAY.as_millis() as u64);
            let status =
                match timeout(REPORT_TIMEOUT, query_status(&mut connection, &statement)).await {
                    Ok(status) => status?,
                    Err(_) => return Err(UpstreamError::TimedOut),
                };
            (term, position) = (status.term, status.position);
            let database = self.database.clone();
            let event = HostEvent::DatabaseReported { database, sent_at, status };
            let _ = self.host.send_message(HostMessage::Event(event));
            sleep(MIN_REPORT_INTERVAL).await;
        }
    }
}

/// Sends an order over a new connection and returns the database's status.
///
/// # Errors
/// `UpstreamError` if the database does not answer with a report in time.
pub(super) async fn send_order(
    address: SocketAddr,
    order: &DatabaseOrder,
) -> Result<DatabaseStatus, UpstreamError> {
    let exchange = async {
        let mut connection = UpstreamConnection::open(address, CONTROL_DATABASE).await?;
        query_status(&mut connection, &order_statement(order)).await
    };
    match timeout(ORDER_TIMEOUT, exchange).await {
        Ok(status) => status,
        Err(_) => Err(UpstreamError::TimedOut),
    }
}

async fn query_status(
    connection: &mut UpstreamConnection,
    statement: &str,
) -> Result<DatabaseStatus, UpstreamError> {
    let segment = connection.query(statement).await?;
    let status = segment.first_row().and_then(|row| read_report(&row));
    status.map_or_else(|| ProtocolSnafu { text: "no valid report in the answer" }.fail(), Ok)
}
