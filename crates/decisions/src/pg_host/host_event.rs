use super::{OperatorQuestion, PeerMessage};
use crate::{
    clock::Moment,
    directory::{Announcement, DatabaseStatus},
    identity::{DatabaseName, HostId, RequestId},
    positions::LogPosition,
    requests::RequestArrival,
};

/// What became of a request at its database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionReport {
    /// A read ran; the database stood at this position after it, if asked.
    Read(Option<LogPosition>),
    /// A write committed at or before this position.
    Written(LogPosition),
    /// A transaction was rolled back, or ended without an answer to give.
    RolledBack,
    /// Nothing ran at the database, and nothing will.
    NotRun,
    /// The connection was lost; it may have run.
    ConnectionLost,
}

/// Input of a host.
#[derive(Debug, Clone)]
pub enum HostEvent {
    /// Time passed.
    Tick,
    /// This host is about to shut down.
    Leaving,
    /// Another host sent a message.
    Peer(HostId, PeerMessage),
    /// Journal records up to this number are synced.
    Persisted(u64),
    /// An upstream announced itself here.
    Announced(Announcement),
    /// A database reported; the question was sent at the given time.
    DatabaseReported {
        /// The database.
        database: DatabaseName,
        /// When the question was sent.
        sent_at: Moment,
        /// The report.
        status: DatabaseStatus,
    },
    /// A database could not be reached for its report.
    ReportFailed(DatabaseName),
    /// A database answered an order.
    OrderAnswered {
        /// The database.
        database: DatabaseName,
        /// Its status after the order.
        status: DatabaseStatus,
    },
    /// A request needs a database.
    RequestArrived(RequestArrival),
    /// A request no longer uses its connection.
    RequestExecuted(RequestId, ExecutionReport),
    /// The caller of a request is gone.
    RequestAbandoned(RequestId),
    /// An operator asks.
    OperatorAsked {
        /// Number of the question on this host.
        ticket: u64,
        /// The question.
        question: OperatorQuestion,
    },
}
