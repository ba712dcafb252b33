use std::sync::Arc;

use super::PeerMessage;
use crate::{
    clock::Moment,
    control::Intent,
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
    Lost,
}

/// Input of a host.
#[derive(Debug, Clone)]
pub enum HostEvent {
    /// Time passed.
    Tick,
    /// Another host sent a message.
    Peer(HostId, PeerMessage),
    /// Journal records up to this number are synced.
    Persisted(u64),
    /// An upstream announced itself here.
    Announced(Announcement),
    /// A database reported; the question was sent at the given time.
    Reported {
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
    Arrived(RequestArrival),
    /// A request no longer uses its connection.
    Executed(RequestId, ExecutionReport),
    /// The caller of a request is gone.
    Abandoned(RequestId),
    /// An operator asks for a plan; `ticket` numbers the question here.
    PlanAsked {
        /// Number of the question.
        ticket: u64,
        /// What the operator wants.
        intent: Intent,
    },
    /// An operator confirms a plan.
    ConfirmAsked {
        /// Number of the question.
        ticket: u64,
        /// Identity of the operator's request.
        request: Arc<str>,
        /// The plan.
        plan: Arc<str>,
        /// Who confirms.
        operator: Arc<str>,
        /// Wall-clock time, in milliseconds since 1970.
        at_unix_ms: u64,
    },
}
