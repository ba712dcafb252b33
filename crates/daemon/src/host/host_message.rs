use std::{net::SocketAddr, sync::Arc};

use hawthornstack_decisions::{
    control::{AuditRecord, ControlAnswer, Intent, Plan},
    host::{Conclusion, HostEvent},
    identity::{DatabaseName, HostId},
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
    /// The request is over.
    Conclude(Conclusion),
}

/// What an operator asks.
#[derive(Debug, Clone)]
pub enum OperatorQuestion {
    /// Make a plan.
    Plan(Intent),
    /// Confirm a plan.
    Confirm {
        /// Identity of the request.
        request: Arc<str>,
        /// The plan.
        plan: Arc<str>,
        /// Who confirms.
        operator: Arc<str>,
        /// Wall-clock time, in milliseconds since 1970.
        at_unix_ms: u64,
    },
}

/// What an operator hears.
#[derive(Debug, Clone)]
pub enum OperatorAnswer {
    /// A plan, or what is wrong with the intent.
    Plan(Result<Plan, String>),
    /// How a confirmation ended.
    Confirm(ControlAnswer),
    /// Another host leads.
    NotCurrent(Option<HostId>),
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
