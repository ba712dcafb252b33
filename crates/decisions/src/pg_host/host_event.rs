use super::{OperatorQuestion, PeerMessage};
use crate::{
    clock::Moment,
    directory::{Announcement, DatabaseStatus},
    identity::{DatabaseName, HostId, RequestId},
    positions::LogPosition,
    requests::RequestArrival,
};

/// How the execution of a request at its database ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionReport {
    /// A read ran; holds the database's position after it, if that was queried.
    Read(Option<LogPosition>),
    /// A write committed at or before this position.
    Written(LogPosition),
    /// A transaction was rolled back, or ended without a result for its caller.
    RolledBack,
    /// The request did not run at the database and will not.
    NotRun,
    /// The connection was lost; the request may have run.
    ConnectionLost,
}

/// Input of `HostState::step`.
#[derive(Debug, Clone)]
pub enum HostEvent {
    /// The periodic timer fired.
    Tick,
    /// This host is about to shut down.
    Leaving,
    /// Another host sent a message.
    Peer(HostId, PeerMessage),
    /// The records of all `HostEffect::Persist` up to this number are synced.
    Persisted(u64),
    /// An upstream announced itself to this host.
    Announced(Announcement),
    /// A database answered a status query.
    DatabaseReported {
        /// The database.
        database: DatabaseName,
        /// When the query was sent.
        sent_at: Moment,
        /// The status that it returned.
        status: DatabaseStatus,
    },
    /// A status query to a database failed.
    ReportFailed(DatabaseName),
    /// A database answered an order.
    OrderAnswered {
        /// The database.
        database: DatabaseName,
        /// Its status after the order.
        status: DatabaseStatus,
    },
    /// A request needs a connection to a database.
    RequestArrived(RequestArrival),
    /// A dispatched request no longer uses its connection.
    RequestExecuted(RequestId, ExecutionReport),
    /// The caller of a request no longer waits for it.
    RequestAbandoned(RequestId),
    /// An operator sent a question to this host.
    OperatorAsked {
        /// Number of the question on this host.
        ticket: u64,
        /// The question.
        question: OperatorQuestion,
    },
}
