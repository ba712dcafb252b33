use std::{collections::BTreeSet, time::Duration};

use super::{AgreementMessage, AgreementState, InquiryReply};
use crate::{clock::Moment, identity::HostId};

/// Interval at which hosts that have not answered are asked again; links to
/// hosts that start at the same time come up one by one.
const INQUIRY_INTERVAL: Duration = Duration::from_millis(25);
/// After an inquiry finds no leader, the host starts its pre-vote after a random
/// delay of at most the election timeout divided by this.
const VOTE_DELAY_DIVISOR: u32 = 8;

/// Inquiry of a voter that has just started: asks all voters whether there is a
/// leader.
///
/// The voter may have answered a leader just before it stopped. The leader's
/// lease may rely on that answer, so the voter grants no vote for one election
/// timeout. If every host that may lead reports that there is no leader, no such
/// lease exists and the wait ends: after a failure of all hosts a leader is
/// elected without that delay.
#[derive(Debug)]
pub(super) struct LeaderInquiry {
    number: u64,
    round_due: Moment,
    ends_at: Moment,
    voters: BTreeSet<HostId>,
    answered: BTreeSet<HostId>,
}

impl LeaderInquiry {
    /// Creates an inquiry of the host `me` to `voters`. `number` must differ at
    /// every start.
    pub(super) fn new(
        me: HostId,
        number: u64,
        now: Moment,
        ends_at: Moment,
        voters: BTreeSet<HostId>,
    ) -> Self {
        // The host itself has just started, so it does not lead.
        Self { number, round_due: now, ends_at, voters, answered: BTreeSet::from([me]) }
    }

    /// Time of the next round of inquiries.
    pub(super) fn due(&self) -> Moment {
        self.round_due
    }

    fn unanswered(&self) -> impl Iterator<Item = HostId> + '_ {
        self.voters.difference(&self.answered).copied()
    }
}

impl AgreementState {
    /// Sends the next round of inquiries if it is due, and ends the inquiry at
    /// its deadline.
    pub(super) fn advance_inquiry(&mut self, now: Moment) {
        let Some(inquiry) = self.inquiry.as_mut().filter(|inquiry| now >= inquiry.round_due) else {
            return;
        };
        if now >= inquiry.ends_at {
            self.inquiry = None;
            return;
        }
        inquiry.round_due = now + INQUIRY_INTERVAL;
        let number = inquiry.number;
        let hosts: Vec<HostId> = inquiry.unanswered().collect();
        for host in hosts {
            self.ask(now, host, AgreementMessage::Inquiry { number });
        }
    }

    /// True if this host has heard from a leader within the last election timeout.
    pub(super) fn follows_leader(&self, now: Moment) -> bool {
        self.heard_leader && now < self.abstains_until
    }

    /// Answers whether this host leads or follows a leader.
    pub(super) fn receive_inquiry(&mut self, now: Moment, from: HostId, number: u64) {
        let follows = self.follows_leader(now);
        let reply = InquiryReply {
            number,
            knows_no_leader: !follows && !self.is_leader(),
            voters: self.voting_hosts(),
        };
        self.send(from, AgreementMessage::InquiryReply(reply));
    }

    pub(super) fn receive_inquiry_reply(&mut self, now: Moment, from: HostId, reply: InquiryReply) {
        let Some(inquiry) = self.inquiry.as_mut().filter(|i| i.number == reply.number) else {
            return;
        };
        if !reply.knows_no_leader {
            self.inquiry = None;
            return;
        }
        inquiry.answered.insert(from);
        // A voter that this host's log does not contain yet may be the leader.
        inquiry.voters.extend(reply.voters);
        if inquiry.unanswered().next().is_some() {
            return;
        }
        self.inquiry = None;
        self.abstains_until = now;
        self.election_due =
            now + self.random_delay(self.settings.election_timeout / VOTE_DELAY_DIVISOR);
    }
}
