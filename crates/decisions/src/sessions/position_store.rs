use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::position_hosts::RendezvousScore;
use crate::{
    identity::{GroupName, HostId, SessionId},
    positions::LogPosition,
};

/// Most marks a host keeps for others; the oldest is evicted first.
const MAX_MARKS: usize = 100_000;

/// A session's position in one group, as position hosts exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPosition {
    /// The session.
    pub session: SessionId,
    /// The group.
    pub group: GroupName,
    /// The highest position that the session must see.
    #[serde(rename = "mark")]
    pub position: LogPosition,
}

#[derive(Debug, Clone, Copy)]
struct KeptMark {
    mark: LogPosition,
    /// Score of the last of the session's keepers. A host that joins or leaves
    /// changes the keepers if its own score is not below this.
    lowest_score: Option<RendezvousScore>,
}

/// Positions that this host stores for sessions, in memory only.
///
/// A missing position means "not known", never "nothing written".
#[derive(Debug, Default)]
pub struct PositionStore {
    marks: IndexMap<(SessionId, GroupName), KeptMark>,
}

impl PositionStore {
    /// Raises a position; a lower one changes nothing. `keepers` are the hosts
    /// that store the session's positions now.
    pub fn raise(&mut self, stored: StoredPosition, keepers: &[HostId]) {
        let StoredPosition { session, group, position: mark } = stored;
        let key = session.as_str().as_bytes();
        let lowest_score = keepers.iter().map(|host| RendezvousScore::of(key, *host)).min();
        let fresh = KeptMark { mark, lowest_score };
        let kept = self.marks.entry((session, group)).or_insert(fresh);
        kept.mark = kept.mark.max(mark);
        kept.lowest_score = lowest_score;
        if self.marks.len() > MAX_MARKS {
            self.marks.shift_remove_index(0);
        }
    }

    /// The position of a session in a group, if this host stores it.
    pub fn find(&self, session: &SessionId, group: &GroupName) -> Option<LogPosition> {
        self.marks.get(&(session.clone(), group.clone())).map(|kept| kept.mark)
    }

    /// Removes the positions whose position hosts change because `host` joined
    /// or left: a newer position may go to other hosts from now on.
    pub fn remove_moved(&mut self, host: HostId) {
        self.marks.retain(|(session, _), kept| {
            let score = RendezvousScore::of(session.as_str().as_bytes(), host);
            kept.lowest_score.is_some_and(|lowest| score < lowest)
        });
    }
}
