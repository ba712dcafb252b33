use hawthornstack_decisions::{
    clock::Moment,
    entry_role::TransactionPhase,
    instances::InstanceKey,
    routes::{RouteKind, RouteRule},
};
use tokio::time::Instant;

use super::{
    caller_session::{CallerReply, CallerSession, refuse_no_place, retry_reason},
    request_trace::{RequestTrace, TraceStep},
    statement_run::{
        RunLimits, RunPlace, encode_begin, encode_statement, find_place, pause_busy,
        roll_back_place, run_at,
    },
    upstream_link::{AnswerEnd, UpstreamAnswer},
};
use crate::edges::{CallerRefusal, CallerStatement, SessionPhase, StatementAction, UpstreamCode};

/// Transactions: the first statement picks a connection, which is the
/// transaction's own until it ends.
impl CallerSession {
    /// Runs the first statement of a transaction, which picks its connection.
    pub(super) async fn run_first(
        &mut self,
        route: &RouteRule,
        statement: &CallerStatement,
        read_only: bool,
        arrived: Moment,
        deadline: Instant,
        trace: &mut RequestTrace,
    ) -> CallerReply {
        let limits = RunLimits {
            route,
            arrived,
            deadline,
            needs_primary: !read_only,
            may_move: read_only && route.kind != RouteKind::Primary,
            writes: !read_only,
            last_commit: self.state.last_commit,
        };
        let mut tried = Vec::new();
        while Instant::now() < deadline {
            let place = match find_place(&self.shared, &limits, &mut tried, trace).await {
                Ok(place) => place,
                Err(no_place) => {
                    self.state.transaction = TransactionPhase::Failed;
                    return refuse_no_place(no_place);
                }
            };
            if let Some(place) = self.begin_at(place, read_only, &mut tried, deadline, trace).await
            {
                self.state.transaction = TransactionPhase::Pinned { read_only };
                self.wrote = false;
                return self.run_pinned(place, statement, deadline, trace).await;
            }
        }
        self.state.transaction = TransactionPhase::Failed;
        CallerReply::Refused(CallerRefusal::NotRun, "no database had room")
    }

    /// Begins the transaction at a database; `None` if it did not take it.
    async fn begin_at(
        &mut self,
        mut place: RunPlace,
        read_only: bool,
        tried: &mut Vec<InstanceKey>,
        deadline: Instant,
        trace: &mut RequestTrace,
    ) -> Option<RunPlace> {
        let mut out = Vec::new();
        let after = place.after;
        place.encode_urgency(&self.shared, &mut out);
        let link = place.link.link()?;
        let restoring = encode_begin(&self.shared, link, &self.state, read_only, after, &mut out);
        let key = place.link.record().key.clone();
        match run_at(&self.shared, &mut place, &out, restoring, deadline, trace).await {
            Ok(answer) if answer.phase == SessionPhase::InTransaction => Some(place),
            Ok(answer) if answer.phase == SessionPhase::Idle => {
                let advice = self.retry_advice(&place, &answer, false, tried);
                place.link.release();
                advice.follow(&self.shared, deadline).await;
                trace.note(
                    self.shared.now(),
                    TraceStep::Retried { reason: retry_reason(answer.end) },
                );
                None
            }
            _ => {
                if place.number.is_none() {
                    tried.push(key);
                }
                None
            }
        }
    }

    /// Runs a statement of a transaction on its connection.
    pub(super) async fn run_pinned(
        &mut self,
        mut place: RunPlace,
        statement: &CallerStatement,
        deadline: Instant,
        trace: &mut RequestTrace,
    ) -> CallerReply {
        let commits = statement.action == StatementAction::Commit;
        let writes = self.writes(statement);
        loop {
            let mut out = Vec::with_capacity(statement.text.len() + 64);
            let Some(link) = place.link.link() else {
                return self.abort("the connection is gone");
            };
            let restoring =
                encode_statement(&self.shared, link, &self.state, statement, None, &mut out);
            let answer =
                match run_at(&self.shared, &mut place, &out, restoring, deadline, trace).await {
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
                    Err(_) => return self.abort("the transaction's connection is lost"),
                };
            let busy = answer.end == AnswerEnd::Refused(UpstreamCode::Busy);
            if busy
                && answer.phase == SessionPhase::InTransaction
                && pause_busy(&self.shared, deadline).await
            {
                continue;
            }
            self.wrote |= writes && answer.end == AnswerEnd::Done;
            return self.finish_pinned(place, statement, answer);
        }
    }

    fn finish_pinned(
        &mut self,
        mut place: RunPlace,
        statement: &CallerStatement,
        answer: UpstreamAnswer,
    ) -> CallerReply {
        match answer.phase {
            SessionPhase::InTransaction => {
                place.link.pin();
                self.pinned = Some(place);
                self.relay(answer)
            }
            SessionPhase::Failed => {
                self.state.transaction = TransactionPhase::Failed;
                roll_back_place(&self.shared, place);
                self.relay(answer)
            }
            SessionPhase::Idle => {
                self.state.transaction = TransactionPhase::Idle;
                let (number, service) = (place.number, place.service.clone());
                place.link.release();
                let committed =
                    statement.action == StatementAction::Commit && answer.end == AnswerEnd::Done;
                if committed && self.wrote {
                    if !self.accepts(&service, number) {
                        let hint = "the primary was replaced before it answered";
                        return CallerReply::Refused(CallerRefusal::InDoubt, hint);
                    }
                    self.state.record_commit(answer.position);
                }
                self.relay(answer)
            }
        }
    }

    fn abort(&mut self, hint: &'static str) -> CallerReply {
        self.state.transaction = TransactionPhase::Failed;
        CallerReply::Refused(CallerRefusal::Aborted, hint)
    }

    /// Ends a transaction that waited too long for its next statement.
    pub(super) fn end_idle_transaction(&mut self) {
        if self.pinned.is_some() {
            self.state.transaction = TransactionPhase::Failed;
            self.roll_back();
        }
    }

    /// Rolls the pinned transaction back, without making the caller wait.
    pub(super) fn roll_back(&mut self) {
        if let Some(place) = self.pinned.take() {
            roll_back_place(&self.shared, place);
        }
    }
}
