use std::{rc::Rc, sync::Arc};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{SessionState, TransactionPhase},
    instances::InstanceKey,
    positions::LogPosition,
    routes::{RouteKind, RouteRule},
};
use tokio::time::{Duration, Instant};

use super::{
    entry_shared::EntryShared,
    request_trace::{RequestTrace, TraceEnd, TraceStep},
    statement_run::{
        NoPlace, ROLLBACK_TIMEOUT, RunLimits, RunPlace, encode_statement, find_place, pause_busy,
        run_at,
    },
    upstream_link::{AnswerEnd, LinkError, UpstreamAnswer},
};
use crate::edges::{CallerRefusal, CallerStatement, SessionPhase, StatementAction, UpstreamCode};

/// Part of a read's time that its first database gets, in percent; the rest is
/// for another one.
const FIRST_READ_PERCENT: u32 = 60;

/// What a caller is told.
pub(super) enum CallerReply {
    /// The statement needed no database.
    Done,
    /// A database's answer, as it came.
    Relayed {
        /// Rows, result and refusal.
        body: Vec<u8>,
        /// It is a result, not a refusal.
        served: bool,
    },
    /// No result.
    Refused(CallerRefusal, &'static str),
}

/// How one attempt at a database ended.
enum AttemptEnd {
    /// The caller gets this.
    Reply(CallerReply),
    /// Nothing ran there; another attempt may.
    Again,
}

/// Whether a statement that a database did not run is tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryAdvice {
    /// The caller gets the database's answer.
    Final,
    /// Elsewhere, at once.
    AtOnce,
    /// After a pause, if there is time for one.
    AfterPause,
}

impl RetryAdvice {
    /// Pauses if need be; true if another attempt may be made.
    pub(super) async fn follow(self, shared: &EntryShared, deadline: Instant) -> bool {
        match self {
            Self::Final => false,
            Self::AtOnce => true,
            Self::AfterPause => pause_busy(shared, deadline).await,
        }
    }
}

/// One caller's session.
pub(super) struct CallerSession {
    pub(super) shared: Rc<EntryShared>,
    database: Arc<str>,
    pub(super) state: SessionState,
    pub(super) pinned: Option<RunPlace>,
    /// The pinned transaction has written.
    pub(super) wrote: bool,
    /// When the caller asked for the session, until its first operation ends:
    /// a caller that opened it for that operation has waited since then.
    opened: Option<Moment>,
    /// Position of the last answer.
    pub(super) position: Option<LogPosition>,
}

impl CallerSession {
    pub(super) fn new(shared: &Rc<EntryShared>, database: Arc<str>, opened: Moment) -> Self {
        Self {
            shared: shared.clone(),
            database,
            state: SessionState::default(),
            pinned: None,
            wrote: false,
            opened: Some(opened),
            position: None,
        }
    }

    pub(super) fn phase(&self) -> SessionPhase {
        match self.state.transaction {
            TransactionPhase::Idle => SessionPhase::Idle,
            TransactionPhase::Begun { .. } | TransactionPhase::Pinned { .. } => {
                SessionPhase::InTransaction
            }
            TransactionPhase::Failed => SessionPhase::Failed,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.state.transaction == TransactionPhase::Idle
    }

    /// Time for which an open transaction may wait for its next statement.
    pub(super) fn idle_limit(&self) -> Option<Duration> {
        self.pinned.as_ref()?;
        let view = self.shared.view.borrow();
        view.routes().map(|table| table.limits.transaction_idle)
    }

    /// Runs one statement.
    pub(super) async fn run(&mut self, statement: &CallerStatement) -> CallerReply {
        let failed = self.state.transaction == TransactionPhase::Failed;
        match &statement.action {
            StatementAction::Rollback => {
                self.roll_back();
                self.state.transaction = TransactionPhase::Idle;
                CallerReply::Done
            }
            StatementAction::Commit if failed => {
                self.state.transaction = TransactionPhase::Idle;
                CallerReply::Refused(CallerRefusal::Aborted, "the transaction had failed")
            }
            _ if failed => {
                CallerReply::Refused(CallerRefusal::Malformed, "the transaction failed; end it")
            }
            StatementAction::Begin { read_only } => self.begin(*read_only),
            StatementAction::Commit if self.is_idle() => {
                CallerReply::Refused(CallerRefusal::Malformed, "no transaction is open")
            }
            StatementAction::SetValue { name, value } => {
                self.state.values.insert(name.clone(), value.clone());
                CallerReply::Done
            }
            StatementAction::Prepare { name, prepared } => {
                self.state.prepared.insert(name.clone(), prepared.clone());
                CallerReply::Done
            }
            StatementAction::Deallocate { name } => match self.state.prepared.remove(name) {
                Some(_) => CallerReply::Done,
                None => unknown_statement(),
            },
            StatementAction::Execute { name, .. } if !self.state.prepared.contains_key(name) => {
                unknown_statement()
            }
            _ => self.run_at_database(statement).await,
        }
    }

    fn begin(&mut self, read_only: bool) -> CallerReply {
        if !self.is_idle() {
            return CallerReply::Refused(CallerRefusal::Malformed, "a transaction is open");
        }
        self.state.transaction = TransactionPhase::Begun { read_only };
        CallerReply::Done
    }

    async fn run_at_database(&mut self, statement: &CallerStatement) -> CallerReply {
        let mut trace = RequestTrace::new(&statement.id, self.shared.now());
        let route = self.shared.view.borrow().route(&self.database);
        let reply = self.run_traced(statement, route.as_deref(), &mut trace).await;
        self.finish_trace(trace, statement, route.as_deref(), &reply);
        reply
    }

    fn finish_trace(
        &self,
        trace: RequestTrace,
        statement: &CallerStatement,
        route: Option<&RouteRule>,
        reply: &CallerReply,
    ) {
        let (outcome, hint) = match reply {
            CallerReply::Done | CallerReply::Relayed { served: true, .. } => ("served", ""),
            CallerReply::Relayed { .. } => ("refused by the database", ""),
            CallerReply::Refused(refusal, hint) => {
                self.shared.metrics.count_refusal(refusal.name());
                (refusal.name(), *hint)
            }
        };
        let now = self.shared.now();
        let view = self.shared.view.borrow();
        let end = TraceEnd {
            database: &self.database,
            route_kind: route.map_or("none", |route| route.kind.name()),
            action: statement.action.name(),
            outcome,
            hint,
            objective: route.map_or(Duration::ZERO, |route| route.objective),
            routes_version: view.routes_version(),
            lease_ms: view.lease_remaining(now).as_millis() as u64,
        };
        trace.finish(now, end, &self.shared.traces, &self.shared.metrics);
    }

    async fn run_traced(
        &mut self,
        statement: &CallerStatement,
        route: Option<&RouteRule>,
        trace: &mut RequestTrace,
    ) -> CallerReply {
        if let Some(place) = self.pinned.take() {
            let timeout = route.map_or(ROLLBACK_TIMEOUT, |route| route.timeout);
            let deadline = Instant::now() + timeout;
            return self.run_pinned(place, statement, deadline, trace).await;
        }
        let Some(route) = route else {
            self.state.transaction = TransactionPhase::Idle;
            return CallerReply::Refused(CallerRefusal::UnknownDatabase, "no route has this name");
        };
        let deadline = Instant::now() + route.timeout;
        let arrived = self.opened.take().unwrap_or_else(|| self.shared.now());
        match self.state.transaction {
            TransactionPhase::Begun { read_only } => {
                self.run_first(route, statement, read_only, arrived, deadline, trace).await
            }
            _ => self.run_single(route, statement, arrived, deadline, trace).await,
        }
    }

    pub(super) fn writes(&self, statement: &CallerStatement) -> bool {
        match &statement.action {
            StatementAction::Write => true,
            StatementAction::Execute { name, .. } => {
                self.state.prepared.get(name).is_some_and(|prepared| prepared.writes)
            }
            _ => false,
        }
    }

    /// Runs a statement outside a transaction.
    async fn run_single(
        &mut self,
        route: &RouteRule,
        statement: &CallerStatement,
        arrived: Moment,
        deadline: Instant,
        trace: &mut RequestTrace,
    ) -> CallerReply {
        let writes = self.writes(statement);
        let limits = RunLimits {
            route,
            arrived,
            deadline,
            needs_primary: writes,
            may_move: !writes && route.kind != RouteKind::Primary,
            writes,
            last_commit: self.state.last_commit,
        };
        let mut tried = Vec::new();
        loop {
            let place = match find_place(&self.shared, &limits, &mut tried, trace).await {
                Ok(place) => place,
                Err(no_place) => return refuse_no_place(no_place),
            };
            let end = self.try_single(place, statement, &limits, &mut tried, trace).await;
            match end {
                AttemptEnd::Reply(reply) => return reply,
                AttemptEnd::Again if Instant::now() >= deadline => {
                    return CallerReply::Refused(CallerRefusal::NotRun, "no database had room");
                }
                AttemptEnd::Again => {}
            }
        }
    }

    async fn try_single(
        &mut self,
        mut place: RunPlace,
        statement: &CallerStatement,
        limits: &RunLimits<'_>,
        tried: &mut Vec<InstanceKey>,
        trace: &mut RequestTrace,
    ) -> AttemptEnd {
        let mut out = Vec::with_capacity(statement.text.len() + 64);
        let after = place.after;
        place.encode_urgency(&self.shared, &mut out);
        let Some(link) = place.link.link() else {
            return AttemptEnd::Again;
        };
        let restoring =
            encode_statement(&self.shared, link, &self.state, statement, after, &mut out);
        let until = attempt_deadline(limits, tried);
        let result = run_at(&self.shared, &mut place, &out, restoring, until, trace).await;
        let key = place.link.record().key.clone();
        let answer = match result {
            Ok(answer) => answer,
            Err(error) if limits.writes => {
                let hint = match error {
                    LinkError::Broken => "the connection to the database broke",
                    LinkError::TimedOut => "the database did not answer in time",
                    LinkError::TermChanged => "the primary was replaced",
                };
                return AttemptEnd::Reply(CallerReply::Refused(CallerRefusal::InDoubt, hint));
            }
            Err(LinkError::TimedOut) if Instant::now() >= limits.deadline => {
                let hint = "the database did not answer in time";
                return AttemptEnd::Reply(CallerReply::Refused(CallerRefusal::TimedOut, hint));
            }
            Err(_) => {
                tried.push(key);
                trace.note(self.shared.now(), TraceStep::Retried { reason: "no answer" });
                return AttemptEnd::Again;
            }
        };
        if answer.phase != SessionPhase::Idle {
            let hint = "the database's connection is in an unknown state";
            return AttemptEnd::Reply(CallerReply::Refused(CallerRefusal::InDoubt, hint));
        }
        let advice = self.retry_advice(&place, &answer, !limits.writes, tried);
        let (number, service) = (place.number, place.service.clone());
        match answer.end {
            AnswerEnd::Refused(UpstreamCode::UnknownStatement) => drop(place),
            _ => place.link.release(),
        }
        if advice.follow(&self.shared, limits.deadline).await {
            trace.note(self.shared.now(), TraceStep::Retried { reason: retry_reason(answer.end) });
            return AttemptEnd::Again;
        }
        if limits.writes && answer.end == AnswerEnd::Done {
            if !self.accepts(&service, number) {
                let hint = "the primary was replaced before it answered";
                return AttemptEnd::Reply(CallerReply::Refused(CallerRefusal::InDoubt, hint));
            }
            self.state.record_commit(answer.position);
        }
        AttemptEnd::Reply(self.relay(answer))
    }

    /// Notes why a database gave no result, and says whether another attempt may
    /// be made: always where nothing ran, and once at each database for a read
    /// that failed.
    pub(super) fn retry_advice(
        &self,
        place: &RunPlace,
        answer: &UpstreamAnswer,
        only_reads: bool,
        tried: &mut Vec<InstanceKey>,
    ) -> RetryAdvice {
        let AnswerEnd::Refused(code) = answer.end else {
            return RetryAdvice::Final;
        };
        match code {
            UpstreamCode::Busy | UpstreamCode::UnknownStatement | UpstreamCode::ReadOnly => {
                RetryAdvice::AfterPause
            }
            UpstreamCode::Lagging | UpstreamCode::Misrouted => {
                let key = &place.link.record().key;
                if let Some(position) = place.after {
                    let now = self.shared.now();
                    self.shared.view.borrow_mut().loads.record_lag(now, key, position);
                }
                tried.push(key.clone());
                match code {
                    UpstreamCode::Lagging => RetryAdvice::AtOnce,
                    _ => RetryAdvice::AfterPause,
                }
            }
            UpstreamCode::Failed if only_reads && !tried.contains(&place.link.record().key) => {
                tried.push(place.link.record().key.clone());
                RetryAdvice::AtOnce
            }
            UpstreamCode::ConnectionLimit | UpstreamCode::Failed | UpstreamCode::Other => {
                RetryAdvice::Final
            }
        }
    }

    pub(super) fn accepts(&self, service: &str, number: Option<u64>) -> bool {
        let view = self.shared.view.borrow();
        number.is_some_and(|number| view.accepts_answer(self.shared.now(), service, number))
    }

    pub(super) fn relay(&mut self, answer: UpstreamAnswer) -> CallerReply {
        self.position = answer.position;
        CallerReply::Relayed { served: answer.end == AnswerEnd::Done, body: answer.body }
    }
}

impl Drop for CallerSession {
    fn drop(&mut self) {
        self.roll_back();
    }
}

pub(super) fn retry_reason(end: AnswerEnd) -> &'static str {
    match end {
        AnswerEnd::Refused(code) => code.name(),
        AnswerEnd::Done => "begun nowhere",
    }
}

/// Until when one attempt may take; a first read leaves time for a second.
fn attempt_deadline(limits: &RunLimits<'_>, tried: &[InstanceKey]) -> Instant {
    if limits.writes || !tried.is_empty() {
        return limits.deadline;
    }
    let now = Instant::now();
    now + limits.deadline.saturating_duration_since(now) * FIRST_READ_PERCENT / 100
}

fn unknown_statement() -> CallerReply {
    CallerReply::Refused(CallerRefusal::UnknownStatement, "no statement has this name")
}

pub(super) fn refuse_no_place(no_place: NoPlace) -> CallerReply {
    let hint = match no_place {
        NoPlace::NoConnection => "no connection to the database was free; try again at once",
        NoPlace::NoPrimary => "the primary is being replaced; try again in 500 ms",
    };
    CallerReply::Refused(CallerRefusal::NotRun, hint)
}
