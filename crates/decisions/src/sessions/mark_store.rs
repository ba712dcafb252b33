use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::keepers::HostScore;
use crate::{
    identity::{GroupName, HostId, SessionId},
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

#[derive(Debug, Clone, Copy)]
struct KeptMark {
    mark: LogPosition,
    /// Score of the last of the session's keepers. A host that joins or leaves
    /// changes the keepers if its own score is not below this.
    lowest_score: Option<HostScore>,
}

/// Marks that this host keeps for sessions, in memory only.
///
/// A missing mark means "not known", never "nothing written".
#[derive(Debug, Default)]
pub struct MarkStore {
    marks: IndexMap<(SessionId, GroupName), KeptMark>,
}

impl MarkStore {
    /// Raises a mark; a lower one changes nothing. `keepers` are the hosts
    /// that keep the session's marks now.
    pub fn raise(&mut self, stored: StoredMark, keepers: &[HostId]) {
        let StoredMark { session, group, mark } = stored;
        let key = session.as_str().as_bytes();
        let lowest_score = keepers.iter().map(|host| HostScore::of(key, *host)).min();
        let fresh = KeptMark { mark, lowest_score };
        let kept = self.marks.entry((session, group)).or_insert(fresh);
        kept.mark = kept.mark.max(mark);
        kept.lowest_score = lowest_score;
        if self.marks.len() > MAX_MARKS {
            self.marks.shift_remove_index(0);
        }
    }

    /// The mark of a session in a group, if this host keeps it.
    pub fn find(&self, session: &SessionId, group: &GroupName) -> Option<LogPosition> {
        self.marks.get(&(session.clone(), group.clone())).map(|kept| kept.mark)
    }

    /// Forgets the marks whose keepers change because `host` joined or left: a
    /// newer one may go to other keepers from now on.
    pub fn forget_moved(&mut self, host: HostId) {
        self.marks.retain(|(session, _), kept| {
            let score = HostScore::of(session.as_str().as_bytes(), host);
            kept.lowest_score.is_some_and(|lowest| score < lowest)
        });
    }
}
