use std::time::Duration;

use super::{
    AgreementEffect, AgreementMessage, AgreementState, AppendMessage, AppendReply, EntryPayload,
    LogEntry, StateSnapshot,
    agreement_state::{AgreementRole, FollowerProgress},
};
use crate::{clock::Moment, identity::HostId};

/// Entries sent in one message.
const APPEND_ENTRIES: usize = 256;
/// Silence after which a voter leaves, if another one has taken its place.
const REPLACED_SILENCE: Duration = Duration::from_secs(4);
/// Silence after which a host that does not vote is no longer followed.
const LEARNER_SILENCE: Duration = Duration::from_secs(10);
/// Fewest voters that stay when a silent one leaves: three bear one loss.
const FEWEST_VOTERS: usize = 3;

impl FollowerProgress {
    pub(super) fn new(next_index: u64, now: Moment) -> Self {
        Self {
            next_index,
            match_index: 0,
            eligible: true,
            incarnation: 0,
            acknowledged_at: None,
            sent_at: now,
            followed_since: now,
        }
    }
}

impl AgreementState {
    pub(super) fn receive(&mut self, now: Moment, from: HostId, message: AgreementMessage) {
        match message {
            AgreementMessage::Vote(request) => self.receive_vote(now, from, request),
            AgreementMessage::VoteReply(reply) => self.receive_vote_reply(now, from, reply),
            AgreementMessage::Inquiry { number } => self.receive_inquiry(now, from, number),
            AgreementMessage::InquiryReply(reply) => self.receive_inquiry_reply(now, from, reply),
            AgreementMessage::Append(append) => self.receive_append(now, from, append),
            AgreementMessage::AppendReply(reply) => self.receive_append_reply(now, from, reply),
            AgreementMessage::InstallSnapshot { term, snapshot, sent_at } => {
                self.receive_snapshot(now, from, term, *snapshot, sent_at);
            }
        }
    }

    /// Sends every follower what it lacks, or a heartbeat.
    pub(super) fn replicate(&mut self, now: Moment) {
        let AgreementRole::Leader(leader) = &mut self.role else {
            return;
        };
        leader.heartbeat_due = now + self.settings.heartbeat_interval;
        let hosts: Vec<HostId> = leader.followers.keys().copied().collect();
        for host in hosts {
            self.replicate_to(now, host);
        }
        self.advance_commit(now);
    }

    fn replicate_to(&mut self, now: Moment, host: HostId) {
        let AgreementRole::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(follower) = leader.followers.get_mut(&host) else {
            return;
        };
        follower.sent_at = now;
        let previous_index = follower.next_index - 1;
        let message = match self.log.term_at(previous_index) {
            Some(previous_term) => {
                let entries = self.log.entries_from(follower.next_index, APPEND_ENTRIES);
                // The next message goes on where this one ends, without
                // waiting for its answer; a refusal sets it back.
                follower.next_index += entries.len() as u64;
                AgreementMessage::Append(AppendMessage {
                    term: self.hard.term,
                    previous_index,
                    previous_term,
                    entries,
                    commit: self.commit,
                    sent_at: now,
                })
            }
            None => AgreementMessage::InstallSnapshot {
                term: self.hard.term,
                snapshot: Box::new(self.log.snapshot().clone()),
                sent_at: now,
            },
        };
        self.send(host, message);
    }

    fn accept_leader(&mut self, now: Moment, from: HostId, term: u64) -> bool {
        if term < self.hard.term {
            return false;
        }
        if term > self.hard.term {
            self.adopt_term(now, term);
        }
        self.leave_role(now);
        self.leader = Some(from);
        self.inquiry = None;
        self.heard_leader = true;
        self.abstains_until = now + self.settings.election_timeout;
        self.reset_election(now);
        true
    }

    fn reply_append(&mut self, to: HostId, accepted: bool, match_index: u64, sent_at: Moment) {
        let reply = AppendReply {
            term: self.hard.term,
            accepted,
            match_index,
            eligible: self.hard.eligible,
            incarnation: self.hard.incarnation,
            sent_at,
        };
        self.send(to, AgreementMessage::AppendReply(reply));
    }

    fn receive_append(&mut self, now: Moment, from: HostId, append: AppendMessage) {
        if !self.accept_leader(now, from, append.term) {
            return self.reply_append(from, false, 0, append.sent_at);
        }
        let known = append.previous_index <= self.log.snapshot().index
            || self.log.term_at(append.previous_index) == Some(append.previous_term);
        if !known {
            let hint = self.log.last_index().min(append.previous_index - 1);
            return self.reply_append(from, false, hint, append.sent_at);
        }
        let last = append.previous_index + append.entries.len() as u64;
        for entry in append.entries {
            self.take_entry(from, entry);
        }
        self.commit_up_to(append.commit.min(last));
        self.reply_append(from, true, last, append.sent_at);
    }

    fn take_entry(&mut self, leader: HostId, entry: LogEntry) {
        let present = entry.index <= self.log.snapshot().index
            || self.log.term_at(entry.index) == Some(entry.term);
        if present {
            return;
        }
        self.check_eligibility(leader, &entry);
        self.append_entry(entry);
    }

    /// An empty disk may count once the voters form together with its vote, or
    /// once a leader took it out of the voters and in again.
    fn check_eligibility(&mut self, leader: HostId, entry: &LogEntry) {
        let EntryPayload::Voters { voters, admitted } = &entry.payload else {
            return;
        };
        if self.hard.eligible || !voters.contains(&self.me) {
            return;
        }
        let formed =
            entry.index == 1 && entry.term == self.hard.term && self.hard.voted_for == Some(leader);
        let taken_in = admitted.is_some_and(|admitted| {
            admitted.host == self.me && admitted.incarnation == self.hard.incarnation
        });
        if formed || taken_in {
            self.change_hard(|hard| hard.eligible = true);
        }
    }

    fn receive_snapshot(
        &mut self,
        now: Moment,
        from: HostId,
        term: u64,
        snapshot: StateSnapshot,
        sent_at: Moment,
    ) {
        if !self.accept_leader(now, from, term) {
            return self.reply_append(from, false, 0, sent_at);
        }
        let index = snapshot.index;
        if index > self.commit {
            self.install_snapshot(snapshot);
        }
        self.reply_append(from, true, index, sent_at);
    }

    fn receive_append_reply(&mut self, now: Moment, from: HostId, reply: AppendReply) {
        if reply.term > self.hard.term {
            return self.adopt_term(now, reply.term);
        }
        let last_index = self.log.last_index();
        let AgreementRole::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(follower) = leader.followers.get_mut(&from) else {
            return;
        };
        if reply.term < self.hard.term {
            return;
        }
        // A reply that was overtaken may be from before the disk was taken in.
        if follower.acknowledged_at <= Some(reply.sent_at) {
            follower.acknowledged_at = Some(reply.sent_at);
            follower.eligible = reply.eligible;
            follower.incarnation = reply.incarnation;
            if !reply.eligible && !reply.accepted {
                follower.match_index = 0;
            }
        }
        if reply.accepted {
            follower.match_index = follower.match_index.max(reply.match_index);
            follower.next_index = follower.next_index.max(reply.match_index + 1);
        } else if reply.match_index < follower.match_index {
            // Late, or from a disk that lost what it had synced: the next
            // heartbeat tries again, an answer at once would feed itself.
            follower.next_index = follower.match_index + 1;
            return;
        } else {
            follower.next_index = reply.match_index + 1;
        }
        let behind = follower.next_index <= last_index;
        if behind {
            self.replicate_to(now, from);
        }
        self.advance_commit(now);
    }

    /// Commits what a quorum has synced, if it is of the leader's own term.
    pub(super) fn advance_commit(&mut self, _now: Moment) {
        let AgreementRole::Leader(leader) = &self.role else {
            return;
        };
        let mut synced: Vec<u64> = self
            .log
            .voters()
            .iter()
            .map(|voter| match leader.followers.get(voter) {
                _ if *voter == self.me => self.synced_index,
                Some(follower) if follower.eligible => follower.match_index,
                _ => 0,
            })
            .collect();
        synced.sort_unstable_by(|a, b| b.cmp(a));
        let quorum_index = synced.get(self.quorum() - 1).copied().unwrap_or(0);
        if self.log.term_at(quorum_index) == Some(self.hard.term) {
            self.commit_up_to(quorum_index);
        }
    }

    fn commit_up_to(&mut self, index: u64) {
        while self.commit < index {
            let next = self.commit + 1;
            let Some(entry) = self.log.get(next) else {
                return;
            };
            self.commit = next;
            let payload = entry.payload.clone();
            self.effects.push(AgreementEffect::Committed { index: next, payload });
        }
    }

    /// Replaces a voter whose disk was lost: out of the voters, caught up, and
    /// in again, one change at a time.
    pub(super) fn tend_voters(&mut self, now: Moment) {
        let settled = self.commit >= self.log.last_voters_index();
        let AgreementRole::Leader(leader) = &mut self.role else {
            return;
        };
        if !settled || self.commit < leader.first_index {
            return;
        }
        let mut voters = self.log.voters().clone();
        let lost = leader.followers.iter().find(|(host, follower)| {
            // A voter that was taken in a moment ago has not said so yet.
            let answers_for_voters = follower.match_index >= self.log.last_voters_index();
            voters.contains(host) && !follower.eligible && answers_for_voters
        });
        let silence = |follower: &FollowerProgress| {
            now.since(follower.acknowledged_at.unwrap_or(follower.followed_since))
        };
        let caught_up = leader.followers.iter().find(|(host, follower)| {
            !voters.contains(host)
                && follower.match_index >= self.commit
                && follower.acknowledged_at.is_some()
                && silence(follower) < self.settings.election_timeout
        });
        // An even set bears no more losses than the set with one voter less.
        let spare = voters.len() > FEWEST_VOTERS && voters.len().is_multiple_of(2);
        let replaced = leader.followers.iter().find(|(host, follower)| {
            spare && voters.contains(host) && silence(follower) >= REPLACED_SILENCE
        });
        match (lost.or(replaced), caught_up) {
            (Some((host, _)), _) => {
                let host = *host;
                voters.remove(&host);
            }
            (None, Some((host, _))) => {
                let host = *host;
                voters.insert(host);
            }
            (None, None) => {
                leader.followers.retain(|host, follower| {
                    voters.contains(host)
                        || self.settings.first_voters.contains(host)
                        || now.since(follower.acknowledged_at.unwrap_or(follower.followed_since))
                            < LEARNER_SILENCE
                });
                return;
            }
        }
        let _ = self.change_voters(now, voters);
    }
}
