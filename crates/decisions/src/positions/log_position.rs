use std::fmt;

use serde::{Deserialize, Serialize};

/// A place in a group's log: the term that wrote the entry there and its
/// offset. The end of a log carries the term of its last entry, not the term
/// that the database is in.
///
/// The derived order (term first) ranks positions that share a branch; use
/// [`BranchHistory::covers`](super::BranchHistory::covers) to learn whether a
/// database holds a position.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Term of the primary that wrote the entry; 0 before the first term.
    pub term: u64,
    /// Count of entries up to and including this one.
    pub offset: u64,
}

impl LogPosition {
    /// Builds a position.
    pub const fn new(term: u64, offset: u64) -> Self {
        Self { term, offset }
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.offset)
    }
}
