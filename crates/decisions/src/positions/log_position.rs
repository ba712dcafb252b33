use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in a group's log: the term in which its entry was written, and its
/// offset. The end of a log has the term of the last entry, not the current term of
/// the database.
///
/// The derived order (term first) is meaningful only for positions on the same
/// branch. Use [`BranchHistory::covers`](super::BranchHistory::covers) to determine
/// whether a database holds a position.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Term of the primary that wrote the entry; 0 before the first term.
    pub term: u64,
    /// Number of entries up to and including this one.
    pub offset: u64,
}

impl LogPosition {
    /// Builds a position from a term and an offset in entries.
    pub const fn new(term: u64, offset: u64) -> Self {
        Self { term, offset }
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.offset)
    }
}
