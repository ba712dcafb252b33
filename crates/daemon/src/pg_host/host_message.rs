use std::net::SocketAddr;

use hawthornstack_decisions::{
    control_state::AuditRecord,
    identity::DatabaseName,
    pg_host::{GatewayAddress, HostEvent, OperatorAnswer, OperatorQuestion, RequestResult},
    requests::RequestArrival,
};
use hawthornstack_wire::operators::StatusResponse;
use tokio::sync::{mpsc::UnboundedSender, oneshot};

/// What the host tells a waiting request.
#[derive(Debug, Clone)]
pub enum RequestSignal {
    /// Use a connection to this database.
    Dispatch {
        /// The database.
        database: DatabaseName,
        /// Where it is.
        address: SocketAddr,
        /// It is the group's primary.
        is_primary: bool,
    },
    /// One of these homes is to run it; it is over here.
    Forward(Vec<GatewayAddress>),
    /// The request is over.
    Conclude(RequestResult),
}

/// Requests to the host service.
#[derive(Debug)]
pub enum HostMessage {
    /// An event for the decisions.
    Event(HostEvent),
    /// A request arrives; its signals go to the sender.
    Arrive(RequestArrival, UnboundedSender<RequestSignal>),
    /// An operator asks.
    Ask(OperatorQuestion, oneshot::Sender<OperatorAnswer>),
    /// The state of the system as seen here.
    Status(oneshot::Sender<StatusResponse>),
    /// The audit trail as known here.
    Audit(oneshot::Sender<Vec<AuditRecord>>),
}
