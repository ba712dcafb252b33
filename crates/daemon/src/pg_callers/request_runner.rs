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
    keyed_request::{ATTEMPT_TIMEOUT, KeyedRequest, REQUEST_TABLE},
    transaction::{OpenTransaction, TransactionPlace},
};
use crate::{
    pg_host::{RequestHandle, RequestSignal},
    pg_upstreams::{ReplySegment, UpstreamConnection, UpstreamError, encode_query},
};

/// SQLSTATE of a database that does not accept writes.
const READ_ONLY_SQLSTATE: &str = "25006";

/// Time beyond its deadline for which a running request keeps its connection:
/// closing it costs the database more than a late answer.
const RUN_GRACE: Duration = Duration::from_millis(250);

/// What is sent to a database.
#[derive(Debug, Clone, Copy)]
pub(super) enum RequestWork<'a> {
    /// A text by the simple protocol.
    Simple(&'a str),
    /// Messages of the extended protocol.
    Batch(&'a [BatchItem]),
}

/// What came back from a database.
pub(super) struct WorkAnswer {
    pub(super) answer: AnswerWriter,
    pub(super) segment: ReplySegment,
    pub(super) position: Option<hawthornstack_decisions::positions::LogPosition>,
}

/// How a request for one connection ended.
pub(super) enum RunEnd {
    /// The answer can be given.
    Answered(AnswerWriter),
    /// It did not run to an answer.
    Refused(ResultCode),
    /// Too much waits; it has a chance again after this time.
    Busy(ResultCode, Duration),
}

impl RunEnd {
    /// The end that the host's conclusion means for a held answer; the session
    /// takes its mark.
    pub(super) fn of(
        conclusion: &RequestResult,
        held: AnswerWriter,
        state: &mut CallerState,
    ) -> Self {
        state.mark = state.mark.max(conclusion.session_position.unwrap_or_default());
        match (conclusion.result, conclusion.retry_after) {
            (ResultCode::Done, _) => Self::Answered(held),
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

/// Sends work over a connection and reads its answer, with the position after
/// it if wanted.
pub(super) async fn perform(
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
    let answer = relay_work(work, &request, &segment, connection);
    Ok(WorkAnswer { answer, segment, position })
}

/// Writes work for a connection.
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

/// The caller's part of an answer, without its `ReadyForQuery`.
pub(super) fn relay_work(
    work: RequestWork<'_>,
    request: &BatchRequest,
    segment: &ReplySegment,
    connection: &mut UpstreamConnection,
) -> AnswerWriter {
    let mut answer = AnswerWriter::default();
    match work {
        RequestWork::Simple(_) => relay_simple(segment, &mut answer),
        RequestWork::Batch(_) => request.relay(segment, connection, &mut answer),
    }
    answer
}

/// Hands an answer on without its `ReadyForQuery` and the database's own
/// parameters.
fn relay_simple(segment: &ReplySegment, answer: &mut AnswerWriter) {
    for (_, frame) in segment.iter().filter(|(kind, _)| !matches!(kind, b'Z' | b'S')) {
        answer.raw(frame);
    }
}

impl RequestRunner<'_> {
    pub(super) fn arrival(&self, state: &CallerState, kind: RequestKind) -> RequestArrival {
        RequestArrival {
            request: self.context.numbers.next(),
            group: state.group.clone(),
            kind,
            position_source: state.mark_source(),
            session: state.named.then(|| state.session.clone()),
            transaction: false,
            caller: state.user.clone(),
            forwarded: state.forwarded,
            deadline: self.context.clock.now() + state.timeout,
        }
    }

    /// Runs work outside a transaction, under a request key if there is one.
    pub(super) async fn run_write_or_read(
        &self,
        state: &mut CallerState,
        work: RequestWork<'_>,
        kind: RequestKind,
        key: Option<Arc<str>>,
    ) -> RunEnd {
        let Some(key) = key else {
            return self.run(state, work, kind).await;
        };
        if !self.context.keyed_groups.contains(&state.group)
            && let Some(refused) = self.create_request_table(state).await
        {
            return refused;
        }
        KeyedRequest::new(&key, work).run(self, state).await
    }

    /// Creates the table of keyed requests if there is none; safe to repeat.
    async fn create_request_table(&self, state: &mut CallerState) -> Option<RunEnd> {
        let timeout = state.timeout;
        let deadline = self.context.clock.now() + timeout;
        let table = RequestWork::Simple(REQUEST_TABLE);
        loop {
            state.timeout = timeout.min(ATTEMPT_TIMEOUT);
            let end = self.run(state, table, RequestKind::Write).await;
            state.timeout = timeout;
            match end {
                RunEnd::Answered(_) => {
                    self.context.keyed_groups.insert(&state.group);
                    return None;
                }
                _ if self.context.clock.now() < deadline => {}
                refused => return Some(refused),
            }
        }
    }

    /// Runs work outside a transaction.
    async fn run(
        &self,
        state: &mut CallerState,
        work: RequestWork<'_>,
        kind: RequestKind,
    ) -> RunEnd {
        let arrival = self.arrival(state, kind);
        let deadline = self.context.clock.instant(arrival.deadline);
        let mut handle = RequestHandle::submit(&self.context.host, arrival);
        let mut held = AnswerWriter::default();
        loop {
            match handle.next().await {
                RequestSignal::Conclude(conclusion) => {
                    return RunEnd::of(&conclusion, held, state);
                }
                RequestSignal::Forward(homes) => {
                    let writes = kind == RequestKind::Write;
                    return self.forward(state, work, writes, None, homes).await;
                }
                RequestSignal::Dispatch { database, address, .. } => {
                    let group = &state.group;
                    let opened = self.context.store.check_out(&database, address, group).await;
                    let Ok(mut connection) = opened else {
                        handle.report(ExecutionReport::NotRun);
                        continue;
                    };
                    let aged = matches!(kind, RequestKind::BoundedStaleness(_));
                    let performed = tokio::select! {
                        () = self.cancel.notify.notified() => {
                            handle.report(ExecutionReport::RolledBack);
                            return RunEnd::Refused(ResultCode::Cancelled);
                        }
                        performed = timeout_at(deadline + RUN_GRACE, perform(work, &mut connection, !aged)) => {
                            performed.unwrap_or(Err(UpstreamError::Late))
                        }
                    };
                    let (report, answer) = judge(kind, performed);
                    if let Some(answer) = answer {
                        held = answer;
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
        let arrival = RequestArrival { transaction: true, ..self.arrival(state, kind) };
        let mut handle = RequestHandle::submit(&self.context.host, arrival);
        loop {
            match handle.next().await {
                RequestSignal::Conclude(conclusion) => return Err(conclusion.result),
                RequestSignal::Forward(homes) => {
                    return self.begin_at_home(state, begin, read_only, homes).await;
                }
                RequestSignal::Dispatch { database, address, .. } => {
                    match self.begin(state, begin, &database, address).await {
                        Ok(connection) => {
                            return Ok(OpenTransaction {
                                place: TransactionPlace::Database { handle, database },
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

    async fn begin(
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
            _ => Err(UpstreamError::Refused { text: "BEGIN".to_owned() }),
        }
    }

    /// Ends a transaction with `COMMIT` or `ROLLBACK` and returns the answer.
    pub(super) async fn end_transaction(
        &self,
        state: &mut CallerState,
        open: OpenTransaction,
        sql: &str,
    ) -> Result<AnswerWriter, ResultCode> {
        let OpenTransaction { place, mut connection, read_only, .. } = open;
        let local = matches!(place, TransactionPlace::Database { .. });
        let performed = perform(RequestWork::Simple(sql), &mut connection, local).await;
        let ended = performed.as_ref().is_ok_and(|done| done.segment.status == b'I');
        match place {
            TransactionPlace::Home(home) => {
                if ended {
                    self.context.forwards.check_in(home, &state.group, connection);
                }
                self.end_at_home(state, performed)
            }
            TransactionPlace::Database { handle, database } => {
                if ended {
                    self.context.store.check_in(&database, connection);
                }
                let done = performed.ok().filter(|_| ended);
                self.end_at_database(state, handle, done, read_only).await
            }
        }
    }

    async fn end_at_database(
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
                self.conclude(state, handle).await.map(|()| answer)
            }
            _ => {
                handle.report(ExecutionReport::ConnectionLost);
                match self.conclude(state, handle).await {
                    Ok(()) => Err(ResultCode::ConnectionLost),
                    Err(code) => Err(code),
                }
            }
        }
    }

    /// Waits for the host's last word on a request.
    async fn conclude(
        &self,
        state: &mut CallerState,
        handle: RequestHandle,
    ) -> Result<(), ResultCode> {
        let mut handle = handle;
        loop {
            if let RequestSignal::Conclude(conclusion) = handle.next().await {
                state.mark = state.mark.max(conclusion.session_position.unwrap_or_default());
                return match conclusion.result {
                    ResultCode::Done => Ok(()),
                    code => Err(code),
                };
            }
        }
    }
}

/// What to report of work outside a transaction, and its answer if its
/// connection can be used again.
fn judge(
    kind: RequestKind,
    performed: Result<WorkAnswer, UpstreamError>,
) -> (ExecutionReport, Option<AnswerWriter>) {
    let done = match performed {
        Ok(done) if done.segment.status == b'I' => done,
        Ok(_) => return (ExecutionReport::ConnectionLost, None),
        Err(error) => {
            log::debug!(target: "upstreams", "A request failed: {error}.");
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
