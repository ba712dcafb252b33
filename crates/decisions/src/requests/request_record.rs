use std::collections::BTreeSet;

use super::RequestArrival;
use crate::{
    clock::Moment,
    identity::{DatabaseName, HostId},
    positions::LogPosition,
};

/// How far a request has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestPhase {
    /// Waits for its session's position hosts.
    LookingUpPosition {
        /// Position hosts that did not answer yet.
        waiting: BTreeSet<HostId>,
        /// Highest position received; `None` once a position host knew none.
        found: Option<LogPosition>,
        /// When the primary is asked instead.
        until: Moment,
    },
    /// Waits for a database.
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
    /// A write waits until a majority of its group holds it.
    AwaitingMajority {
        /// Position of the write.
        position: LogPosition,
    },
    /// Waits until a position host holds the position.
    StoringPosition {
        /// The position.
        position: LogPosition,
        /// When the answer is given without confirmation by a position host.
        until: Moment,
    },
}

/// A request and how far it has come.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// What was asked.
    pub arrival: RequestArrival,
    /// The session's position, once known; `None` sends a read to the primary.
    pub session_position: Option<LogPosition>,
    /// How far it has come.
    pub phase: RequestPhase,
}
