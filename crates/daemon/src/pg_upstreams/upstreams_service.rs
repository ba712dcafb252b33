use std::{collections::HashMap, net::SocketAddr};

use hawthornstack_decisions::{
    failover::DatabaseOrder, identity::DatabaseName, pg_host::HostEvent,
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio_util::sync::CancellationToken;

use super::{
    ConnectionStore,
    database_monitor::{DatabaseMonitor, give_order},
};
use crate::{kernel::HostClock, pg_host::HostMessage};

/// Requests to the upstreams service.
#[derive(Debug)]
pub enum UpstreamsMessage {
    /// Keep asking a database for its report.
    Watch {
        /// The database.
        database: DatabaseName,
        /// Where it is.
        address: SocketAddr,
    },
    /// Stop asking, and close idle connections.
    Unwatch(DatabaseName),
    /// Give an order.
    Order {
        /// The database.
        database: DatabaseName,
        /// Where it is.
        address: SocketAddr,
        /// The order.
        order: DatabaseOrder,
    },
}

/// Watches databases and gives them orders.
#[derive(Debug)]
pub struct UpstreamsService;

/// What the service needs at its start.
#[derive(Debug)]
pub struct UpstreamsArguments {
    /// Where reports go.
    pub host: ActorRef<HostMessage>,
    /// The host's clock.
    pub clock: HostClock,
    /// Idle connections, shared with callers' tasks.
    pub store: ConnectionStore,
    /// Ends all monitors.
    pub cancel: CancellationToken,
}

/// What the service holds while it runs.
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
            UpstreamsMessage::Watch { database, address } => state.watch(database, address),
            UpstreamsMessage::Unwatch(database) => state.unwatch(&database),
            UpstreamsMessage::Order { database, address, order } => {
                state.order(database, address, order);
            }
        }
        Ok(())
    }
}

impl UpstreamsState {
    fn watch(&mut self, database: DatabaseName, address: SocketAddr) {
        self.unwatch(&database);
        log::info!(target: "upstreams", "Database {database} at {address} is watched.");
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

    fn unwatch(&mut self, database: &DatabaseName) {
        if let Some(cancel) = self.monitors.remove(database) {
            cancel.cancel();
        }
        self.arguments.store.close(database);
    }

    fn order(&self, database: DatabaseName, address: SocketAddr, order: DatabaseOrder) {
        let host = self.arguments.host.clone();
        tokio::spawn(async move {
            match give_order(address, &order).await {
                Ok(status) => {
                    log::debug!(target: "upstreams", "Database {database} took {order:?}.");
                    let event = HostEvent::OrderAnswered { database, status };
                    let _ = host.send_message(HostMessage::Event(event));
                }
                Err(error) => {
                    log::debug!(target: "upstreams", "Database {database}: {order:?}: {error}.");
                }
            }
        });
    }
}
