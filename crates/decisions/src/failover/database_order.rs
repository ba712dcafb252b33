use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// An order of the control leader to a database. Every order is idempotent; the
/// database answers it with its status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatabaseOrder {
    /// Change nothing and return the status.
    Report,
    /// Refuse writes and log entries of terms below `term`.
    Fence {
        /// The lowest term still accepted.
        term: u64,
    },
    /// Become primary of `term`.
    Promote {
        /// Term that the database starts as primary.
        term: u64,
    },
    /// Replicate from the primary of `term`, after truncating the log entries
    /// that are not on its branch.
    Follow {
        /// Term of the primary.
        term: u64,
        /// Address of the primary.
        primary: SocketAddr,
    },
}
