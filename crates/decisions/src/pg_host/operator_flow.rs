use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{HostEffect, HostState, PeerMessage};
use crate::{
    clock::Moment,
    control_state::{ConfirmationResult, ControlCommand, Intent, Plan},
    identity::HostId,
};

/// Time that an operator's question waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// What an operator asks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorQuestion {
    /// Make a plan.
    Plan(Intent),
    /// Confirm a plan.
    Confirm {
        /// Identity of the operator's request; a repeat gets the first answer.
        request: Arc<str>,
        /// The plan.
        plan: Arc<str>,
        /// Who confirms.
        operator: Arc<str>,
        /// Wall-clock time, in milliseconds since 1970.
        at_unix_ms: u64,
    },
}

/// What an operator hears.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorAnswer {
    /// A plan, or what is wrong with the intent.
    Plan(Result<Plan, String>),
    /// How a confirmation ended.
    Confirm(ConfirmationResult),
    /// No host that can prove to lead was reached; the leader, if known.
    NotCurrent(Option<HostId>),
}

/// A question that waits for its answer.
#[derive(Debug)]
pub(super) struct PendingQuestion {
    asker: QuestionAsker,
    /// The confirmation that it waits for, on the leader.
    request: Option<Arc<str>>,
    until: Moment,
}

/// Who waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QuestionAsker {
    /// An operator of this host, by the number of its question.
    Local(u64),
    /// An operator of another host.
    Peer(HostId, u64),
}

impl HostState {
    /// An operator asks here: the leader answers, other hosts pass it on.
    pub(super) fn asked(&mut self, now: Moment, ticket: u64, question: OperatorQuestion) {
        let asker = QuestionAsker::Local(ticket);
        if self.is_current_leader(now) {
            return self.answer_question(now, asker, question);
        }
        let me = self.settings.id();
        match self.leader.filter(|leader| *leader != me) {
            Some(leader) => {
                let until = now + ANSWER_TIMEOUT;
                self.questions.push(PendingQuestion { asker, request: None, until });
                self.send(leader, PeerMessage::OperatorAsk { ticket, question });
            }
            None => self.reply(asker, OperatorAnswer::NotCurrent(None)),
        }
    }

    pub(super) fn asked_by_peer(
        &mut self,
        now: Moment,
        from: HostId,
        ticket: u64,
        question: OperatorQuestion,
    ) {
        let asker = QuestionAsker::Peer(from, ticket);
        match self.is_current_leader(now) {
            true => self.answer_question(now, asker, question),
            false => self.reply(asker, OperatorAnswer::NotCurrent(self.leader)),
        }
    }

    pub(super) fn answered_by_peer(&mut self, ticket: u64, answer: OperatorAnswer) {
        let asker = QuestionAsker::Local(ticket);
        let known = self.questions.iter().position(|pending| pending.asker == asker);
        if let Some(place) = known {
            self.questions.swap_remove(place);
            self.reply(asker, answer);
        }
    }

    fn answer_question(&mut self, now: Moment, asker: QuestionAsker, question: OperatorQuestion) {
        match question {
            OperatorQuestion::Plan(intent) => {
                let answer = self.control.make_plan(&intent);
                if let Ok(plan) = &answer
                    && !self.control.plans.contains_key(&plan.id)
                {
                    self.propose(now, ControlCommand::PlanMade(plan.clone()));
                }
                self.reply(asker, OperatorAnswer::Plan(answer));
            }
            OperatorQuestion::Confirm { request, plan, operator, at_unix_ms } => {
                if let Some(answer) = self.control.answers.get(&request).cloned() {
                    return self.reply(asker, OperatorAnswer::Confirm(answer));
                }
                let until = now + ANSWER_TIMEOUT;
                let pending = PendingQuestion { asker, request: Some(request.clone()), until };
                self.questions.push(pending);
                let command = ControlCommand::PlanConfirmed { request, plan, operator, at_unix_ms };
                self.propose(now, command);
            }
        }
    }

    fn reply(&mut self, asker: QuestionAsker, answer: OperatorAnswer) {
        match asker {
            QuestionAsker::Local(ticket) => {
                self.effects.push(HostEffect::Answer { ticket, answer });
            }
            QuestionAsker::Peer(host, ticket) => {
                self.send(host, PeerMessage::OperatorReply { ticket, answer });
            }
        }
    }

    /// A confirmation was committed: those who wait for it hear its answer.
    pub(super) fn answer_confirmations(&mut self, request: &Arc<str>) {
        let Some(answer) = self.control.answers.get(request).cloned() else {
            return;
        };
        let (done, waiting) = std::mem::take(&mut self.questions)
            .into_iter()
            .partition(|pending| pending.request.as_ref() == Some(request));
        self.questions = waiting;
        for pending in done {
            self.reply(pending.asker, OperatorAnswer::Confirm(answer.clone()));
        }
    }

    pub(super) fn expire_questions(&mut self, now: Moment) {
        let (late, waiting) = std::mem::take(&mut self.questions)
            .into_iter()
            .partition(|pending| pending.until <= now);
        self.questions = waiting;
        let leader = self.leader;
        for pending in late {
            self.reply(pending.asker, OperatorAnswer::NotCurrent(leader));
        }
    }
}
