use hawthornstack_decisions::{
    clock::Moment,
    entry_role::TransactionPhase,
    routes::{RouteKind, RouteRule},
};
use tokio::time::{Duration, Instant};

use super::{
    caller_reply::CallerReply,
    caller_session::{CallerSession, retry_reason},
    request_trace::{RequestTrace, TraceStep},
    retry_decision::RetryDecision,
    run_limits::{RunLimits, TriedUpstreams},
    statement_run::{
        AssignedConnection, assign_connection, encode_begin, encode_statement, has_priorities,
        pause_before_retry, run_exchange, spawn_rollback,
    },
    upstream_link::{AnswerEnd, UpstreamAnswer},
};
use crate::edges::{CallerRefusal, CallerStatement, SessionPhase, StatementAction, UpstreamCode};

/// How an attempt to begin a transaction at a database ended.
enum BeginEnd {
    /// It is open on this connection.
    Begun(Box<AssignedConnection>),
    /// The database refused it or the exchange failed; another attempt may be made.
    Retry,
    /// The same, with no time left for another attempt.
    OutOfTime,
}

/// Transactions: the first statement is assigned a connection, which stays pinned
/// to the transaction until its end.
impl CallerSession {
    /// Begins a transaction at a database and runs its first statement there.
    pub(super) async fn run_first_statement(
        &mut self,
        route: &RouteRule,
        statement: &CallerStatement,
        read_only: bool,
        arrived: Moment,
        deadline: Instant,
        trace: &mut RequestTrace,
    ) -> CallerReply {
        match self.open_transaction(route, read_only, arrived, deadline, trace).await {
            Ok(connection) => {
                self.state.transaction = TransactionPhase::Pinned { read_only };
                self.wrote = false;
                self.run_pinned(connection, statement, deadline, trace).await
            }
            Err(refusal) => {
                self.state.transaction = TransactionPhase::Failed;
                refusal
            }
        }
    }

    /// Begins a read-only transaction for another host at a database, so that the host
    /// can try elsewhere if none has room.
    pub(super) async fn begin_forwarded_read(&mut self, route: &RouteRule) -> CallerReply {
        let mut trace = RequestTrace::new(b"-", self.shared.now());
        let deadline = Instant::now() + route.timeout;
        let arrived = self.take_arrival();
        match self.open_transaction(route, true, arrived, deadline, &mut trace).await {
            Ok(mut connection) => {
                self.state.transaction = TransactionPhase::Pinned { read_only: true };
                self.wrote = false;
                connection.pooled.pin();
                self.pinned = Some(connection);
                CallerReply::Done
            }
            Err(refusal) => refusal,
        }
    }

    /// Acquires a connection and begins a transaction on it; the refusal if that fails.
    async fn open_transaction(
        &mut self,
        route: &RouteRule,
        read_only: bool,
        arrived: Moment,
        deadline: Instant,
        trace: &mut RequestTrace,
    ) -> Result<AssignedConnection, CallerReply> {
        let caller = self.caller.clone();
        let limits = RunLimits {
            route,
            caller: &caller,
            arrived,
            deadline,
            needs_primary: !read_only,
            may_reroute: read_only && route.kind != RouteKind::Primary,
            writes: !read_only,
            forwarded: self.forwarded_route.is_some(),
            last_commit: self.state.last_commit,
        };
        let mut tried = TriedUpstreams::default();
        while Instant::now() < deadline {
            let connection = assign_connection(&self.shared, &limits, &mut tried, trace)
                .await
                .map_err(|error| self.refuse_unassigned(error))?;
            let end =
                self.begin_transaction(connection, read_only, &mut tried, deadline, trace).await;
            match end {
                BeginEnd::Begun(connection) => return Ok(*connection),
                BeginEnd::Retry => {}
                BeginEnd::OutOfTime => break,
            }
        }
        Err(CallerReply::Refused(CallerRefusal::NotRun, "no database had room"))
    }

    async fn begin_transaction(
        &mut self,
        mut connection: AssignedConnection,
        read_only: bool,
        tried: &mut TriedUpstreams,
        deadline: Instant,
        trace: &mut RequestTrace,
    ) -> BeginEnd {
        let mut out = Vec::new();
        let after = connection.after;
        connection.encode_urgency(&self.shared, &mut out);
        let Some(link) = connection.pooled.link() else {
            return BeginEnd::Retry;
        };
        let restore_count =
            encode_begin(&self.shared, link, &self.state, read_only, after, &mut out);
        match run_exchange(&self.shared, &mut connection, &out, restore_count, deadline, trace)
            .await
        {
            Ok(answer) if answer.phase == SessionPhase::InTransaction => {
                BeginEnd::Begun(Box::new(connection))
            }
            Ok(answer) if answer.phase == SessionPhase::Idle => {
                let is_busy = answer.end == AnswerEnd::Refused(UpstreamCode::Busy);
                let decision = match self.decide_retry(&connection, &answer, false, tried) {
                    // Nothing ran, so that a BEGIN may be repeated whatever the refusal,
                    // unless two gateways were busy.
                    RetryDecision::Final if !is_busy => RetryDecision::AfterPause,
                    decision => decision,
                };
                connection.pooled.release();
                let retries = decision.wait_for_retry(&self.shared, deadline).await;
                let reason = retry_reason(answer.end);
                trace.record(self.shared.now(), TraceStep::Retried { reason });
                if retries { BeginEnd::Retry } else { BeginEnd::OutOfTime }
            }
            _ => {
                if connection.term_number.is_none() {
                    tried.add(connection.instance());
                }
                BeginEnd::Retry
            }
        }
    }

    /// Runs a statement of a transaction on its pinned connection.
    pub(super) async fn run_pinned(
        &mut self,
        mut connection: AssignedConnection,
        statement: &CallerStatement,
        deadline: Instant,
        trace: &mut RequestTrace,
    ) -> CallerReply {
        let commits = statement.action == StatementAction::Commit;
        let writes = self.is_write(statement);
        loop {
            // BEGIN or a refusal as busy may have taken long.
            let route = self.route();
            if let Err(error) = self.admit_caller(route.as_deref(), deadline).await {
                self.pinned = Some(connection);
                return self.refuse_caller(error, statement);
            }
            if commits
                && self.wrote
                && !self.accepts_answer(&connection.service, connection.term_number)
            {
                // Its answer could not be given to the caller.
                spawn_rollback(&self.shared, connection);
                self.state.transaction = TransactionPhase::Idle;
                let hint = "the primary was replaced before the commit; nothing is kept";
                return CallerReply::Refused(CallerRefusal::Aborted, hint);
            }
            let mut out = Vec::with_capacity(statement.text.len() + 64);
            let Some(link) = connection.pooled.link() else {
                return self.abort_transaction("the connection is gone");
            };
            let restore_count =
                encode_statement(&self.shared, link, &self.state, statement, None, &mut out);
            let answer = match run_exchange(
                &self.shared,
                &mut connection,
                &out,
                restore_count,
                deadline,
                trace,
            )
            .await
            {
                Ok(answer) => answer,
                Err(_) if commits && self.wrote => {
                    self.state.transaction = TransactionPhase::Idle;
                    let hint = "the commit was not answered";
                    return CallerReply::Refused(CallerRefusal::InDoubt, hint);
                }
                Err(_) if commits => {
                    self.state.transaction = TransactionPhase::Idle;
                    let hint = "the transaction, which wrote nothing, was not committed";
                    return CallerReply::Refused(CallerRefusal::Aborted, hint);
                }
                Err(_) => return self.abort_transaction("the transaction's connection is lost"),
            };
            let busy = answer.end == AnswerEnd::Refused(UpstreamCode::Busy);
            if busy
                && answer.phase == SessionPhase::InTransaction
                && pause_before_retry(&self.shared, deadline).await
            {
                continue;
            }
            self.wrote |= writes && answer.end == AnswerEnd::Done;
            return self.finish_pinned(connection, statement, answer);
        }
    }

    fn finish_pinned(
        &mut self,
        mut connection: AssignedConnection,
        statement: &CallerStatement,
        answer: UpstreamAnswer,
    ) -> CallerReply {
        match answer.phase {
            SessionPhase::InTransaction => {
                connection.pooled.pin();
                self.pinned = Some(connection);
                self.relay(answer)
            }
            SessionPhase::Failed => {
                self.state.transaction = TransactionPhase::Failed;
                spawn_rollback(&self.shared, connection);
                self.relay(answer)
            }
            SessionPhase::Idle => {
                self.state.transaction = TransactionPhase::Idle;
                let (term_number, service) = (connection.term_number, connection.service.clone());
                connection.pooled.release();
                let committed =
                    statement.action == StatementAction::Commit && answer.end == AnswerEnd::Done;
                if committed && self.wrote {
                    if !self.accepts_answer(&service, term_number) {
                        let hint = "the primary was replaced before it answered";
                        return CallerReply::Refused(CallerRefusal::InDoubt, hint);
                    }
                    self.state.record_commit(answer.position);
                }
                self.relay(answer)
            }
        }
    }

    fn abort_transaction(&mut self, hint: &'static str) -> CallerReply {
        self.state.transaction = TransactionPhase::Failed;
        CallerReply::Refused(CallerRefusal::Aborted, hint)
    }

    /// True if the routes of the session's service have several priorities.
    pub(super) fn has_priorities(&self) -> bool {
        let connection = self.pinned.as_ref();
        connection.is_some_and(|connection| has_priorities(&self.shared, &connection.service))
    }

    /// True if the open transaction should be rolled back before its idle limit, for a
    /// statement that waits for its connection.
    pub(super) fn should_end_early(&self, idle: Duration, limit: Duration) -> bool {
        let route = self.shared.view.borrow().route(&self.database);
        let connection = self.pinned.as_ref();
        connection.zip(route).is_some_and(|(connection, route)| {
            connection.pooled.pool().claim_idle_end(idle, limit, route.priority)
        })
    }

    /// Rolls back a transaction that waited too long for its next statement.
    pub(super) fn end_idle_transaction(&mut self) {
        if self.pinned.is_some() {
            self.fail_transaction();
        }
    }

    /// Rolls back the open transaction, if there is one.
    pub(super) fn fail_transaction(&mut self) {
        if !self.is_idle() {
            self.state.transaction = TransactionPhase::Failed;
            self.roll_back();
        }
    }

    /// Rolls back the pinned transaction in the background, if there is one.
    pub(super) fn roll_back(&mut self) {
        if let Some(connection) = self.pinned.take() {
            spawn_rollback(&self.shared, connection);
        }
    }
}
