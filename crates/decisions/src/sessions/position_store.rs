use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::position_hosts::RendezvousScore;
use crate::{
    identity::{GroupName, HostId, SessionId},
    positions::LogPosition,
};

/// Most positions that a host stores; the one stored first is evicted first.
const MAX_POSITIONS: usize = 100_000;

/// A session's position in one group, as hosts send it to position hosts.
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
struct KeptPosition {
    position: LogPosition,
    /// Lowest score among the session's position hosts. A host that joins or leaves
    /// changes the set of position hosts if its own score is not below this.
    lowest_score: Option<RendezvousScore>,
}

/// Positions that this host stores for sessions, in memory only.
///
/// A missing position means that it is unknown, not that the session wrote nothing.
#[derive(Debug, Default)]
pub struct PositionStore {
    positions: IndexMap<(SessionId, GroupName), KeptPosition>,
}

impl PositionStore {
    /// Raises the position of a session; a lower one does not change it.
    /// `position_hosts` are the hosts that currently store the session's positions.
    pub fn raise(&mut self, stored: StoredPosition, position_hosts: &[HostId]) {
        let StoredPosition { session, group, position } = stored;
        let key = session.as_str().as_bytes();
        let lowest_score = position_hosts.iter().map(|host| RendezvousScore::of(key, *host)).min();
        let fresh = KeptPosition { position, lowest_score };
        let kept = self.positions.entry((session, group)).or_insert(fresh);
        kept.position = kept.position.max(position);
        kept.lowest_score = lowest_score;
        if self.positions.len() > MAX_POSITIONS {
            self.positions.shift_remove_index(0);
        }
    }

    /// The position of a session in a group, if this host stores it.
    pub fn find(&self, session: &SessionId, group: &GroupName) -> Option<LogPosition> {
        self.positions.get(&(session.clone(), group.clone())).map(|kept| kept.position)
    }

    /// Removes the positions of sessions whose set of position hosts changes because
    /// `host` joined or left: newer positions may go to other hosts from now on.
    pub fn remove_moved(&mut self, host: HostId) {
        self.positions.retain(|(session, _), kept| {
            let score = RendezvousScore::of(session.as_str().as_bytes(), host);
            kept.lowest_score.is_some_and(|lowest| score < lowest)
        });
    }
}
