use std::{sync::Arc, time::Duration};

use bytes::BytesMut;
use hawthornstack_decisions::{
    identity::DatabaseName,
    outcomes::ResultCode,
    pg_host::{ExecutionReport, RequestResult},
    requests::{RequestArrival, RequestKind},
};
use hawthornstack_wire::reports::POSITION_STATEMENT;
use tokio::time::timeout_at;

use super::{
    answer_writer::AnswerWriter,
    caller_listener::CallerContext,
    caller_state::CallerState,
    cancel_registry::CancelTicket,
    extended_batch::{BatchItem, BatchRequest},
    keyed_request::{ATTEMPT_TIMEOUT, CREATE_REQUEST_TABLE, KeyedRequest},
    transaction::{OpenTransaction, TransactionTarget},
};
use crate::{
    pg_host::{RequestHandle, RequestSignal},
    pg_upstreams::{ReplySegment, UpstreamConnection, UpstreamError, encode_query},
};

/// SQLSTATE by which a database refuses a write because it is read only.
const READ_ONLY_SQLSTATE: &str = "25006";

/// Time past its deadline for which a running request keeps its connection:
/// closing it costs the database more than a late answer.
const RUN_GRACE: Duration = Duration::from_millis(250);

/// Work for a database.
#[derive(Debug, Clone, Copy)]
pub(super) enum RequestWork<'a> {
    /// Query text of the simple protocol.
    Simple(&'a str),
    /// Messages of the extended protocol.
    Batch(&'a [BatchItem]),
}

/// Answer of a database or a gateway to work.
pub(super) struct WorkAnswer {
    /// The part for the caller.
    pub(super) answer: AnswerWriter,
    /// All messages, as received.
    pub(super) segment: ReplySegment,
    /// Position of the database after the work, if requested.
    pub(super) position: Option<hawthornstack_decisions::positions::LogPosition>,
}

/// How a request that needs one connection ended.
pub(super) enum RunOutcome {
    /// The answer is ready for the caller.
    Answered(AnswerWriter),
    /// The request ended without an answer.
    Refused(ResultCode),
    /// Too many requests are waiting; the caller may retry after this time.
    Busy(ResultCode, Duration),
}

impl RunOutcome {
    /// Combines the host's result with the held answer, and advances the session
    /// position.
    pub(super) fn from_result(
        request_result: &RequestResult,
        held_answer: AnswerWriter,
        state: &mut CallerState,
    ) -> Self {
        state.session_position =
            state.session_position.max(request_result.session_position.unwrap_or_default());
        match (request_result.result, request_result.retry_after) {
            (ResultCode::Done, _) => Self::Answered(held_answer),
            (code, Some(wait)) => Self::Busy(code, wait),
            (code, None) => Self::Refused(code),
        }
    }
}

/// Runs requests of one caller.
pub(super) struct RequestRunner<'a> {
    pub(super) context: &'a CallerContext,
    pub(super) cancel: &'a CancelTicket,
}

/// Sends work over a connection and reads its answer, with the database's
/// position after it if `with_position` is set.
pub(super) async fn run_work(
    work: RequestWork<'_>,
    connection: &mut UpstreamConnection,
    with_position: bool,
) -> Result<WorkAnswer, UpstreamError> {
    let mut bytes = BytesMut::new();
    let request = encode_work(work, connection, &mut bytes)?;
    let mut answers = 1;
    if with_position {
        encode_query(POSITION_STATEMENT, &mut bytes)?;
        answers = 2;
    }
    let mut segments = connection.exchange(&bytes, answers).await?;
    let position = match with_position {
        true => segments.pop().and_then(|segment| segment.position()),
        false => None,
    };
    let segment = segments.pop().unwrap_or_default();
    let answer = relay_answer(work, &request, &segment, connection);
    Ok(WorkAnswer { answer, segment, position })
}

/// Appends the encoded work for a connection.
pub(super) fn encode_work(
    work: RequestWork<'_>,
    connection: &UpstreamConnection,
    bytes: &mut BytesMut,
) -> Result<BatchRequest, UpstreamError> {
    match work {
        RequestWork::Simple(sql) => {
            encode_query(sql, bytes)?;
            Ok(BatchRequest::default())
        }
        RequestWork::Batch(items) => {
            let request = BatchRequest::encode(items, connection)?;
            bytes.extend_from_slice(&request.bytes);
            Ok(request)
        }
    }
}

/// Extracts the caller's part of an answer, without its `ReadyForQuery`.
pub(super) fn relay_answer(
    work: RequestWork<'_>,
    request: &BatchRequest,
    segment: &ReplySegment,
    connection: &mut UpstreamConnection,
) -> AnswerWriter {
    let mut answer = AnswerWriter::default();
    match work {
        RequestWork::Simple(_) => relay_simple(segment, &mut answer),
        RequestWork::Batch(_) => request.relay_answer(segment, connection, &mut answer),
    }
    answer
}

/// Copies an answer without its `ReadyForQuery` and the database's own
/// parameters.
fn relay_simple(segment: &ReplySegment, answer: &mut AnswerWriter) {
    for (_, frame) in segment.iter().filter(|(kind, _)| !matches!(kind, b'Z' | b'S')) {
        answer.write_frame(frame);
    }
}

impl RequestRunner<'_> {
    pub(super) fn new_arrival(&self, state: &CallerState, kind: RequestKind) -> RequestArrival {
        RequestArrival {
            request: self.context.numbers.next(),
            group: state.group.clone(),
            kind,
            position_source: state.position_source(),
            session: state.named.then(|| state.session.clone()),
            transaction: false,
            caller: state.user.clone(),
            forwarded: state.forwarded,
            deadline: self.context.clock.now() + state.timeout,
        }
    }

    /// Runs work outside a transaction, with a request key if there is one.
    pub(super) async fn run_autocommit(
        &self,
        state: &mut CallerState,
        work: RequestWork<'_>,
        kind: RequestKind,
        key: Option<Arc<str>>,
    ) -> RunOutcome {
        let Some(key) = key else {
            return self.run_without_key(state, work, kind).await;
        };
        if !self.context.keyed_groups.contains(&state.group)
            && let Some(refused) = self.create_request_table(state).await
        {
            return refused;
        }
        KeyedRequest::new(&key, work).run(self, state).await
    }

    /// Creates the table of keyed requests unless it exists; safe to repeat. Returns
    /// the last outcome if it was not created in time.
    async fn create_request_table(&self, state: &mut CallerState) -> Option<RunOutcome> {
        let timeout = state.timeout;
        let deadline = self.context.clock.now() + timeout;
        let table = RequestWork::Simple(CREATE_REQUEST_TABLE);
        loop {
            state.timeout = timeout.min(ATTEMPT_TIMEOUT);
            let outcome = self.run_without_key(state, table, RequestKind::Write).await;
            state.timeout = timeout;
            match outcome {
                RunOutcome::Answered(_) => {
                    self.context.keyed_groups.insert(&state.group);
                    return None;
                }
                _ if self.context.clock.now() < deadline => {}
                refused => return Some(refused),
            }
        }
    }

    /// Runs work outside a transaction and without a request key.
    async fn run_without_key(
        &self,
        state: &mut CallerState,
        work: RequestWork<'_>,
        kind: RequestKind,
    ) -> RunOutcome {
        let arrival = self.new_arrival(state, kind);
        let deadline = self.context.clock.instant(arrival.deadline);
        let mut handle = RequestHandle::submit(&self.context.host, arrival);
        let mut held_answer = AnswerWriter::default();
        loop {
            match handle.next().await {
                RequestSignal::Complete(request_result) => {
                    return RunOutcome::from_result(&request_result, held_answer, state);
                }
                RequestSignal::Forward(gateways) => {
                    let writes = kind == RequestKind::Write;
                    return self.forward_work(state, work, writes, None, gateways).await;
                }
                RequestSignal::Dispatch { database, address, .. } => {
                    let group = &state.group;
                    let opened = self.context.store.check_out(&database, address, group).await;
                    let Ok(mut connection) = opened else {
                        handle.report(ExecutionReport::NotRun);
                        continue;
                    };
                    let bounded_staleness = matches!(kind, RequestKind::BoundedStaleness(_));
                    let executed = tokio::select! {
                        () = self.cancel.notify.notified() => {
                            handle.report(ExecutionReport::RolledBack);
                            return RunOutcome::Refused(ResultCode::Cancelled);
                        }
                        executed = timeout_at(
                            deadline + RUN_GRACE,
                            run_work(work, &mut connection, !bounded_staleness),
                        ) => {
                            executed.unwrap_or(Err(UpstreamError::TimedOut))
                        }
                    };
                    let (report, answer) = evaluate_execution(kind, executed);
                    if let Some(answer) = answer {
                        held_answer = answer;
                        self.context.store.check_in(&database, connection);
                    }
                    handle.report(report);
                }
            }
        }
    }

    /// Opens a transaction on a database.
    pub(super) async fn open_transaction(
        &self,
        state: &mut CallerState,
        begin: &str,
        read_only: bool,
    ) -> Result<OpenTransaction, ResultCode> {
        let kind = state.request_kind(!read_only);
        let arrival = RequestArrival { transaction: true, ..self.new_arrival(state, kind) };
        let mut handle = RequestHandle::submit(&self.context.host, arrival);
        loop {
            match handle.next().await {
                RequestSignal::Complete(request_result) => return Err(request_result.result),
                RequestSignal::Forward(gateways) => {
                    return self.open_gateway_transaction(state, begin, read_only, gateways).await;
                }
                RequestSignal::Dispatch { database, address, .. } => {
                    match self.begin_on_database(state, begin, &database, address).await {
                        Ok(connection) => {
                            return Ok(OpenTransaction {
                                target: TransactionTarget::Database { handle, database },
                                connection,
                                read_only,
                                status: b'T',
                            });
                        }
                        Err(_) => handle.report(ExecutionReport::NotRun),
                    }
                }
            }
        }
    }

    async fn begin_on_database(
        &self,
        state: &CallerState,
        begin: &str,
        database: &DatabaseName,
        address: std::net::SocketAddr,
    ) -> Result<UpstreamConnection, UpstreamError> {
        let mut connection = self.context.store.check_out(database, address, &state.group).await?;
        let segment = connection.query(begin).await?;
        match segment.status {
            b'T' => Ok(connection),
            _ => Err(UpstreamError::Refused { text: "BEGIN opened no transaction".to_owned() }),
        }
    }

    /// Ends a transaction with `COMMIT` or `ROLLBACK` and returns the answer.
    pub(super) async fn end_transaction(
        &self,
        state: &mut CallerState,
        open: OpenTransaction,
        sql: &str,
    ) -> Result<AnswerWriter, ResultCode> {
        let OpenTransaction { target, mut connection, read_only, .. } = open;
        let at_database = matches!(target, TransactionTarget::Database { .. });
        let executed = run_work(RequestWork::Simple(sql), &mut connection, at_database).await;
        let ended = executed.as_ref().is_ok_and(|done| done.segment.status == b'I');
        match target {
            TransactionTarget::Gateway(gateway) => {
                if ended {
                    self.context.forwards.check_in(gateway, &state.group, connection);
                }
                self.finish_gateway_transaction(state, executed)
            }
            TransactionTarget::Database { handle, database } => {
                if ended {
                    self.context.store.check_in(&database, connection);
                }
                let done = executed.ok().filter(|_| ended);
                self.finish_database_transaction(state, handle, done, read_only).await
            }
        }
    }

    async fn finish_database_transaction(
        &self,
        state: &mut CallerState,
        handle: RequestHandle,
        done: Option<WorkAnswer>,
        read_only: bool,
    ) -> Result<AnswerWriter, ResultCode> {
        let mut handle = handle;
        let tag = done.as_ref().and_then(|done| done.segment.last_tag());
        let committed = tag.as_deref() == Some("COMMIT") && !read_only;
        match done {
            Some(done) if tag.is_some() && !committed => {
                handle.report(ExecutionReport::RolledBack);
                Ok(done.answer)
            }
            Some(WorkAnswer { answer, position: Some(position), .. }) if committed => {
                handle.report(ExecutionReport::Written(position));
                self.wait_for_result(state, handle).await.map(|()| answer)
            }
            _ => {
                handle.report(ExecutionReport::ConnectionLost);
                match self.wait_for_result(state, handle).await {
                    Ok(()) => Err(ResultCode::ConnectionLost),
                    Err(code) => Err(code),
                }
            }
        }
    }

    /// Waits until the host completes a request.
    async fn wait_for_result(
        &self,
        state: &mut CallerState,
        handle: RequestHandle,
    ) -> Result<(), ResultCode> {
        let mut handle = handle;
        loop {
            if let RequestSignal::Complete(request_result) = handle.next().await {
                state.session_position =
                    state.session_position.max(request_result.session_position.unwrap_or_default());
                return match request_result.result {
                    ResultCode::Done => Ok(()),
                    code => Err(code),
                };
            }
        }
    }
}

/// Report to the host on work outside a transaction, and the answer if the
/// connection can be reused.
fn evaluate_execution(
    kind: RequestKind,
    executed: Result<WorkAnswer, UpstreamError>,
) -> (ExecutionReport, Option<AnswerWriter>) {
    let done = match executed {
        Ok(done) if done.segment.status == b'I' => done,
        Ok(_) => return (ExecutionReport::ConnectionLost, None),
        Err(error) => {
            log::debug!(target: "upstreams", "A request failed; closing its connection: {error}.");
            return (ExecutionReport::ConnectionLost, None);
        }
    };
    let writes = kind == RequestKind::Write;
    if writes && done.segment.has_sqlstate(READ_ONLY_SQLSTATE) {
        return (ExecutionReport::NotRun, Some(done.answer));
    }
    let report = match (writes && !done.segment.failed, done.position) {
        (true, Some(position)) => ExecutionReport::Written(position),
        (true, None) => ExecutionReport::ConnectionLost,
        (false, position) => ExecutionReport::Read(position),
    };
    (report, Some(done.answer))
}
