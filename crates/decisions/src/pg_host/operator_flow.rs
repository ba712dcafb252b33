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

/// A question of an operator, answered by the control leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorQuestion {
    /// Make a plan for an intent.
    Plan(Intent),
    /// Confirm a plan.
    Confirm {
        /// Id of the operator's request; a repeat gets the first answer.
        request: Arc<str>,
        /// Id of the plan.
        plan: Arc<str>,
        /// Name of the operator.
        operator: Arc<str>,
        /// Wall-clock time, in milliseconds since 1970.
        at_unix_ms: u64,
    },
}

/// The answer to an operator's question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorAnswer {
    /// A plan, or what is wrong with the intent.
    Plan(Result<Plan, String>),
    /// The result of a confirmation.
    Confirm(ConfirmationResult),
    /// No host that can prove that it leads was reached; holds the leader, if known.
    NotCurrent(Option<HostId>),
}

/// A question that waits for its answer.
#[derive(Debug)]
pub(super) struct PendingQuestion {
    asker: QuestionAsker,
    awaited: AwaitedEvent,
    until: Moment,
}

/// What a question waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum AwaitedEvent {
    /// The answer of the leader, to which it was forwarded.
    Reply,
    /// The commit of the plan with this id.
    Plan(Arc<str>),
    /// The commit of the confirmation with this id.
    Confirmation(Arc<str>),
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
    /// Answers a question of an operator of this host if this host leads, else
    /// forwards it to the leader.
    pub(super) fn handle_question(&mut self, now: Moment, ticket: u64, question: OperatorQuestion) {
        let asker = QuestionAsker::Local(ticket);
        if self.is_current_leader(now) {
            return self.answer_question(now, asker, question);
        }
        let me = self.settings.id();
        match self.leader.filter(|leader| *leader != me) {
            Some(leader) => {
                self.await_event(now, asker, AwaitedEvent::Reply);
                self.send(leader, PeerMessage::OperatorAsk { ticket, question });
            }
            None => self.send_answer(asker, OperatorAnswer::NotCurrent(None)),
        }
    }

    pub(super) fn handle_peer_question(
        &mut self,
        now: Moment,
        from: HostId,
        ticket: u64,
        question: OperatorQuestion,
    ) {
        let asker = QuestionAsker::Peer(from, ticket);
        match self.is_current_leader(now) {
            true => self.answer_question(now, asker, question),
            false => self.send_answer(asker, OperatorAnswer::NotCurrent(self.leader)),
        }
    }

    pub(super) fn handle_peer_answer(&mut self, ticket: u64, answer: OperatorAnswer) {
        let asker = QuestionAsker::Local(ticket);
        let index = self.questions.iter().position(|pending| pending.asker == asker);
        if let Some(index) = index {
            self.questions.swap_remove(index);
            self.send_answer(asker, answer);
        }
    }

    fn answer_question(&mut self, now: Moment, asker: QuestionAsker, question: OperatorQuestion) {
        match question {
            OperatorQuestion::Plan(intent) => match self.control.make_plan(&intent) {
                // A plan that is not committed is lost if the leader fails.
                Ok(plan) if !self.control.plans.contains_key(&plan.id) => {
                    self.await_event(now, asker, AwaitedEvent::Plan(plan.id.clone()));
                    self.propose(now, ControlCommand::PlanMade(plan));
                }
                answer => self.send_answer(asker, OperatorAnswer::Plan(answer)),
            },
            OperatorQuestion::Confirm { request, plan, operator, at_unix_ms } => {
                if let Some(answer) = self.control.answers.get(&request).cloned() {
                    return self.send_answer(asker, OperatorAnswer::Confirm(answer));
                }
                self.await_event(now, asker, AwaitedEvent::Confirmation(request.clone()));
                let command = ControlCommand::PlanConfirmed { request, plan, operator, at_unix_ms };
                self.propose(now, command);
            }
        }
    }

    fn await_event(&mut self, now: Moment, asker: QuestionAsker, awaited: AwaitedEvent) {
        self.questions.push(PendingQuestion { asker, awaited, until: now + ANSWER_TIMEOUT });
    }

    fn send_answer(&mut self, asker: QuestionAsker, answer: OperatorAnswer) {
        match asker {
            QuestionAsker::Local(ticket) => {
                self.effects.push(HostEffect::Answer { ticket, answer });
            }
            QuestionAsker::Peer(host, ticket) => {
                self.send(host, PeerMessage::OperatorReply { ticket, answer });
            }
        }
    }

    /// Answers the questions that wait for a plan that was committed.
    pub(super) fn answer_plans(&mut self, plan: &Plan) {
        let awaited = AwaitedEvent::Plan(plan.id.clone());
        self.answer_awaiting(&awaited, &OperatorAnswer::Plan(Ok(plan.clone())));
    }

    /// Answers the questions that wait for a confirmation that was committed.
    pub(super) fn answer_confirmations(&mut self, request: &Arc<str>) {
        let Some(answer) = self.control.answers.get(request).cloned() else {
            return;
        };
        let awaited = AwaitedEvent::Confirmation(request.clone());
        self.answer_awaiting(&awaited, &OperatorAnswer::Confirm(answer));
    }

    fn answer_awaiting(&mut self, awaited: &AwaitedEvent, answer: &OperatorAnswer) {
        let (done, pending) = std::mem::take(&mut self.questions)
            .into_iter()
            .partition(|pending| pending.awaited == *awaited);
        self.questions = pending;
        let done: Vec<PendingQuestion> = done;
        for pending in done {
            self.send_answer(pending.asker, answer.clone());
        }
    }

    pub(super) fn expire_questions(&mut self, now: Moment) {
        let (late, pending) = std::mem::take(&mut self.questions)
            .into_iter()
            .partition(|pending| pending.until <= now);
        self.questions = pending;
        let leader = self.leader;
        for pending in late {
            self.send_answer(pending.asker, OperatorAnswer::NotCurrent(leader));
        }
    }
}
