use std::collections::BTreeSet;

use super::RequestArrival;
use crate::{
    clock::Moment,
    identity::{DatabaseName, HostId},
    positions::LogPosition,
};

/// Phase in the processing of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestPhase {
    /// Waits for the answers of its session's position hosts.
    LookingUpPosition {
        /// Position hosts that have not answered yet.
        waiting: BTreeSet<HostId>,
        /// Highest position received; `None` once a position host did not know one.
        found: Option<LogPosition>,
        /// Deadline after which the request goes to the primary instead.
        until: Moment,
    },
    /// Waits in its group's queue for a database.
    Queued,
    /// Uses a connection to a database.
    Running {
        /// The database.
        database: DatabaseName,
        /// Term in which it was sent there.
        term: u64,
        /// When it was sent there.
        since: Moment,
    },
    /// The write waits until a majority of its group holds it.
    AwaitingMajority {
        /// Position of the write.
        position: LogPosition,
    },
    /// Waits until a position host confirms that it stored the position.
    StoringPosition {
        /// The position.
        position: LogPosition,
        /// Deadline after which it is answered without this confirmation.
        until: Moment,
    },
}

/// A request and the state of its processing.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The request as it arrived.
    pub arrival: RequestArrival,
    /// The session's position, once known; with `None`, a read goes to the primary.
    pub session_position: Option<LogPosition>,
    /// Its current phase.
    pub phase: RequestPhase,
}
