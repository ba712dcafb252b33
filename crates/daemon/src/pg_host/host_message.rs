use std::net::SocketAddr;

use hawthornstack_decisions::{
    control_state::AuditRecord,
    identity::DatabaseName,
    pg_host::{GatewayAddress, HostEvent, OperatorAnswer, OperatorQuestion, RequestResult},
    requests::RequestArrival,
};
use hawthornstack_wire::operators::StatusResponse;
use tokio::sync::{mpsc::UnboundedSender, oneshot};

/// What the host service tells the task of a request.
#[derive(Debug, Clone)]
pub enum RequestSignal {
    /// Run the request on a connection to this database.
    Dispatch {
        /// Name of the database.
        database: DatabaseName,
        /// Address on which it accepts connections.
        address: SocketAddr,
        /// True if it is the group's primary.
        is_primary: bool,
    },
    /// Forward the request to one of these gateways of its group, the nearest first.
    /// No further signal follows.
    Forward(Vec<GatewayAddress>),
    /// The request has ended with this result.
    Complete(RequestResult),
}

/// Messages to the host service.
#[derive(Debug)]
pub enum HostMessage {
    /// An event for the host's state machine.
    Event(HostEvent),
    /// A caller's request; its signals go to the sender.
    Submit(RequestArrival, UnboundedSender<RequestSignal>),
    /// An operator's question; its answer goes to the sender.
    Ask(OperatorQuestion, oneshot::Sender<OperatorAnswer>),
    /// A request for the state of the system as this host sees it.
    Status(oneshot::Sender<StatusResponse>),
    /// A request for the audit trail as applied on this host.
    Audit(oneshot::Sender<Vec<AuditRecord>>),
}
