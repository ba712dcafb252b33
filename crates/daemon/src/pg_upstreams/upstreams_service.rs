use std::{collections::HashMap, net::SocketAddr};

use hawthornstack_decisions::{
    failover::DatabaseOrder, identity::DatabaseName, pg_host::HostEvent,
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio_util::sync::CancellationToken;

use super::{
    ConnectionStore,
    database_monitor::{DatabaseMonitor, send_order},
};
use crate::{kernel::HostClock, pg_host::HostMessage};

/// Requests to the upstreams service.
#[derive(Debug)]
pub enum UpstreamsMessage {
    /// Poll a database for reports, replacing any monitor it has.
    Watch {
        /// Database to poll.
        database: DatabaseName,
        /// Address at which it accepts connections.
        address: SocketAddr,
    },
    /// Stop polling a database and close the idle connections to it.
    Unwatch(DatabaseName),
    /// Send an order to a database and pass its answer to the host.
    Order {
        /// Database that receives the order.
        database: DatabaseName,
        /// Address at which it accepts connections.
        address: SocketAddr,
        /// Order to send.
        order: DatabaseOrder,
    },
}

/// Actor that polls databases for reports and sends them orders.
#[derive(Debug)]
pub struct UpstreamsService;

/// Start arguments of the service.
#[derive(Debug)]
pub struct UpstreamsArguments {
    /// Receives the reports and the answers to orders.
    pub host: ActorRef<HostMessage>,
    /// Clock for the times at which reports are requested.
    pub clock: HostClock,
    /// Idle connections, shared with the tasks that serve callers.
    pub store: ConnectionStore,
    /// Stops all monitors.
    pub cancel: CancellationToken,
}

/// Running monitors of the service, by database.
pub struct UpstreamsState {
    arguments: UpstreamsArguments,
    monitors: HashMap<DatabaseName, CancellationToken>,
}

impl Actor for UpstreamsService {
    type Msg = UpstreamsMessage;
    type State = UpstreamsState;
    type Arguments = UpstreamsArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<UpstreamsMessage>,
        arguments: UpstreamsArguments,
    ) -> Result<UpstreamsState, ActorProcessingErr> {
        Ok(UpstreamsState { arguments, monitors: HashMap::new() })
    }

    async fn handle(
        &self,
        _myself: ActorRef<UpstreamsMessage>,
        message: UpstreamsMessage,
        state: &mut UpstreamsState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            UpstreamsMessage::Watch { database, address } => state.start_monitor(database, address),
            UpstreamsMessage::Unwatch(database) => state.stop_monitor(&database),
            UpstreamsMessage::Order { database, address, order } => {
                state.send_order(database, address, order);
            }
        }
        Ok(())
    }
}

impl UpstreamsState {
    fn start_monitor(&mut self, database: DatabaseName, address: SocketAddr) {
        self.stop_monitor(&database);
        log::info!(target: "upstreams", "Polling database {database} at {address} for reports.");
        let cancel = self.arguments.cancel.child_token();
        let monitor = DatabaseMonitor {
            database: database.clone(),
            address,
            host: self.arguments.host.clone(),
            clock: self.arguments.clock,
            cancel: cancel.clone(),
        };
        tokio::spawn(monitor.run());
        self.monitors.insert(database, cancel);
    }

    fn stop_monitor(&mut self, database: &DatabaseName) {
        if let Some(cancel) = self.monitors.remove(database) {
            cancel.cancel();
        }
        self.arguments.store.close_idle(database);
    }

    fn send_order(&self, database: DatabaseName, address: SocketAddr, order: DatabaseOrder) {
        let host = self.arguments.host.clone();
        tokio::spawn(async move {
            match send_order(address, &order).await {
                Ok(status) => {
                    log::debug!(
                        target: "upstreams",
                        "Database {database} answered order {order:?}; passing its status on."
                    );
                    let event = HostEvent::OrderAnswered { database, status };
                    let _ = host.send_message(HostMessage::Event(event));
                }
                Err(error) => {
                    log::debug!(
                        target: "upstreams",
                        "Order {order:?} to database {database} failed; no status to pass: {error}."
                    );
                }
            }
        });
    }
}
