use std::time::Duration;

use super::{
    AgreementEffect, AgreementMessage, AgreementState, AppendMessage, AppendReply, EntryPayload,
    LogEntry, StateSnapshot,
    agreement_state::{AgreementRole, FollowerProgress},
};
use crate::{clock::Moment, identity::HostId};

/// Most entries in one [`AppendMessage`].
const MAX_APPEND_ENTRIES: usize = 256;
/// About the most bytes in one [`AppendMessage`], unless its first entry is larger. Frames
/// are limited to 16 MiB, and a follower that was away lacks dozens of configurations.
const MAX_APPEND_BYTES: usize = 2 * 1024 * 1024;
/// Time after which an unanswered snapshot is sent again: longer than one with the largest
/// configuration takes to arrive and to be synced.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl FollowerProgress {
    pub(super) fn new(next_index: u64, now: Moment) -> Self {
        Self {
            next_index,
            match_index: 0,
            eligible: true,
            incarnation: 0,
            acknowledged_at: None,
            sent_at: now,
            snapshot_sent: None,
            rewound_at: None,
            followed_since: now,
        }
    }

    /// True if a snapshot that it lacks may still be on its way to the follower or to its
    /// disk. Another one would only queue behind it.
    fn awaits_snapshot(&self, now: Moment) -> bool {
        self.snapshot_sent.is_some_and(|(index, at)| {
            self.match_index < index && now.since(at) < SNAPSHOT_RETRY_INTERVAL
        })
    }
}

impl AgreementState {
    pub(super) fn receive_message(&mut self, now: Moment, from: HostId, message: AgreementMessage) {
        self.unanswered.remove(&from);
        self.heard.insert(from);
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

    /// Sends each follower the entries it lacks, or a heartbeat.
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
                let entries = self.log.entries_from(
                    follower.next_index,
                    MAX_APPEND_ENTRIES,
                    MAX_APPEND_BYTES,
                );
                // The next message continues after these entries without
                // waiting for the reply; a rejection moves the index back.
                follower.next_index += entries.len() as u64;
                AgreementMessage::Append(AppendMessage {
                    term: self.hard_state.term,
                    previous_index,
                    previous_term,
                    entries,
                    commit: self.commit,
                    sent_at: now,
                })
            }
            // A heartbeat that any log matches.
            None if follower.awaits_snapshot(now) => AgreementMessage::Append(AppendMessage {
                term: self.hard_state.term,
                previous_index: 0,
                previous_term: 0,
                entries: Vec::new(),
                commit: 0,
                sent_at: now,
            }),
            None => {
                let snapshot = self.log.snapshot();
                follower.snapshot_sent = Some((snapshot.index, now));
                AgreementMessage::InstallSnapshot {
                    term: self.hard_state.term,
                    snapshot: Box::new(snapshot.clone()),
                    sent_at: now,
                }
            }
        };
        self.ask(now, host, message);
    }

    fn accept_leader(&mut self, now: Moment, from: HostId, term: u64) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        if term > self.hard_state.term {
            self.adopt_term(now, term);
        }
        self.become_follower(now);
        self.leader = Some(from);
        self.elections_without_leader = 0;
        self.inquiry = None;
        // Followers do not hear from each other.
        self.unanswered.clear();
        self.heard.clear();
        self.heard_leader = true;
        self.abstains_until = now + self.settings.election_timeout;
        self.reset_election_timer(now);
        true
    }

    fn reply_append(&mut self, to: HostId, accepted: bool, match_index: u64, sent_at: Moment) {
        let reply = AppendReply {
            term: self.hard_state.term,
            accepted,
            match_index,
            eligible: self.hard_state.eligible,
            incarnation: self.hard_state.incarnation,
            sent_at,
        };
        self.send(to, AgreementMessage::AppendReply(reply));
    }

    fn receive_append(&mut self, now: Moment, from: HostId, append: AppendMessage) {
        if !self.accept_leader(now, from, append.term) {
            return self.reply_append(from, false, 0, append.sent_at);
        }
        let previous_matches = append.previous_index <= self.log.snapshot().index
            || self.log.term_at(append.previous_index) == Some(append.previous_term);
        if !previous_matches {
            let may_match = self.log.last_index().min(append.previous_index - 1);
            return self.reply_append(from, false, may_match, append.sent_at);
        }
        let last = append.previous_index + append.entries.len() as u64;
        for entry in append.entries {
            self.append_missing_entry(from, entry);
        }
        self.commit_up_to(append.commit.min(last));
        self.reply_append(from, true, last, append.sent_at);
    }

    fn append_missing_entry(&mut self, leader: HostId, entry: LogEntry) {
        let present = entry.index <= self.log.snapshot().index
            || self.log.term_at(entry.index) == Some(entry.term);
        if present {
            return;
        }
        self.update_eligibility(leader, &entry);
        self.append_entry(entry);
    }

    /// Makes a host with an empty disk eligible once it has voted for the leader
    /// that formed the group, or once a leader has removed it from the voters
    /// and added it again.
    fn update_eligibility(&mut self, leader: HostId, entry: &LogEntry) {
        let EntryPayload::Voters { voters, admitted } = &entry.payload else {
            return;
        };
        if self.hard_state.eligible || !voters.contains(&self.me) {
            return;
        }
        let formed = entry.index == 1
            && entry.term == self.hard_state.term
            && self.hard_state.voted_for == Some(leader);
        let readmitted = admitted.is_some_and(|admitted| {
            admitted.host == self.me && admitted.incarnation == self.hard_state.incarnation
        });
        if formed || readmitted {
            self.update_hard_state(|hard| hard.eligible = true);
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
        if reply.term > self.hard_state.term {
            return self.adopt_term(now, reply.term);
        }
        let last_index = self.log.last_index();
        let AgreementRole::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(follower) = leader.followers.get_mut(&from) else {
            return;
        };
        if reply.term < self.hard_state.term {
            return;
        }
        // A reply that arrives out of order may predate the admission of the
        // follower's disk.
        if follower.acknowledged_at <= Some(reply.sent_at) {
            follower.acknowledged_at = Some(reply.sent_at);
            follower.eligible = reply.eligible;
            follower.incarnation = reply.incarnation;
            if reply.eligible {
                leader.excluded.remove(&from);
            }
            if !reply.eligible && !reply.accepted {
                follower.match_index = 0;
            }
        }
        if reply.accepted {
            follower.match_index = follower.match_index.max(reply.match_index);
            follower.next_index = follower.next_index.max(reply.match_index + 1);
        } else if reply.match_index < follower.match_index {
            // The rejection is late, or comes from a disk that lost synced
            // entries. The next heartbeat retries; an immediate retry would
            // cause another rejection, in an endless loop.
            follower.next_index = follower.match_index + 1;
            return;
        } else if follower.rewound_at.is_some_and(|at| reply.sent_at < at) {
            // Rejects a message that was on its way when the index was last moved back;
            // the missing entries have been sent since.
            return;
        } else {
            follower.next_index = reply.match_index + 1;
            follower.rewound_at = Some(now);
        }
        let is_behind = follower.next_index <= last_index;
        if is_behind && !follower.awaits_snapshot(now) {
            self.replicate_to(now, from);
        }
        let committed = self.commit;
        self.advance_commit(now);
        if self.commit > committed || !self.log.voters().contains(&from) {
            self.adjust_voters(now);
        }
    }

    /// Commits up to the last index that a quorum has synced, if the entry there
    /// is of the leader's own term.
    pub(super) fn advance_commit(&mut self, _now: Moment) {
        let AgreementRole::Leader(leader) = &self.role else {
            return;
        };
        let synced = |voter| match leader.followers.get(&voter) {
            _ if voter == self.me => Some(self.synced_index),
            Some(follower) if follower.eligible => Some(follower.match_index),
            _ => None,
        };
        let quorum_index = self.quorum_value(&leader.excluded, synced).unwrap_or(0);
        if self.log.term_at(quorum_index) == Some(self.hard_state.term) {
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
            if matches!(payload, EntryPayload::Voters { .. }) {
                self.update_hard_state(|hard| {
                    hard.committed_voters = hard.committed_voters.max(next);
                });
            }
            self.effects.push(AgreementEffect::Committed { index: next, payload });
        }
    }
}
