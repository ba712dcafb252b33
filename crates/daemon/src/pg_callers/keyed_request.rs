use std::{fmt::Write as _, sync::Arc, time::Duration};

use bytes::BytesMut;
use hawthornstack_decisions::{
    outcomes::ResultCode, pg_host::ExecutionReport, positions::LogPosition, requests::RequestKind,
    statements::strip_hints,
};
use hawthornstack_wire::reports::POSITION_STATEMENT;

use super::{
    answer_writer::AnswerWriter,
    caller_state::CallerState,
    extended_batch::{BatchItem, last_query},
    request_runner::{RequestRunner, RequestWork, RunOutcome, run_work},
};
use crate::{
    pg_host::{RequestHandle, RequestSignal},
    pg_upstreams::{ReplySegment, UpstreamConnection, UpstreamError, encode_query},
};

/// Creates the table, one in each group, that stores the answers of keyed
/// requests.
pub(super) const CREATE_REQUEST_TABLE: &str = "CREATE TABLE IF NOT EXISTS hawthornstack_requests \
     (key TEXT PRIMARY KEY, fingerprint TEXT NOT NULL, answer TEXT NOT NULL)";
/// Timeout of one attempt: a database that does not answer is abandoned for its
/// successor, since repeating is safe.
pub(super) const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer that is stored for repeats, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// Write with a request key. It runs at most once, and a repeat gets the answer
/// of the first run, on any proxy and after any primary change.
pub(super) struct KeyedRequest<'a> {
    key: Arc<str>,
    /// The key as an SQL literal.
    key_literal: String,
    fingerprint: String,
    work: RequestWork<'a>,
}

/// How one attempt at a database ended.
enum KeyedAttempt {
    /// Committed by this or an earlier attempt: the answer, and the position
    /// after the commit.
    Committed(AnswerWriter, LogPosition),
    /// The database refused the statement, which is rolled back: the error
    /// answer, and the position.
    Failed(AnswerWriter, Option<LogPosition>),
    /// The key was used for another request.
    Reused,
    /// The answer is too large to be stored; the statement is rolled back.
    TooLarge,
    /// Nothing ran.
    NotRun,
}

/// Action that follows an attempt.
enum AttemptAction {
    /// Report the execution, and hold the answer until the host completes the
    /// request.
    Report(ExecutionReport, AnswerWriter),
    /// Report a rollback, and send the error to the caller at once.
    Refuse(ResultCode),
    /// Report a lost connection, which cannot be reused.
    Lost,
}

impl AttemptAction {
    fn from_attempt(attempt: Result<KeyedAttempt, UpstreamError>) -> Self {
        match attempt {
            Ok(KeyedAttempt::Committed(answer, position)) => {
                Self::Report(ExecutionReport::Written(position), answer)
            }
            Ok(KeyedAttempt::Failed(answer, position)) => {
                Self::Report(ExecutionReport::Read(position), answer)
            }
            Ok(KeyedAttempt::NotRun) => {
                Self::Report(ExecutionReport::NotRun, AnswerWriter::default())
            }
            Ok(KeyedAttempt::Reused) => Self::Refuse(ResultCode::KeyReused),
            Ok(KeyedAttempt::TooLarge) => Self::Refuse(ResultCode::AnswerTooLarge),
            Err(_) => Self::Lost,
        }
    }
}

impl<'a> KeyedRequest<'a> {
    pub(super) fn new(key: &str, work: RequestWork<'a>) -> Self {
        let mut hasher = blake3::Hasher::new();
        match work {
            RequestWork::Simple(sql) => {
                hasher.update(strip_hints(sql).as_bytes());
            }
            RequestWork::Batch(items) => {
                hasher.update(strip_hints(last_query(items).unwrap_or_default()).as_bytes());
                for item in items {
                    if let BatchItem::Bind(bind, _) = item {
                        hasher.update(format!("{:?}", bind.parameters).as_bytes());
                    }
                }
            }
        }
        let fingerprint = hasher.finalize().to_hex()[..32].to_owned();
        Self { key: Arc::from(key), key_literal: quote_literal(key), fingerprint, work }
    }

    /// Repeats the request until its outcome is known or its deadline passes.
    /// Repeating it is safe, even after a lost connection.
    pub(super) async fn run(
        &self,
        runner: &RequestRunner<'_>,
        state: &mut CallerState,
    ) -> RunOutcome {
        let deadline = runner.context.clock.now() + state.timeout;
        loop {
            let outcome = self.run_once(runner, state).await;
            let repeat = matches!(
                outcome,
                RunOutcome::Refused(
                    ResultCode::ConnectionLost
                        | ResultCode::WriteDiscarded
                        | ResultCode::ReplacedInFlight
                )
            );
            if !repeat || runner.context.clock.now() >= deadline {
                return outcome;
            }
        }
    }

    async fn run_once(&self, runner: &RequestRunner<'_>, state: &mut CallerState) -> RunOutcome {
        let arrival = runner.new_arrival(state, RequestKind::Write);
        let mut handle = RequestHandle::submit(&runner.context.host, arrival);
        let mut held_answer = AnswerWriter::default();
        loop {
            match handle.next().await {
                RequestSignal::Complete(request_result) => {
                    return RunOutcome::from_result(&request_result, held_answer, state);
                }
                RequestSignal::Forward(gateways) => {
                    let key = Some(self.key.clone());
                    return runner.forward_work(state, self.work, true, key, gateways).await;
                }
                RequestSignal::Dispatch { database, address, .. } => {
                    let store = &runner.context.store;
                    let opened = store.check_out(&database, address, &state.group).await;
                    let Ok(mut connection) = opened else {
                        handle.report(ExecutionReport::NotRun);
                        continue;
                    };
                    let attempt = tokio::time::timeout(
                        state.timeout.min(ATTEMPT_TIMEOUT),
                        self.run_attempt(&mut connection),
                    );
                    match AttemptAction::from_attempt(
                        attempt.await.unwrap_or(Err(UpstreamError::TimedOut)),
                    ) {
                        AttemptAction::Lost => handle.report(ExecutionReport::ConnectionLost),
                        AttemptAction::Report(report, answer) => {
                            held_answer = answer;
                            store.check_in(&database, connection);
                            handle.report(report);
                        }
                        AttemptAction::Refuse(code) => {
                            store.check_in(&database, connection);
                            handle.report(ExecutionReport::RolledBack);
                            return RunOutcome::Refused(code);
                        }
                    }
                }
            }
        }
    }

    /// Inserts the key and runs the work in one transaction. If the key is there
    /// already, reads the answer that was stored with it.
    async fn run_attempt(
        &self,
        connection: &mut UpstreamConnection,
    ) -> Result<KeyedAttempt, UpstreamError> {
        let insert = format!(
            "INSERT INTO hawthornstack_requests (key, fingerprint, answer) VALUES ({}, '{}', '')",
            self.key_literal, self.fingerprint
        );
        let inserted = run_statements(connection, &["BEGIN", &insert]).await?;
        if inserted.iter().any(|segment| segment.failed) {
            let read_only = inserted.iter().any(|segment| segment.has_sqlstate("25006"));
            run_statements(connection, &["ROLLBACK"]).await?;
            return match read_only {
                true => Ok(KeyedAttempt::NotRun),
                false => self.read_stored_answer(connection).await,
            };
        }
        let done = run_work(self.work, connection, false).await?;
        if done.segment.failed || done.answer.bytes.len() > MAX_STORED_ANSWER_BYTES {
            let replies = run_statements(connection, &["ROLLBACK", POSITION_STATEMENT]).await?;
            let position = replies.last().and_then(ReplySegment::position);
            return Ok(match done.segment.failed {
                true => KeyedAttempt::Failed(done.answer, position),
                false => KeyedAttempt::TooLarge,
            });
        }
        let store_answer = format!(
            "UPDATE hawthornstack_requests SET answer = '{}' WHERE key = {}",
            to_hex(&done.answer.bytes),
            self.key_literal
        );
        let replies =
            run_statements(connection, &[&store_answer, "COMMIT", POSITION_STATEMENT]).await?;
        let committed = replies.get(1).and_then(ReplySegment::last_tag);
        let position = replies.last().and_then(ReplySegment::position);
        match (committed.as_deref(), position) {
            (Some("COMMIT"), Some(position)) => Ok(KeyedAttempt::Committed(done.answer, position)),
            _ => Ok(classify_failed_commit(&replies, position)),
        }
    }

    async fn read_stored_answer(
        &self,
        connection: &mut UpstreamConnection,
    ) -> Result<KeyedAttempt, UpstreamError> {
        let select = format!(
            "SELECT fingerprint, answer FROM hawthornstack_requests WHERE key = {}",
            self.key_literal
        );
        let found = run_statements(connection, &[&select, POSITION_STATEMENT]).await?;
        let row = found.first().and_then(ReplySegment::first_row);
        let position = found.last().and_then(ReplySegment::position);
        let (Some(row), Some(position)) = (row, position) else {
            return Ok(KeyedAttempt::NotRun);
        };
        if row.first() != Some(&self.fingerprint) {
            return Ok(KeyedAttempt::Reused);
        }
        let mut answer = AnswerWriter::default();
        answer.write_frame(&from_hex(row.get(1).map(String::as_str).unwrap_or_default()));
        Ok(KeyedAttempt::Committed(answer, position))
    }
}

/// Classifies a commit that did not happen: if the database no longer accepts
/// writes, the work is retried on another; any other error is the caller's answer.
fn classify_failed_commit(replies: &[ReplySegment], position: Option<LogPosition>) -> KeyedAttempt {
    let error = replies.iter().find(|segment| segment.failed);
    match error.filter(|segment| !segment.has_sqlstate("25006")) {
        Some(segment) => {
            let mut answer = AnswerWriter::default();
            segment
                .iter()
                .filter(|(kind, _)| *kind == b'E')
                .for_each(|(_, frame)| answer.write_frame(frame));
            KeyedAttempt::Failed(answer, position)
        }
        None => KeyedAttempt::NotRun,
    }
}

async fn run_statements(
    connection: &mut UpstreamConnection,
    statements: &[&str],
) -> Result<Vec<ReplySegment>, UpstreamError> {
    let mut bytes = BytesMut::new();
    for statement in statements {
        encode_query(statement, &mut bytes)?;
    }
    connection.exchange(&bytes, statements.len()).await
}

/// Quotes a text as an SQL literal.
fn quote_literal(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn from_hex(text: &str) -> Vec<u8> {
    let byte_at = |offset: usize| text.get(offset..offset + 2);
    (0..text.len() / 2)
        .filter_map(|index| u8::from_str_radix(byte_at(2 * index)?, 16).ok())
        .collect()
}
