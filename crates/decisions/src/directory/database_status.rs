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

/// What a database reports of its log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseStatus {
    /// Whether it accepts writes.
    pub role: DatabaseRole,
    /// The term it is in.
    pub term: u64,
    /// Terms below this one are refused by it.
    pub fenced_below: u64,
    /// End of its log.
    pub position: LogPosition,
    /// The terms that its log went through.
    pub history: BranchHistory,
}

impl DatabaseStatus {
    /// True if the database holds the entry at `mark` on its branch.
    pub fn covers(&self, mark: LogPosition) -> bool {
        self.history.covers(self.position, mark)
    }
}
