use serde::{Deserialize, Serialize};

use crate::positions::{BranchHistory, LogPosition};

/// Whether a database accepts writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DatabaseRole {
    /// Accepts writes in its term.
    Primary,
    /// Applies the log of a primary.
    Replica,
}

/// Report of a database on its role and its log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseStatus {
    /// Whether it accepts writes.
    pub role: DatabaseRole,
    /// Its current term.
    pub term: u64,
    /// It refuses terms below this one.
    pub fenced_below: u64,
    /// End of its log.
    pub position: LogPosition,
    /// The branches of which its log consists.
    pub history: BranchHistory,
}

impl DatabaseStatus {
    /// True if the database's log holds the entry at `position`.
    pub fn covers(&self, position: LogPosition) -> bool {
        self.history.covers(self.position, position)
    }
}
