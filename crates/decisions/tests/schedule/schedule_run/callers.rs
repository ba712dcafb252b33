use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    control_state::{Declaration, Intent, ServiceDeclaration},
    directory::DatabaseRole,
    identity::{RequestId, SessionId},
    outcomes::{Outcome, ResultCode},
    pg_host::{GatewayAddress, HostEvent, OperatorAnswer, OperatorQuestion},
    positions::LogPosition,
    requests::{PositionSource, RequestArrival, RequestKind},
};
use rand::RngExt;

use super::{Action, CALLERS_UNTIL, MILLI, Sabotage, ScheduleRun, group};
use crate::schedule::{fake_database::FakeDatabase, schedule_verdict::CallerOperation};

impl ScheduleRun {
    pub(super) fn start_operation(&mut self, session: usize) {
        if self.now >= CALLERS_UNTIL {
            return;
        }
        // With the fences removed, each session stays at one host: sessions that
        // change hosts would all end up waiting on the other side of a partition.
        let host = match self.sabotage {
            Sabotage::NoFences => session % self.hosts.len(),
            _ => self.rng.random_range(0..self.hosts.len()),
        };
        let think = self.rng.random_range(1_000..20 * MILLI);
        if self.hosts[host].state.is_none() {
            return self.after(think, Action::NextOperation(session));
        }
        let writes = self.rng.random_range(0..10) < 4;
        let number = writes.then(|| {
            self.numbers[session] += 1;
            self.numbers[session]
        });
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.operations.push(CallerOperation {
            session,
            number,
            sent_at: self.now,
            answered_at: None,
            outcome: Outcome::Unknown,
            found: 0,
        });
        self.running.insert((host, request), self.operations.len() - 1);
        let kind = match (writes, self.rng.random_range(0..2)) {
            (true, _) => RequestKind::Write,
            (false, 0) => RequestKind::SessionRead,
            (false, _) => RequestKind::BoundedStaleness(Duration::from_millis(500)),
        };
        self.send_request(host, request, session, kind, false);
    }

    pub(super) fn send_request(
        &mut self,
        host: usize,
        request: RequestId,
        session: usize,
        kind: RequestKind,
        forwarded: bool,
    ) {
        let arrival = RequestArrival {
            request,
            group: group(),
            kind,
            position_source: PositionSource::PositionHosts(LogPosition::default()),
            session: Some(SessionId::new(&format!("s{session}")).unwrap()),
            transaction: false,
            caller: Arc::from(format!("caller-{session}")),
            forwarded,
            deadline: self.moment(host) + Duration::from_secs(2),
        };
        self.step(host, HostEvent::RequestArrived(arrival));
    }

    /// Forwards a request to the first gateway, as the daemon does. It is refused if
    /// the gateway is down or cannot be reached.
    pub(super) fn forward_request(
        &mut self,
        host: usize,
        request: RequestId,
        gateways: &[GatewayAddress],
    ) {
        let Some(operation) = self.running.remove(&(host, request)) else {
            return;
        };
        let gateway = gateways[0].host.0 as usize;
        let record = &self.operations[operation];
        let (session, number) = (record.session, record.number);
        let unreachable =
            self.hosts[gateway].state.is_none() || self.cut_links.contains(&(host, gateway));
        self.running.insert((gateway, request), operation);
        if unreachable {
            return self.complete_operation(gateway, request, ResultCode::NoDatabase);
        }
        let kind = match number {
            Some(_) => RequestKind::Write,
            None => RequestKind::SessionRead,
        };
        self.send_request(gateway, request, session, kind, true);
    }

    pub(super) fn complete_operation(
        &mut self,
        host: usize,
        request: RequestId,
        result: ResultCode,
    ) {
        let Some(operation) = self.running.remove(&(host, request)) else {
            return;
        };
        let record = &mut self.operations[operation];
        record.answered_at = Some(self.now);
        record.outcome = result.outcome();
        let session = record.session;
        if record.number.is_some() && result == ResultCode::Done {
            let newest = self.databases.iter().filter(|d| d.role == DatabaseRole::Primary);
            let newest = newest.max_by_key(|database| database.term);
            let has_write =
                |d: &FakeDatabase| d.log.iter().any(|entry| entry.operation == operation);
            if newest.is_some_and(|database| !has_write(database)) {
                let text = format!("write {operation} was acknowledged by a replaced primary");
                self.verdict.record_violation(text);
            }
        }
        let think = self.rng.random_range(1_000..20 * MILLI);
        self.after(think, Action::NextOperation(session));
    }

    // Operators: two of them race to change each version, and some repeat a request.

    pub(super) fn send_question(&mut self, question: OperatorQuestion) {
        let host = self.rng.random_range(0..self.hosts.len());
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.tickets.insert(ticket, question.clone());
        self.step(host, HostEvent::OperatorAsked { ticket, question });
    }

    pub(super) fn run_operators(&mut self) {
        if self.now < CALLERS_UNTIL {
            self.after(150 * MILLI, Action::RunOperators);
        }
        for _ in 0..2 {
            let max_waiting = self.rng.random_range(500..2_000);
            let service = ServiceDeclaration { instances: 1, databases: 3, max_waiting };
            let services = BTreeMap::from([(Arc::from("shiftbook"), service)]);
            self.send_question(OperatorQuestion::Plan(Intent::Declare(Declaration { services })));
        }
    }

    pub(super) fn handle_answer(&mut self, ticket: u64, answer: OperatorAnswer) {
        let Some(question) = self.tickets.remove(&ticket) else {
            return;
        };
        match (question, answer) {
            (OperatorQuestion::Plan(_), OperatorAnswer::Plan(Ok(plan))) => {
                let request: Arc<str> = Arc::from(format!("request-{ticket}"));
                self.plans.insert(ticket, (plan.id.clone(), plan.base_version));
                let question = OperatorQuestion::Confirm {
                    request,
                    plan: plan.id,
                    operator: Arc::from("op"),
                    at_unix_ms: self.now / MILLI,
                };
                self.send_question(question.clone());
                if self.rng.random_range(0..4) == 0 {
                    self.send_question(question);
                }
            }
            (OperatorQuestion::Confirm { request, .. }, OperatorAnswer::Confirm(answer)) => {
                self.check_confirmation(request, answer.result, answer.version);
            }
            _ => {}
        }
    }

    pub(super) fn check_confirmation(
        &mut self,
        request: Arc<str>,
        result: ResultCode,
        version: u64,
    ) {
        let first = *self.answers.entry(request.clone()).or_insert((result, version));
        if first != (result, version) {
            self.verdict.record_violation(format!("{request} got two answers"));
        }
        let ticket: u64 = request["request-".len()..].parse().unwrap();
        let Some((_, base)) = self.plans.get(&ticket) else {
            return;
        };
        if result == ResultCode::Done && version > *base {
            let applied_plans = self.applied_plans.entry(*base).or_default();
            applied_plans.insert(self.plans[&ticket].0.clone());
            if applied_plans.len() > 1 {
                self.verdict.record_violation(format!("two plans were applied on version {base}"));
            }
        }
    }
}
