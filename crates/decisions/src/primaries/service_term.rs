use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::instances::InstanceKey;

/// Where a service stands between two primaries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TermPhase {
    /// The primary serves.
    Steady,
    /// No host may use the primary; a successor is looked for.
    Fencing {
        /// The change was asked for: the primary is reachable.
        planned: bool,
    },
    /// The successor was chosen and is told to lead.
    Promoting {
        /// The successor.
        chosen: InstanceKey,
    },
}

/// The committed primary of a service. The number is control's own count of
/// changes, not the database's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTerm {
    /// The service.
    pub service: Arc<str>,
    /// Counts the changes of primary.
    pub number: u64,
    /// Index of control's log at which the present phase began.
    pub since_index: u64,
    /// The primary of this term.
    pub primary: InstanceKey,
    /// Where the term stands.
    pub phase: TermPhase,
}

impl ServiceTerm {
    /// True if requests may be sent to the primary.
    pub fn is_steady(&self) -> bool {
        self.phase == TermPhase::Steady
    }

    /// True if answers of requests sent in this term may still be given.
    pub fn accepts_answers(&self, number: u64) -> bool {
        let serving =
            matches!(self.phase, TermPhase::Steady | TermPhase::Fencing { planned: true });
        self.number == number && serving
    }
}
