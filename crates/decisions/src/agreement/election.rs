use std::collections::{BTreeMap, BTreeSet};

use super::{
    AgreementEffect, AgreementMessage, AgreementState, EntryPayload, VoteReply, VoteRequest,
    agreement_state::{AgreementRole, CandidateState, FollowerProgress, LeaderState},
};
use crate::{clock::Moment, control_state::ControlCommand, identity::HostId};

/// A host without a leader starts at most this many pre-votes per election
/// timeout.
const PRE_VOTES_PER_TIMEOUT: u32 = 4;
/// Limit for the doublings of a candidate's time to collect votes. The longest time is
/// twice to four times the election timeout.
const MAX_VOTE_TIME_DOUBLINGS: u32 = 3;

impl AgreementState {
    pub(super) fn tick(&mut self, now: Moment) {
        self.advance_inquiry(now);
        match &self.role {
            AgreementRole::Leader(leader) => {
                let quorum_silence =
                    now.since(self.quorum_contact_time(leader, now).max(leader.elected_at));
                if quorum_silence >= self.settings.election_timeout {
                    self.step_down(now);
                } else if now >= leader.heartbeat_due {
                    self.replicate(now);
                    self.adjust_voters(now);
                }
            }
            _ if now >= self.election_due => self.start_pre_vote(now),
            _ => {}
        }
    }

    fn start_pre_vote(&mut self, now: Moment) {
        // A pre-vote changes no voter's state, so it is repeated soon: the other
        // voters may have been starting when they were asked.
        let retry = self.settings.election_timeout / PRE_VOTES_PER_TIMEOUT;
        self.election_due = now + self.random_timeout(retry);
        if !self.log.voters().contains(&self.me) {
            return;
        }
        let forming = !self.hard_state.eligible;
        if forming && self.log.last_index() > 0 {
            return;
        }
        self.leader = None;
        self.campaign(now, true, forming, BTreeSet::new());
    }

    fn campaign(
        &mut self,
        now: Moment,
        pre_vote: bool,
        forming: bool,
        excludable: BTreeSet<HostId>,
    ) {
        let term = self.hard_state.term + 1;
        if !pre_vote {
            self.extend_vote_time(now);
            let me = self.me;
            let joins_group = forming && self.is_first_voter();
            self.update_hard_state(|hard| {
                hard.term = term;
                hard.voted_for = Some(me);
                hard.eligible |= joins_group;
            });
        }
        let granted = BTreeSet::from([self.me]);
        let excluded = BTreeSet::new();
        let candidate = CandidateState { pre_vote, forming, granted, excluded, excludable };
        self.role = AgreementRole::Candidate(candidate);
        let request = VoteRequest {
            pre_vote,
            forming,
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for voter in self.voting_hosts() {
            if voter != self.me {
                self.ask(now, voter, AgreementMessage::Vote(request));
            }
        }
        self.count_votes(now);
    }

    /// Leaves each further election in a row twice the time to collect votes. Voters answer
    /// once their vote is synced: on slow disks, elections that are abandoned too soon only
    /// add to what the disks have to sync.
    fn extend_vote_time(&mut self, now: Moment) {
        let doublings = self.elections_without_leader.min(MAX_VOTE_TIME_DOUBLINGS);
        self.elections_without_leader += 1;
        if doublings > 0 {
            let shortest = self.settings.election_timeout / PRE_VOTES_PER_TIMEOUT;
            self.election_due = now + self.random_timeout(shortest * 2u32.pow(doublings));
        }
    }

    /// True at the first start of the deployment, when no disk can have been lost. A host
    /// that then takes part in a vote to form the group is a voter of it from that vote on,
    /// which is on its disk: the host that wins may stop before the others have an entry.
    fn is_first_voter(&self) -> bool {
        self.settings.first_voters.contains(&self.me)
    }

    pub(super) fn receive_vote(&mut self, now: Moment, from: HostId, request: VoteRequest) {
        let granted = self.can_grant_vote(now, from, &request);
        if granted && !request.pre_vote {
            self.become_follower(now);
            let joins_group = request.forming && self.is_first_voter();
            self.update_hard_state(|hard| {
                hard.term = request.term;
                hard.voted_for = Some(from);
                hard.eligible |= joins_group;
            });
            self.reset_election_timer(now);
        }
        let empty_disk = !granted && self.reports_empty_disk(now, &request);
        if empty_disk && !request.pre_vote && request.term > self.hard_state.term {
            self.adopt_term(now, request.term);
        }
        let reply = VoteReply {
            pre_vote: request.pre_vote,
            term: if granted { request.term } else { self.hard_state.term },
            granted,
            empty_disk,
        };
        self.send(from, AgreementMessage::VoteReply(reply));
    }

    /// True if the candidate, which has a log, may be elected without this voter, as what it
    /// had promised and synced is lost with its disk.
    fn reports_empty_disk(&self, now: Moment, request: &VoteRequest) -> bool {
        let follows = self.follows_leader(now);
        !self.hard_state.eligible && !request.forming && request.last_index > 0 && !follows
    }

    fn can_grant_vote(&self, now: Moment, from: HostId, request: &VoteRequest) -> bool {
        let abstains = now < self.abstains_until;
        let may_vote = match request.forming {
            true => self.log.last_index() == 0,
            false => self.hard_state.eligible,
        };
        if abstains || self.is_leader() || !may_vote {
            return false;
        }
        let term_allows = match request.term.cmp(&self.hard_state.term) {
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Equal => {
                !request.pre_vote && self.hard_state.voted_for.is_none_or(|host| host == from)
            }
            std::cmp::Ordering::Greater => true,
        };
        let candidate_position = (request.last_term, request.last_index);
        term_allows && candidate_position >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn receive_vote_reply(&mut self, now: Moment, from: HostId, reply: VoteReply) {
        if !reply.granted {
            if reply.term > self.hard_state.term {
                return self.adopt_term(now, reply.term);
            }
            if reply.empty_disk {
                self.exclude_voter(now, from, reply);
            }
            return;
        }
        let expected = self.hard_state.term + u64::from(reply.pre_vote);
        let AgreementRole::Candidate(candidate) = &mut self.role else {
            return;
        };
        if candidate.pre_vote == reply.pre_vote && reply.term == expected {
            candidate.granted.insert(from);
            self.count_votes(now);
        }
    }

    /// Counts the vote without a voter whose disk was lost before any vote was requested: of two
    /// candidates that exclude different voters, neither has the vote of the one that the other
    /// excludes. In the vote itself the voter must follow its term, so that no leader of an
    /// earlier one can make it a voter again.
    fn exclude_voter(&mut self, now: Moment, from: HostId, reply: VoteReply) {
        let follows_term = reply.term == self.hard_state.term;
        let AgreementRole::Candidate(candidate) = &mut self.role else {
            return;
        };
        let is_certain = candidate.excludable.contains(&from) && follows_term;
        if candidate.pre_vote == reply.pre_vote && (reply.pre_vote || is_certain) {
            candidate.excluded.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Moment) {
        let AgreementRole::Candidate(candidate) = &self.role else {
            return;
        };
        let CandidateState { pre_vote, forming, granted, excluded, .. } = candidate;
        let is_won = match forming {
            true => self.log.voters().is_subset(granted),
            false => {
                let granted = |voter| granted.contains(&voter).then_some(());
                self.quorum_value(excluded, granted).is_some()
            }
        };
        if !is_won {
            return;
        }
        let (pre_vote, forming, excluded) = (*pre_vote, *forming, excluded.clone());
        match pre_vote {
            true => self.campaign(now, false, forming, excluded),
            false => self.become_leader(now, excluded),
        }
    }

    fn become_leader(&mut self, now: Moment, excluded: BTreeSet<HostId>) {
        self.update_hard_state(|hard| hard.eligible = true);
        let first_index = self.log.last_index() + 1;
        // Initial voters that were removed are learners: they catch up and are
        // added again, even if another leader removed them.
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
            excluded,
        });
        self.leader = Some(self.me);
        self.elections_without_leader = 0;
        self.effects.push(AgreementEffect::Elected(self.hard_state.term));
        if first_index == 1 {
            let voters = self.log.voters().clone();
            self.append_payload(EntryPayload::Voters { voters, admitted: None });
        }
        self.append_payload(EntryPayload::Command(ControlCommand::LeaderElected));
        self.replicate(now);
    }

    pub(super) fn adopt_term(&mut self, now: Moment, term: u64) {
        self.become_follower(now);
        self.update_hard_state(|hard| {
            hard.term = term;
            hard.voted_for = None;
        });
    }

    fn step_down(&mut self, now: Moment) {
        self.become_follower(now);
        self.leader = None;
        self.reset_election_timer(now);
    }

    pub(super) fn become_follower(&mut self, now: Moment) {
        if self.is_leader() {
            self.effects.push(AgreementEffect::SteppedDown);
            self.leader = None;
            self.reset_election_timer(now);
        }
        self.role = AgreementRole::Follower;
    }
}
