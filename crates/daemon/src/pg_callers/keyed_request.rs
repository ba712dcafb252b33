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
    request_runner::{RequestRunner, RequestWork, RunEnd, perform},
};
use crate::{
    pg_host::{RequestHandle, RequestSignal},
    pg_upstreams::{ReplySegment, UpstreamConnection, UpstreamError, encode_query},
};

/// Table in each group that keeps the answers of keyed requests.
pub(super) const REQUEST_TABLE: &str = "CREATE TABLE IF NOT EXISTS hawthornstack_requests \
     (key TEXT PRIMARY KEY, fingerprint TEXT NOT NULL, answer TEXT NOT NULL)";
/// Time of one attempt: a silent database is given up for its successor, since
/// repeating is safe.
pub(super) const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer that is kept for repeats, in bytes.
const MAX_KEPT_ANSWER: usize = 64 * 1024;

/// A write that carries a key: it runs at most once, and a repeat gets the
/// first answer, on any proxy and after any change of primary.
pub(super) struct KeyedRequest<'a> {
    key: Arc<str>,
    /// The key, quoted for SQL.
    quoted: String,
    fingerprint: String,
    work: RequestWork<'a>,
}

/// How one attempt at a database ended.
enum KeyedAttempt {
    /// It is committed, now or earlier; the answer and the position after it.
    Committed(AnswerWriter, LogPosition),
    /// The database refused the statement; nothing of it remains.
    Failed(AnswerWriter, Option<LogPosition>),
    /// The key belongs to another request.
    Reused,
    /// The answer is too large to be kept; nothing of it remains.
    TooLarge,
    /// Nothing ran.
    NotRun,
}

/// What follows from an attempt.
enum KeyedStep {
    /// Report it, and hold the answer until the host concludes.
    Report(ExecutionReport, AnswerWriter),
    /// Tell the caller at once.
    Refuse(ResultCode),
    /// The connection cannot be used again.
    Lost,
}

impl KeyedStep {
    fn after(attempt: Result<KeyedAttempt, UpstreamError>) -> Self {
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
        Self { key: Arc::from(key), quoted: quote(key), fingerprint, work }
    }

    /// Runs the request until its outcome is known or its deadline passes:
    /// repeating it is safe, also after a connection was lost.
    pub(super) async fn run(&self, runner: &RequestRunner<'_>, state: &mut CallerState) -> RunEnd {
        let deadline = runner.context.clock.now() + state.timeout;
        loop {
            let end = self.run_once(runner, state).await;
            let repeat = matches!(
                end,
                RunEnd::Refused(
                    ResultCode::ConnectionLost
                        | ResultCode::WriteDiscarded
                        | ResultCode::ReplacedInFlight
                )
            );
            if !repeat || runner.context.clock.now() >= deadline {
                return end;
            }
        }
    }

    async fn run_once(&self, runner: &RequestRunner<'_>, state: &mut CallerState) -> RunEnd {
        let arrival = runner.arrival(state, RequestKind::Write);
        let mut handle = RequestHandle::submit(&runner.context.host, arrival);
        let mut held = AnswerWriter::default();
        loop {
            match handle.next().await {
                RequestSignal::Conclude(conclusion) => {
                    return RunEnd::of(&conclusion, held, state);
                }
                RequestSignal::Forward(homes) => {
                    let key = Some(self.key.clone());
                    return runner.forward(state, self.work, true, key, homes).await;
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
                        self.attempt(&mut connection),
                    );
                    match KeyedStep::after(attempt.await.unwrap_or(Err(UpstreamError::Late))) {
                        KeyedStep::Lost => handle.report(ExecutionReport::ConnectionLost),
                        KeyedStep::Report(report, answer) => {
                            held = answer;
                            store.check_in(&database, connection);
                            handle.report(report);
                        }
                        KeyedStep::Refuse(code) => {
                            store.check_in(&database, connection);
                            handle.report(ExecutionReport::RolledBack);
                            return RunEnd::Refused(code);
                        }
                    }
                }
            }
        }
    }

    /// Takes the key and runs the work in one transaction, or finds the key
    /// taken and reads the answer that it left.
    async fn attempt(
        &self,
        connection: &mut UpstreamConnection,
    ) -> Result<KeyedAttempt, UpstreamError> {
        let insert = format!(
            "INSERT INTO hawthornstack_requests (key, fingerprint, answer) VALUES ({}, '{}', '')",
            self.quoted, self.fingerprint
        );
        let taken = exchange_all(connection, &["BEGIN", &insert]).await?;
        if taken.iter().any(|segment| segment.failed) {
            let refused = taken.iter().any(|segment| segment.has_sqlstate("25006"));
            exchange_all(connection, &["ROLLBACK"]).await?;
            return match refused {
                true => Ok(KeyedAttempt::NotRun),
                false => self.earlier_answer(connection).await,
            };
        }
        let done = perform(self.work, connection, false).await?;
        if done.segment.failed || done.answer.bytes.len() > MAX_KEPT_ANSWER {
            let ended = exchange_all(connection, &["ROLLBACK", POSITION_STATEMENT]).await?;
            let position = ended.last().and_then(ReplySegment::position);
            return Ok(match done.segment.failed {
                true => KeyedAttempt::Failed(done.answer, position),
                false => KeyedAttempt::TooLarge,
            });
        }
        let keep = format!(
            "UPDATE hawthornstack_requests SET answer = '{}' WHERE key = {}",
            to_hex(&done.answer.bytes),
            self.quoted
        );
        let ended = exchange_all(connection, &[&keep, "COMMIT", POSITION_STATEMENT]).await?;
        let committed = ended.get(1).and_then(ReplySegment::last_tag);
        let position = ended.last().and_then(ReplySegment::position);
        match (committed.as_deref(), position) {
            (Some("COMMIT"), Some(position)) => Ok(KeyedAttempt::Committed(done.answer, position)),
            _ => Ok(refused_commit(&ended, position)),
        }
    }

    async fn earlier_answer(
        &self,
        connection: &mut UpstreamConnection,
    ) -> Result<KeyedAttempt, UpstreamError> {
        let select = format!(
            "SELECT fingerprint, answer FROM hawthornstack_requests WHERE key = {}",
            self.quoted
        );
        let found = exchange_all(connection, &[&select, POSITION_STATEMENT]).await?;
        let row = found.first().and_then(ReplySegment::first_row);
        let position = found.last().and_then(ReplySegment::position);
        let (Some(row), Some(position)) = (row, position) else {
            return Ok(KeyedAttempt::NotRun);
        };
        if row.first() != Some(&self.fingerprint) {
            return Ok(KeyedAttempt::Reused);
        }
        let mut answer = AnswerWriter::default();
        answer.raw(&from_hex(row.get(1).map(String::as_str).unwrap_or_default()));
        Ok(KeyedAttempt::Committed(answer, position))
    }
}

/// What a commit that did not happen means: a database that lost its place
/// is tried again elsewhere, any other error is the caller's answer.
fn refused_commit(ended: &[ReplySegment], position: Option<LogPosition>) -> KeyedAttempt {
    let error = ended.iter().find(|segment| segment.failed);
    match error.filter(|segment| !segment.has_sqlstate("25006")) {
        Some(segment) => {
            let mut answer = AnswerWriter::default();
            segment
                .iter()
                .filter(|(kind, _)| *kind == b'E')
                .for_each(|(_, frame)| answer.raw(frame));
            KeyedAttempt::Failed(answer, position)
        }
        None => KeyedAttempt::NotRun,
    }
}

async fn exchange_all(
    connection: &mut UpstreamConnection,
    statements: &[&str],
) -> Result<Vec<ReplySegment>, UpstreamError> {
    let mut bytes = BytesMut::new();
    for statement in statements {
        encode_query(statement, &mut bytes)?;
    }
    connection.exchange(&bytes, statements.len()).await
}

/// A text literal of SQL.
fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn from_hex(text: &str) -> Vec<u8> {
    let digit = |place: usize| text.get(place..place + 2);
    (0..text.len() / 2).filter_map(|index| u8::from_str_radix(digit(2 * index)?, 16).ok()).collect()
}
