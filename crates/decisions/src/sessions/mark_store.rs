use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    identity::{GroupName, SessionId},
    positions::LogPosition,
};

/// Most marks a host keeps for others; the oldest is evicted first.
const MAX_MARKS: usize = 100_000;

/// A session's mark in one group, as keepers exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredMark {
    /// The session.
    pub session: SessionId,
    /// The group.
    pub group: GroupName,
    /// The highest position that the session must see.
    pub mark: LogPosition,
}

/// Marks that this host keeps for sessions, in memory only.
///
/// A missing mark means "not known", never "nothing written".
#[derive(Debug, Default)]
pub struct MarkStore {
    marks: IndexMap<(SessionId, GroupName), LogPosition>,
}

impl MarkStore {
    /// Raises a mark; a lower one changes nothing.
    pub fn raise(&mut self, stored: StoredMark) {
        let StoredMark { session, group, mark } = stored;
        let entry = self.marks.entry((session, group)).or_insert(mark);
        *entry = (*entry).max(mark);
        if self.marks.len() > MAX_MARKS {
            self.marks.shift_remove_index(0);
        }
    }

    /// The mark of a session in a group, if this host keeps it.
    pub fn find(&self, session: &SessionId, group: &GroupName) -> Option<LogPosition> {
        self.marks.get(&(session.clone(), group.clone())).copied()
    }
}
