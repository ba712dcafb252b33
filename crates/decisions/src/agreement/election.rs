use std::collections::{BTreeMap, BTreeSet};

use super::{
    AgreementEffect, AgreementMessage, AgreementState, EntryPayload, VoteReply, VoteRequest,
    agreement_state::{AgreementRole, FollowerProgress, LeaderState},
};
use crate::{clock::Moment, control_state::ControlCommand, identity::HostId};

/// Pre-votes that a host without a leader holds in one election timeout.
const PRE_VOTES_PER_TIMEOUT: u32 = 4;

impl AgreementState {
    pub(super) fn tick(&mut self, now: Moment) {
        self.tend_inquiry(now);
        match &self.role {
            AgreementRole::Leader(leader) => {
                let silent = now.since(self.quorum_contact(leader, now).max(leader.elected_at));
                if silent >= self.settings.election_timeout {
                    self.step_down(now);
                } else if now >= leader.heartbeat_due {
                    self.replicate(now);
                    self.tend_voters(now);
                }
            }
            _ if now >= self.election_due => self.start_pre_vote(now),
            _ => {}
        }
    }

    fn start_pre_vote(&mut self, now: Moment) {
        // Asking again soon is harmless: a pre-vote changes nothing, and the
        // others may only just have started.
        let retry = self.settings.election_timeout / PRE_VOTES_PER_TIMEOUT;
        self.election_due = now + self.jittered(retry);
        if !self.log.voters().contains(&self.me) {
            return;
        }
        let forming = !self.hard.eligible;
        if forming && self.log.last_index() > 0 {
            return;
        }
        self.leader = None;
        self.campaign(now, true, forming);
    }

    fn campaign(&mut self, now: Moment, pre_vote: bool, forming: bool) {
        let term = self.hard.term + 1;
        if !pre_vote {
            let me = self.me;
            self.change_hard(|hard| {
                hard.term = term;
                hard.voted_for = Some(me);
            });
        }
        let granted = BTreeSet::from([self.me]);
        self.role = AgreementRole::Candidate { pre_vote, forming, granted };
        let request = VoteRequest {
            pre_vote,
            forming,
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for voter in self.log.voters().clone() {
            if voter != self.me {
                self.send(voter, AgreementMessage::Vote(request));
            }
        }
        self.count_votes(now);
    }

    pub(super) fn receive_vote(&mut self, now: Moment, from: HostId, request: VoteRequest) {
        let granted = self.would_grant(now, from, &request);
        if granted && !request.pre_vote {
            self.leave_role(now);
            self.change_hard(|hard| {
                hard.term = request.term;
                hard.voted_for = Some(from);
            });
            self.reset_election(now);
        }
        let reply = VoteReply {
            pre_vote: request.pre_vote,
            term: if granted { request.term } else { self.hard.term },
            granted,
        };
        self.send(from, AgreementMessage::VoteReply(reply));
    }

    fn would_grant(&self, now: Moment, from: HostId, request: &VoteRequest) -> bool {
        let abstains = now < self.abstains_until;
        if abstains || self.is_leader() || request.forming == self.hard.eligible {
            return false;
        }
        if request.forming && self.log.last_index() > 0 {
            return false;
        }
        let free = match request.term.cmp(&self.hard.term) {
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Equal => {
                !request.pre_vote && self.hard.voted_for.is_none_or(|host| host == from)
            }
            std::cmp::Ordering::Greater => true,
        };
        let theirs = (request.last_term, request.last_index);
        free && theirs >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn receive_vote_reply(&mut self, now: Moment, from: HostId, reply: VoteReply) {
        if !reply.granted {
            if reply.term > self.hard.term {
                self.adopt_term(now, reply.term);
            }
            return;
        }
        let expected = self.hard.term + u64::from(reply.pre_vote);
        let AgreementRole::Candidate { pre_vote, granted, .. } = &mut self.role else {
            return;
        };
        if *pre_vote == reply.pre_vote && reply.term == expected {
            granted.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Moment) {
        let AgreementRole::Candidate { pre_vote, forming, granted } = &self.role else {
            return;
        };
        let (pre_vote, forming) = (*pre_vote, *forming);
        let voters = self.log.voters();
        let needed = if forming { voters.len() } else { self.quorum() };
        if granted.intersection(voters).count() < needed {
            return;
        }
        if pre_vote {
            self.campaign(now, false, forming);
        } else {
            self.lead(now);
        }
    }

    fn lead(&mut self, now: Moment) {
        self.change_hard(|hard| hard.eligible = true);
        let first_index = self.log.last_index() + 1;
        // Configured voters that were taken out are learners: they are caught
        // up and taken in again, also by a leader that did not take them out.
        let followers: BTreeMap<HostId, FollowerProgress> = self
            .log
            .voters()
            .union(&self.settings.first_voters)
            .filter(|voter| **voter != self.me)
            .map(|voter| (*voter, FollowerProgress::new(first_index, now)))
            .collect();
        self.role = AgreementRole::Leader(LeaderState {
            followers,
            elected_at: now,
            heartbeat_due: now,
            first_index,
        });
        self.leader = Some(self.me);
        self.effects.push(AgreementEffect::Elected(self.hard.term));
        if first_index == 1 {
            let voters = self.log.voters().clone();
            self.append_own(EntryPayload::Voters { voters, admitted: None });
        }
        self.append_own(EntryPayload::Command(ControlCommand::LeaderElected));
        self.replicate(now);
    }

    pub(super) fn adopt_term(&mut self, now: Moment, term: u64) {
        self.leave_role(now);
        self.change_hard(|hard| {
            hard.term = term;
            hard.voted_for = None;
        });
    }

    fn step_down(&mut self, now: Moment) {
        self.leave_role(now);
        self.leader = None;
        self.reset_election(now);
    }

    pub(super) fn leave_role(&mut self, now: Moment) {
        if self.is_leader() {
            self.effects.push(AgreementEffect::SteppedDown);
            self.leader = None;
            self.reset_election(now);
        }
        self.role = AgreementRole::Follower;
    }
}
