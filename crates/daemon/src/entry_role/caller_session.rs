use std::{rc::Rc, sync::Arc};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{SessionState, TransactionPhase},
    positions::LogPosition,
    routes::{RouteKind, RouteRule},
};
use tokio::time::{Duration, Instant};

use super::{
    caller_admission::StatementCaller,
    caller_reply::{CUT_OFF_HINT, CallerReply},
    entry_shared::EntryShared,
    message_room::MessageRoom,
    pool_overload::OVERLOADED,
    refused_operation::RefusedOperation,
    request_trace::{RequestTrace, TraceEnd, TraceStep},
    retry_decision::RetryDecision,
    run_limits::{RunLimits, TriedUpstreams},
    statement_run::{
        AssignError, AssignedConnection, ROLLBACK_TIMEOUT, assign_connection, encode_statement,
        has_priorities, run_exchange,
    },
    upstream_link::{AnswerEnd, LinkError, UpstreamAnswer},
};
use crate::edges::{CallerRefusal, CallerStatement, SessionPhase, StatementAction, UpstreamCode};

/// Outcome of one attempt at a database.
enum AttemptEnd {
    /// Final reply to the caller.
    Reply(CallerReply),
    /// Another attempt is safe: the statement did not run, or it is a read.
    Retry,
}

/// One caller's session.
pub(super) struct CallerSession {
    pub(super) shared: Rc<EntryShared>,
    pub(super) database: Arc<str>,
    pub(super) caller: StatementCaller,
    /// The caller's key is no longer valid: the session ends with the reply that says
    /// so.
    pub(super) key_removed: bool,
    /// Version of the configuration that last proved the key to be valid.
    pub(super) checked_version: u64,
    pub(super) state: SessionState,
    pub(super) pinned: Option<AssignedConnection>,
    /// True if the pinned transaction has written.
    pub(super) wrote: bool,
    /// When the caller asked for the session. Its first statement at a database
    /// counts as waiting since then, as the caller may have connected just for it.
    opened: Option<Moment>,
    /// The last operation, if it was refused without being run.
    refused: Option<RefusedOperation>,
    /// Log position reported with the last answer of a database.
    pub(super) position: Option<LogPosition>,
    /// Route of the statements that another host forwards; callers have that of their
    /// database.
    pub(super) forwarded_route: Option<Arc<RouteRule>>,
}

impl CallerSession {
    pub(super) fn new(shared: &Rc<EntryShared>, database: Arc<str>, opened: Moment) -> Self {
        Self {
            shared: shared.clone(),
            database,
            caller: StatementCaller::default(),
            key_removed: false,
            checked_version: 0,
            state: SessionState::default(),
            pinned: None,
            wrote: false,
            opened: Some(opened),
            refused: None,
            position: None,
            forwarded_route: None,
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

    /// Sets when the next statement began to wait.
    pub(super) fn set_arrival(&mut self, arrived: Moment) {
        self.opened = Some(arrived);
    }

    /// When the statement began to wait.
    pub(super) fn take_arrival(&mut self) -> Moment {
        self.opened.take().unwrap_or_else(|| self.shared.now())
    }

    /// Time for which a pinned transaction may wait for its next statement.
    pub(super) fn idle_limit(&self) -> Option<Duration> {
        self.pinned.as_ref()?;
        let view = self.shared.view.borrow();
        view.routes().map(|table| table.limits.transaction_idle)
    }

    /// Runs one statement, or answers it here if it needs no database.
    pub(super) async fn run(&mut self, statement: &CallerStatement) -> CallerReply {
        if self.must_end() {
            return self.refuse_caller(AssignError::UnknownKey, statement);
        }
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
            _ if self.room_beside(statement) == MessageRoom::TooLong => {
                let hint = "the statement has no room for its name at the database";
                CallerReply::Refused(CallerRefusal::Malformed, hint)
            }
            StatementAction::Begin { read_only } => self.defer_begin(*read_only),
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
                None => refuse_unknown_statement(),
            },
            StatementAction::Execute { name, .. } if !self.state.prepared.contains_key(name) => {
                refuse_unknown_statement()
            }
            _ => self.run_at_database(statement).await,
        }
    }

    fn room_beside(&self, statement: &CallerStatement) -> MessageRoom {
        MessageRoom::beside(statement, &*self.shared.upstreams)
    }

    /// Marks the transaction as begun; the database gets BEGIN with its first
    /// statement.
    fn defer_begin(&mut self, read_only: bool) -> CallerReply {
        if !self.is_idle() {
            return CallerReply::Refused(CallerRefusal::Malformed, "a transaction is open");
        }
        self.state.transaction = TransactionPhase::Begun { read_only };
        CallerReply::Done
    }

    /// Route of the next statement; `None` if the configuration has none for it.
    pub(super) fn route(&self) -> Option<Arc<RouteRule>> {
        match &self.forwarded_route {
            Some(route) => Some(route.clone()),
            None => self.shared.view.borrow().route(&self.database),
        }
    }

    async fn run_at_database(&mut self, statement: &CallerStatement) -> CallerReply {
        let mut trace = RequestTrace::new(&statement.id, self.shared.now());
        let route = self.route();
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
            CallerReply::Done | CallerReply::Relayed { end: AnswerEnd::Done, .. } => ("served", ""),
            CallerReply::Relayed { .. } => ("refused by the database", ""),
            CallerReply::Refused(refusal, hint) => {
                self.shared.metrics.count_refusal(refusal.name());
                (refusal.name(), *hint)
            }
            CallerReply::RefusedFor(reason, _) => {
                self.shared.metrics.count_refusal(CallerRefusal::NotRun.name());
                (CallerRefusal::NotRun.name(), *reason)
            }
        };
        let now = self.shared.now();
        let view = self.shared.view.borrow();
        let end = TraceEnd {
            database: &self.database,
            route_kind: match &self.forwarded_route {
                Some(_) => "forwarded",
                None => route.map_or("none", |route| route.kind.name()),
            },
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
        let timeout = route.map_or(ROLLBACK_TIMEOUT, |route| route.timeout);
        let deadline = Instant::now() + timeout;
        if let Err(error) = self.admit_caller(route, deadline).await {
            return self.refuse_caller(error, statement);
        }
        if let Some(connection) = self.pinned.take() {
            return self.run_pinned(connection, statement, deadline, trace).await;
        }
        let Some(route) = route else {
            self.state.transaction = TransactionPhase::Idle;
            return CallerReply::Refused(CallerRefusal::UnknownDatabase, "no route has this name");
        };
        let arrived = self.operation_arrival(statement);
        let permit = match self.admit_operation(route, deadline).await {
            Ok(permit) => permit,
            Err(reply) => return reply,
        };
        let reply = match self.state.transaction {
            TransactionPhase::Begun { read_only } => {
                self.run_first_statement(route, statement, read_only, arrived, deadline, trace)
                    .await
            }
            _ => self.run_single(route, statement, arrived, deadline, trace).await,
        };
        self.end_operation(permit, trace);
        if reply.is_not_run() {
            self.refused = Some(RefusedOperation::new(statement, arrived));
        }
        reply
    }

    /// When the operation that begins with this statement began to wait.
    fn operation_arrival(&mut self, statement: &CallerStatement) -> Moment {
        let arrived = self.take_arrival();
        let refused = self.refused.take().filter(|refused| refused.is_repeated_by(statement));
        refused.map_or(arrived, |refused| refused.arrived)
    }

    /// True if the statement, or the prepared statement that it executes, writes.
    pub(super) fn is_write(&self, statement: &CallerStatement) -> bool {
        statement.writes(&self.state)
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
        let writes = self.is_write(statement);
        let caller = self.caller.clone();
        let needs_primary = writes || self.room_beside(statement) != MessageRoom::Any;
        let limits = RunLimits {
            route,
            caller: &caller,
            arrived,
            deadline,
            needs_primary,
            may_reroute: !needs_primary && route.kind != RouteKind::Primary,
            writes,
            forwarded: self.forwarded_route.is_some(),
            last_commit: self.state.last_commit,
        };
        let mut tried = TriedUpstreams::default();
        loop {
            let connection = match assign_connection(&self.shared, &limits, &mut tried, trace).await
            {
                Ok(connection) => connection,
                Err(error) => return self.refuse_unassigned(error),
            };
            let end = self.try_single(connection, statement, &limits, &mut tried, trace).await;
            match end {
                AttemptEnd::Reply(reply) => return reply,
                AttemptEnd::Retry if Instant::now() >= deadline => {
                    return CallerReply::Refused(CallerRefusal::NotRun, "no database had room");
                }
                AttemptEnd::Retry => {}
            }
        }
    }

    async fn try_single(
        &mut self,
        mut connection: AssignedConnection,
        statement: &CallerStatement,
        limits: &RunLimits<'_>,
        tried: &mut TriedUpstreams,
        trace: &mut RequestTrace,
    ) -> AttemptEnd {
        let mut out = Vec::with_capacity(statement.text.len() + 64);
        let after = connection.after;
        connection.encode_urgency(&self.shared, &mut out);
        let Some(link) = connection.pooled.link() else {
            return AttemptEnd::Retry;
        };
        let restore_count =
            encode_statement(&self.shared, link, &self.state, statement, after, &mut out);
        let until = limits.attempt_deadline(tried);
        let result =
            run_exchange(&self.shared, &mut connection, &out, restore_count, until, trace).await;
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
                tried.add(connection.instance());
                trace.record(self.shared.now(), TraceStep::Retried { reason: "no answer" });
                return AttemptEnd::Retry;
            }
        };
        if answer.phase != SessionPhase::Idle {
            let hint = "the database's connection is in an unknown state";
            return AttemptEnd::Reply(CallerReply::Refused(CallerRefusal::InDoubt, hint));
        }
        let decision = self.decide_retry(&connection, &answer, !limits.writes, tried);
        let (term_number, service) = (connection.term_number, connection.service.clone());
        match answer.end {
            AnswerEnd::Refused(UpstreamCode::UnknownStatement) => drop(connection),
            _ => connection.pooled.release(),
        }
        if decision.wait_for_retry(&self.shared, limits.deadline).await {
            trace
                .record(self.shared.now(), TraceStep::Retried { reason: retry_reason(answer.end) });
            return AttemptEnd::Retry;
        }
        if limits.writes && answer.end == AnswerEnd::Done {
            if !self.accepts_answer(&service, term_number) {
                let hint = "the primary was replaced before it answered";
                return AttemptEnd::Reply(CallerReply::Refused(CallerRefusal::InDoubt, hint));
            }
            self.state.record_commit(answer.position);
        }
        AttemptEnd::Reply(self.relay(answer))
    }

    /// Decides from a database's answer whether another attempt may be made: always
    /// if nothing ran there, and once at each database for a read that failed.
    /// Records a replica's lag, and in `tried` the databases to rule out.
    pub(super) fn decide_retry(
        &self,
        connection: &AssignedConnection,
        answer: &UpstreamAnswer,
        only_reads: bool,
        tried: &mut TriedUpstreams,
    ) -> RetryDecision {
        let AnswerEnd::Refused(code) = answer.end else {
            return RetryDecision::Final;
        };
        match code {
            UpstreamCode::Busy
                if connection.pooled.gateway().is_some()
                    && has_priorities(&self.shared, &connection.service) =>
            {
                tried.record_busy_gateway()
            }
            UpstreamCode::Busy | UpstreamCode::UnknownStatement | UpstreamCode::ReadOnly => {
                RetryDecision::AfterPause
            }
            UpstreamCode::Misrouted
                if connection.instance().is_none()
                    && let Some(gateway) = connection.pooled.gateway() =>
            {
                // It does not know the service, or is cut off from control.
                self.shared.avoid_gateway(gateway);
                tried.add(None);
                RetryDecision::AtOnce
            }
            UpstreamCode::Lagging | UpstreamCode::Misrouted => {
                if let (Some(key), Some(position)) = (connection.instance(), connection.after) {
                    let now = self.shared.now();
                    self.shared.view.borrow_mut().loads.record_lag(now, key, position);
                }
                tried.add(connection.instance());
                match code {
                    UpstreamCode::Lagging => RetryDecision::AtOnce,
                    _ => RetryDecision::AfterPause,
                }
            }
            UpstreamCode::Failed
                if only_reads
                    && connection.instance().is_some_and(|key| !tried.instances.contains(key)) =>
            {
                tried.add(connection.instance());
                RetryDecision::AtOnce
            }
            UpstreamCode::ConnectionLimit | UpstreamCode::Failed | UpstreamCode::Other => {
                RetryDecision::Final
            }
        }
    }

    /// True if a write's answer from the primary of this term may be given to the
    /// caller.
    pub(super) fn accepts_answer(&self, service: &str, term_number: Option<u64>) -> bool {
        let view = self.shared.view.borrow();
        term_number
            .is_some_and(|term_number| view.accepts_answer(self.shared.now(), service, term_number))
    }

    pub(super) fn relay(&mut self, answer: UpstreamAnswer) -> CallerReply {
        self.position = answer.position;
        CallerReply::Relayed { end: answer.end, body: answer.body }
    }
}

impl Drop for CallerSession {
    fn drop(&mut self) {
        self.roll_back();
    }
}

/// Reason of a retry, for the log and the metrics.
pub(super) fn retry_reason(end: AnswerEnd) -> &'static str {
    match end {
        AnswerEnd::Refused(code) => code.name(),
        AnswerEnd::Done => "begun nowhere",
    }
}

fn refuse_unknown_statement() -> CallerReply {
    CallerReply::Refused(CallerRefusal::UnknownStatement, "no statement has this name")
}

pub(super) fn refuse_unassigned(error: AssignError) -> CallerReply {
    let hint = match error {
        AssignError::UnknownKey => {
            let hint = "no workspace has this key";
            return CallerReply::Refused(CallerRefusal::UnknownKey, hint);
        }
        AssignError::Overloaded { retry_after } => {
            return CallerReply::RefusedFor(OVERLOADED, retry_after);
        }
        AssignError::NoLease => "this host has no lease; try again in 500 ms",
        AssignError::WorkspaceIntroduced => "the route needs a key now; try again at once",
        AssignError::NoConnection => "no connection to the database was free; try again at once",
        AssignError::NoPrimary => "the primary is being replaced; try again in 500 ms",
        AssignError::CutOff => CUT_OFF_HINT,
        AssignError::ServiceEmpty => "the service has no database; try again in 1 s",
    };
    CallerReply::Refused(CallerRefusal::NotRun, hint)
}
