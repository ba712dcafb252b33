use std::{collections::BTreeSet, time::Duration};

use super::{AgreementMessage, AgreementState, InquiryReply};
use crate::{clock::Moment, identity::HostId};

/// Time between two rounds of questions: links to hosts that start at the same
/// time come up one by one.
const ROUND_INTERVAL: Duration = Duration::from_millis(25);
/// Part of the election timeout within which hosts that know that nobody leads
/// ask for votes.
const SPREAD_PART: u32 = 8;

/// What a voter that has just started asks the others.
///
/// Before its stop it may have answered a leader, whose lease then counts on
/// it, so it gives no vote for one election timeout. If every host that may
/// lead says that it does not, there is no such lease and it need not wait:
/// after a loss of all hosts a leader is found at once.
#[derive(Debug)]
pub(super) struct StartInquiry {
    number: u64,
    round_due: Moment,
    ends_at: Moment,
    voters: BTreeSet<HostId>,
    answered: BTreeSet<HostId>,
}

impl StartInquiry {
    /// Questions of the host `me` to these voters, under a number that differs at
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

    /// When the next round is due.
    pub(super) fn due(&self) -> Moment {
        self.round_due
    }

    fn unanswered(&self) -> impl Iterator<Item = HostId> + '_ {
        self.voters.difference(&self.answered).copied()
    }
}

impl AgreementState {
    /// Asks those that have not answered yet, if it is time.
    pub(super) fn tend_inquiry(&mut self, now: Moment) {
        let Some(inquiry) = self.inquiry.as_mut().filter(|inquiry| now >= inquiry.round_due) else {
            return;
        };
        if now >= inquiry.ends_at {
            self.inquiry = None;
            return;
        }
        inquiry.round_due = now + ROUND_INTERVAL;
        let number = inquiry.number;
        let hosts: Vec<HostId> = inquiry.unanswered().collect();
        for host in hosts {
            self.send(host, AgreementMessage::Inquiry { number });
        }
    }

    /// Says whether this host leads or follows a leader.
    pub(super) fn receive_inquiry(&mut self, now: Moment, from: HostId, number: u64) {
        let follows = self.heard_leader && now < self.abstains_until;
        let reply = InquiryReply {
            number,
            knows_no_leader: !follows && !self.is_leader(),
            voters: self.log.voters().clone(),
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
        // A voter that this log does not name yet may lead as well.
        inquiry.voters.extend(reply.voters);
        if inquiry.unanswered().next().is_some() {
            return;
        }
        self.inquiry = None;
        self.abstains_until = now;
        self.election_due = now + self.spread(self.settings.election_timeout / SPREAD_PART);
    }
}
