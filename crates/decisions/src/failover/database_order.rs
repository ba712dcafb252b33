use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What control tells a database to do. Each order is idempotent and answered
/// with the database's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatabaseOrder {
    /// Change nothing; only report.
    Report,
    /// Refuse writes and log entries of terms below `term`.
    Fence {
        /// The lowest term still accepted.
        term: u64,
    },
    /// Become primary of `term`.
    Promote {
        /// The term.
        term: u64,
    },
    /// Replicate from the primary of `term`, dropping a tail that is not on
    /// its branch.
    Follow {
        /// The term.
        term: u64,
        /// Address of the primary.
        primary: SocketAddr,
    },
}
