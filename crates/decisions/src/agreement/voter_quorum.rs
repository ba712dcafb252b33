use std::collections::BTreeSet;

use super::{AgreementState, agreement_state::LeaderState};
use crate::{clock::Moment, identity::HostId};

impl AgreementState {
    /// The highest value that a quorum of the voters has reached; `None` if too few have one.
    ///
    /// A change of the voters takes a quorum of the voters before it and of those after it
    /// until it is known to be committed. So any two quorums share a voter, also if hosts that
    /// have not heard of the change elect a leader without a voter whose disk was lost, see
    /// [`quorum_size`].
    pub(super) fn quorum_value<T: Ord>(
        &self,
        excluded: &BTreeSet<HostId>,
        value: impl Fn(HostId) -> Option<T>,
    ) -> Option<T> {
        let voters = self.log.voters();
        let reached = value_of_quorum(voters, excluded, &value);
        match self.voters_before_open_change() {
            Some(before) => reached.min(value_of_quorum(before, excluded, &value)),
            None => reached,
        }
    }

    /// Latest time such that each member of a quorum has answered a message
    /// sent at that time or later.
    pub(super) fn quorum_contact_time(&self, leader: &LeaderState, now: Moment) -> Moment {
        let contact_time = |voter| match leader.followers.get(&voter) {
            _ if voter == self.me => Some(now),
            Some(follower) if follower.eligible => follower.acknowledged_at,
            _ => None,
        };
        self.quorum_value(&leader.excluded, contact_time).unwrap_or(Moment::ZERO)
    }

    /// All hosts whose votes may count: the voters, and those before a change that is not known
    /// to be committed.
    pub(super) fn voting_hosts(&self) -> BTreeSet<HostId> {
        let mut hosts = self.log.voters().clone();
        hosts.extend(self.voters_before_open_change().into_iter().flatten());
        hosts
    }

    /// The voters before the last change, unless that is known to be committed. They are
    /// committed: a leader proposes a change only once the one before it is. The first voters
    /// of a group have none before them.
    fn voters_before_open_change(&self) -> Option<&BTreeSet<HostId>> {
        let index = self.log.last_voter_change_index();
        let committed = self.commit.max(self.hard_state.committed_voters);
        let before = self.log.voters_before(index);
        (index > committed && !before.is_empty()).then_some(before)
    }
}

fn value_of_quorum<T: Ord>(
    voters: &BTreeSet<HostId>,
    excluded: &BTreeSet<HostId>,
    value: impl Fn(HostId) -> Option<T>,
) -> Option<T> {
    let counted = voters.difference(excluded);
    let mut values: Vec<T> = counted.filter_map(|voter| value(*voter)).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.into_iter().nth(quorum_size(voters, excluded) - 1)
}

/// Number of voters in a quorum.
///
/// It is a majority, but half of an even number of voters if one of them is excluded because
/// its disk was lost: half of the voters, all of them with their disks, share a voter with any
/// majority, and with any other half that the same voter is excluded from.
fn quorum_size(voters: &BTreeSet<HostId>, excluded: &BTreeSet<HostId>) -> usize {
    match voters.len().is_multiple_of(2) && !voters.is_disjoint(excluded) {
        true => voters.len() / 2,
        false => voters.len() / 2 + 1,
    }
}
