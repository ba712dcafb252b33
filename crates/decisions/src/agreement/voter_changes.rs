use std::{collections::BTreeSet, time::Duration};

use super::{
    AgreementEffect, AgreementState,
    agreement_state::{AgreementRole, FollowerProgress, LeaderState},
};
use crate::{clock::Moment, identity::HostId};

/// Silence after which a voter that has answered before counts as gone: longer than a killed
/// process needs to start again, or a slow disk to sync.
const GONE_VOTER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a host that said that it stops may still answer.
const STOPPING_TIME: Duration = Duration::from_secs(1);
/// Silence after which the leader stops replicating to a learner.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);
/// Fewest voters that remain when one that is gone is removed; three voters tolerate one
/// failure.
const MIN_VOTERS: usize = 3;

/// Next change of the voters.
enum VoterChange {
    Remove(HostId),
    Add(HostId),
}

impl AgreementState {
    /// Records that a host said that it stops, which may be this one; returns the effects to
    /// execute, in order.
    pub fn record_stopping(&mut self, now: Moment, host: HostId) -> Vec<AgreementEffect> {
        self.stopping.insert(host, now);
        self.adjust_voters(now);
        self.take_effects()
    }

    /// Records that a host has started.
    pub fn record_started(&mut self, host: HostId) {
        self.stopping.remove(&host);
    }

    /// Proposes at most one change of the voters. A voter with a lost disk is removed,
    /// catches up as a learner and is added again; voters that are gone are removed once
    /// they have been replaced; any learner that has caught up is added.
    pub(super) fn adjust_voters(&mut self, now: Moment) {
        let last_change_committed = self.commit >= self.log.last_voter_change_index();
        let AgreementRole::Leader(leader) = &self.role else {
            return;
        };
        if !last_change_committed || self.commit < leader.first_index {
            return;
        }
        let mut voters = self.log.voters().clone();
        match self.next_voter_change(now, leader, &voters) {
            Some(VoterChange::Remove(host)) => voters.remove(&host),
            Some(VoterChange::Add(host)) => voters.insert(host),
            None => return self.drop_silent_learners(now, &voters),
        };
        // Refused only if another change is pending, which was checked above.
        let _ = self.change_voters(now, voters);
    }

    fn next_voter_change(
        &self,
        now: Moment,
        leader: &LeaderState,
        voters: &BTreeSet<HostId>,
    ) -> Option<VoterChange> {
        let lost_disk = leader.followers.iter().find(|(host, follower)| {
            // The last reply of a voter that was just added may predate its admission and
            // still report it as not eligible.
            let has_last_change = follower.match_index >= self.log.last_voter_change_index();
            let is_lost = !follower.eligible && has_last_change;
            voters.contains(host) && (is_lost || leader.excluded.contains(host))
        });
        let lost_disk = lost_disk.map(|(host, _)| *host);
        if let Some(host) = lost_disk.or_else(|| self.removable_voter(now, leader, voters)) {
            let mut remaining = voters.clone();
            remaining.remove(&host);
            let commits = self.has_quorum(now, leader, &remaining);
            return commits.then_some(VoterChange::Remove(host));
        }
        let caught_up = leader.followers.iter().find(|(host, follower)| {
            !voters.contains(host)
                && follower.match_index >= self.commit
                && follower.acknowledged_at.is_some()
                && silence(now, follower) < self.settings.election_timeout
                && !self.stopping.contains_key(host)
        });
        caught_up.map(|(host, _)| VoterChange::Add(*host))
    }

    /// True if so many of these voters run that they can commit. Hosts follow the newest
    /// voters in their logs, committed or not: a change that the voters left by it cannot
    /// commit would keep control without a leader, also once other hosts are back.
    fn has_quorum(&self, now: Moment, leader: &LeaderState, voters: &BTreeSet<HostId>) -> bool {
        let runs = |voter: &HostId| match leader.followers.get(voter) {
            Some(follower) => {
                follower.eligible
                    && follower.acknowledged_at.is_some()
                    && !self.is_gone(now, leader, *voter)
            }
            None => *voter == self.me && !self.stopping.contains_key(voter),
        };
        voters.iter().filter(|voter| runs(voter)).count() > voters.len() / 2
    }

    /// The voter that has been gone for longest, if enough remain without it. Where only the
    /// one of an even number may go, a quorum is smaller without it.
    fn removable_voter(
        &self,
        now: Moment,
        leader: &LeaderState,
        voters: &BTreeSet<HostId>,
    ) -> Option<HostId> {
        let may_be_odd = self.settings.tolerated_losses.is_some();
        if !(may_be_odd || voters.len().is_multiple_of(2)) || voters.len() <= self.min_voters() {
            return None;
        }
        let gone = voters.iter().copied().filter(|voter| self.is_gone(now, leader, *voter));
        // One that has just stopped may only restart.
        gone.min_by_key(|voter| self.unanswered.get(voter).copied().unwrap_or(now))
    }

    /// Fewest voters that hold an entry after as many losses as must be tolerated.
    fn min_voters(&self) -> usize {
        let tolerated = self.settings.tolerated_losses.unwrap_or(0);
        MIN_VOTERS.max(2 * tolerated + 1)
    }

    fn is_gone(&self, now: Moment, leader: &LeaderState, voter: HostId) -> bool {
        let stopping_at = self.stopping.get(&voter).copied();
        match leader.followers.get(&voter) {
            Some(follower) => {
                let has_stopped = stopping_at.is_some_and(|at| {
                    follower.acknowledged_at.is_none_or(|answered| answered < at + STOPPING_TIME)
                });
                has_stopped || self.is_silent(now, voter)
            }
            None => stopping_at.is_some(),
        }
    }

    /// True if the host has not answered for long. Counts from the first message without an
    /// answer, which may be older than the lead of this host: leads may all be short. A host that
    /// has answered none may have been gone long before this one started.
    fn is_silent(&self, now: Moment, host: HostId) -> bool {
        let limit = match self.heard.contains(&host) {
            true => GONE_VOTER_TIMEOUT,
            false => self.settings.election_timeout,
        };
        let unanswered = self.unanswered.get(&host);
        unanswered.is_some_and(|since| now.since(*since) >= limit)
    }

    fn drop_silent_learners(&mut self, now: Moment, voters: &BTreeSet<HostId>) {
        let first_voters = &self.settings.first_voters;
        if let AgreementRole::Leader(leader) = &mut self.role {
            leader.followers.retain(|host, follower| {
                voters.contains(host)
                    || first_voters.contains(host)
                    || silence(now, follower) < LEARNER_TIMEOUT
            });
        }
    }
}

/// Time since the follower last answered, or since this leader started to replicate to it.
fn silence(now: Moment, follower: &FollowerProgress) -> Duration {
    now.since(follower.acknowledged_at.unwrap_or(follower.followed_since))
}
