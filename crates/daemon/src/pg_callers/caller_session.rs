use std::sync::Arc;

use hawthornstack_decisions::{
    identity::{GroupName, SessionId},
    outcomes::ResultCode,
    pg_host::ExecutionReport,
    statements::{SETTING_PREFIX, StatementClass, classify, read_hints},
};
use pgwire::messages::{PgWireFrontendMessage, SslNegotiationMetaMessage, startup::Startup};
use tokio::{net::TcpStream, time::timeout};

use super::{
    CallerError,
    answer_writer::AnswerWriter,
    caller_error::{ProtocolSnafu, RefusedSnafu},
    caller_listener::CallerContext,
    caller_state::{CallerState, Refusal},
    caller_stream::CallerStream,
    cancel_registry::CancelTicket,
    extended_batch::{BatchItem, ExtendedBatch, is_local, is_read, last_query},
    request_runner::{RequestRunner, RequestWork, RunEnd, perform},
    transaction::{TransactionPlace, TransactionState},
};
use crate::pg_upstreams::FORWARD_PARAMETER;

/// Time within which a caller must finish its start-up.
const STARTUP_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);
/// Version of PostgreSQL whose protocol is spoken.
const SERVER_VERSION: &str = "15.0 (hawthornstack)";
/// Name of the parameter that hands the session token to the caller.
pub(super) const TOKEN_PARAMETER: &str = "hawthornstack.token";

/// What a caller's first packets ask for.
enum StartupRequest {
    Session(Startup),
    Cancelled,
}

/// How one statement ended.
enum StatementEnd {
    /// The answer is written.
    Done,
    /// An error is written; the rest of the batch is skipped.
    Failed,
}

/// Serves one caller's connection.
pub(super) struct CallerSession {
    stream: CallerStream,
    context: Arc<CallerContext>,
    ticket: CancelTicket,
    state: CallerState,
    transaction: TransactionState,
    answer: AnswerWriter,
}

impl CallerSession {
    /// Serves a connection until the caller leaves or is refused.
    pub(super) async fn serve(stream: TcpStream, context: Arc<CallerContext>) {
        let _ = stream.set_nodelay(true);
        let mut stream = CallerStream::new(stream);
        let started = timeout(STARTUP_TIMEOUT, read_startup(&mut stream, &context)).await;
        let opened = match started.unwrap_or(Err(CallerError::StartupLate)) {
            Ok(StartupRequest::Cancelled) => return,
            Ok(StartupRequest::Session(startup)) => open_state(&startup, &context),
            Err(error) => Err(error),
        };
        let state = match opened {
            Ok(state) => state,
            Err(error) => return refuse(&mut stream, &error).await,
        };
        let mut session = Self {
            stream,
            ticket: context.cancels.register(),
            context,
            state,
            transaction: TransactionState::Idle,
            answer: AnswerWriter::default(),
        };
        if let Err(error) = session.converse().await {
            refuse(&mut session.stream, &error).await;
        }
    }

    async fn converse(&mut self) -> Result<(), CallerError> {
        self.stream.expect_messages();
        self.greet();
        self.ready().await?;
        let mut batch = ExtendedBatch::default();
        let mut refused = false;
        loop {
            let message = tokio::select! {
                () = self.context.idle_end(), if self.is_idle() => return shutting_down(),
                message = self.stream.next() => message?,
            };
            // A caller that goes on is told with its next request, which then
            // certainly did not run; an unasked word could cross a request.
            let ends = matches!(message, PgWireFrontendMessage::Terminate(_));
            if self.is_idle() && self.context.is_leaving() && !ends {
                return shutting_down();
            }
            match message {
                PgWireFrontendMessage::Query(query) => {
                    self.simple_query(&query.query).await?;
                    self.ready().await?;
                }
                PgWireFrontendMessage::Sync(_) => {
                    let full = std::mem::take(&mut batch);
                    if !std::mem::take(&mut refused) {
                        self.extended_batch(&full).await?;
                    }
                    self.ready().await?;
                }
                PgWireFrontendMessage::Terminate(_) => return Ok(()),
                message if message.is_extended_query() => {
                    if refused {
                        continue;
                    }
                    if let Err(refusal) = batch.add(message, &mut self.state) {
                        refused = true;
                        self.answer.error("ERROR", refusal.code, &refusal.text);
                    }
                }
                _ => return ProtocolSnafu { text: "unexpected message" }.fail(),
            }
        }
    }

    fn is_idle(&self) -> bool {
        matches!(self.transaction, TransactionState::Idle)
    }

    fn greet(&mut self) {
        self.answer.authenticated();
        let parameters = [
            ("server_version", SERVER_VERSION),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("TimeZone", "UTC"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in parameters {
            self.answer.parameter(name, value);
        }
        let session = self.state.session.to_string();
        self.answer.parameter("hawthornstack.session", &session);
        self.answer.key_data(self.ticket.id, self.ticket.secret);
    }

    /// Ends an answer and sends it.
    async fn ready(&mut self) -> Result<(), CallerError> {
        self.answer.ready(self.transaction.status());
        self.stream.write(&mut self.answer.bytes).await
    }

    fn fail(&mut self, code: ResultCode) -> StatementEnd {
        self.answer.result(code);
        StatementEnd::Failed
    }

    fn refuse(&mut self, refusal: &Refusal) -> StatementEnd {
        self.answer.error("ERROR", refusal.code, &refusal.text);
        StatementEnd::Failed
    }

    async fn simple_query(&mut self, sql: &str) -> Result<(), CallerError> {
        match classify(sql) {
            StatementClass::Empty => self.answer.empty_query(),
            StatementClass::Unsupported => {
                self.fail(ResultCode::NotSupported);
            }
            class if is_local(&class) => {
                self.local_statement(sql, &class).await?;
            }
            class => {
                let writes = class != StatementClass::Read;
                self.database_work(RequestWork::Simple(sql), Some(sql), writes).await?;
            }
        }
        Ok(())
    }

    async fn extended_batch(&mut self, batch: &ExtendedBatch) -> Result<(), CallerError> {
        for items in batch.runs() {
            let end = match items.first().is_some_and(BatchItem::is_local) {
                true => self.local_run(items).await?,
                false => {
                    let work = RequestWork::Batch(items);
                    self.database_work(work, last_query(items), !is_read(items)).await?
                }
            };
            if matches!(end, StatementEnd::Failed) {
                break;
            }
        }
        Ok(())
    }

    async fn local_run(&mut self, items: &[BatchItem]) -> Result<StatementEnd, CallerError> {
        for item in items {
            match item {
                BatchItem::Parse(_) => self.answer.parse_complete(),
                BatchItem::Bind(..) => self.answer.bind_complete(),
                BatchItem::DescribeStatement(statement) => {
                    self.answer.no_parameters();
                    self.describe_local(&statement.class);
                }
                BatchItem::DescribePortal(_, class) => self.describe_local(class),
                BatchItem::Execute(_, class) => {
                    let sql = last_query(items).unwrap_or_default();
                    let end = self.local_execution(sql, class).await?;
                    if matches!(end, StatementEnd::Failed) {
                        return Ok(end);
                    }
                }
                BatchItem::ClosePortal(_) | BatchItem::CloseStatement => {
                    self.answer.close_complete();
                }
            }
        }
        Ok(StatementEnd::Done)
    }

    fn describe_local(&mut self, class: &StatementClass) {
        match class {
            StatementClass::Show(name) => self.answer.text_column(name),
            _ => self.answer.no_data(),
        }
    }

    /// Runs a statement that the proxy answers itself, for the simple
    /// protocol.
    async fn local_statement(
        &mut self,
        sql: &str,
        class: &StatementClass,
    ) -> Result<StatementEnd, CallerError> {
        if let StatementClass::Show(name) = class {
            self.answer.text_column(name);
        }
        self.local_execution(sql, class).await
    }

    async fn local_execution(
        &mut self,
        sql: &str,
        class: &StatementClass,
    ) -> Result<StatementEnd, CallerError> {
        match class {
            StatementClass::Begin { read_only } => self.begin(sql, *read_only),
            StatementClass::Commit | StatementClass::Rollback => {
                return Ok(self.end_transaction(sql).await);
            }
            StatementClass::Set(assignment) => {
                let key = &self.context.token_key;
                if let Err(refusal) = self.state.set(&assignment.name, &assignment.value, key) {
                    return Ok(self.refuse(&refusal));
                }
                self.answer.complete("SET");
            }
            StatementClass::Show(name) => {
                let shown = self.state.show(name, &self.context.token_key);
                self.answer.text_value(&shown.unwrap_or_default());
            }
            _ => {}
        }
        Ok(StatementEnd::Done)
    }

    fn begin(&mut self, sql: &str, read_only: bool) {
        if let TransactionState::Idle = self.transaction {
            self.transaction = TransactionState::Begun { sql: Arc::from(sql), read_only };
        }
        self.answer.complete("BEGIN");
    }

    async fn end_transaction(&mut self, sql: &str) -> StatementEnd {
        let word = match classify(sql) {
            StatementClass::Commit => "COMMIT",
            _ => "ROLLBACK",
        };
        match std::mem::replace(&mut self.transaction, TransactionState::Idle) {
            TransactionState::Idle | TransactionState::Begun { .. } => self.answer.complete(word),
            TransactionState::Failed => self.answer.complete("ROLLBACK"),
            TransactionState::Open(open) => {
                let runner = RequestRunner { context: &self.context, cancel: &self.ticket };
                let mark = self.state.mark;
                match runner.end_transaction(&mut self.state, *open, word).await {
                    Ok(answer) => {
                        self.announce_token(mark);
                        self.answer.raw(&answer.bytes);
                    }
                    Err(code) => return self.fail(code),
                }
            }
        }
        StatementEnd::Done
    }

    /// Hands out a new token if the mark moved.
    fn announce_token(&mut self, before: hawthornstack_decisions::positions::LogPosition) {
        if self.state.mark > before {
            let token = self.state.token(&self.context.token_key);
            self.answer.parameter(TOKEN_PARAMETER, &token);
        }
    }

    async fn database_work(
        &mut self,
        work: RequestWork<'_>,
        sql: Option<&str>,
        writes: bool,
    ) -> Result<StatementEnd, CallerError> {
        match self.transaction {
            TransactionState::Idle => Ok(self.autocommit(work, sql, writes).await),
            TransactionState::Failed => Ok(self.fail(ResultCode::TransactionLost)),
            TransactionState::Begun { .. } | TransactionState::Open(_) => {
                Ok(self.inside_transaction(work, writes).await)
            }
        }
    }

    /// Runs work outside a transaction, under the settings of its hints.
    async fn autocommit(
        &mut self,
        work: RequestWork<'_>,
        sql: Option<&str>,
        writes: bool,
    ) -> StatementEnd {
        let kept = (self.state.max_age, self.state.request_key.clone(), self.state.timeout);
        if let Some(sql) = sql
            && let Err(refusal) = self.take_hints(sql)
        {
            return self.refuse(&refusal);
        }
        let kind = self.state.request_kind(writes);
        let mark = self.state.mark;
        let runner = RequestRunner { context: &self.context, cancel: &self.ticket };
        let key = self.state.request_key.clone().filter(|_| writes);
        let used = key.is_some();
        let end = tokio::select! {
            end = runner.run_write_or_read(&mut self.state, work, kind, key) => Some(end),
            _ = self.stream.closed() => None,
        };
        (self.state.max_age, self.state.request_key, self.state.timeout) = kept;
        if used {
            // A key names one write; the next one needs a key of its own.
            self.state.request_key = None;
        }
        match end {
            Some(RunEnd::Answered(answer)) => {
                self.announce_token(mark);
                self.answer.raw(&answer.bytes);
                StatementEnd::Done
            }
            Some(RunEnd::Refused(code)) => self.fail(code),
            Some(RunEnd::Busy(code, wait)) => {
                let text = format!("{} Send it again after {} ms.", code.text(), wait.as_millis());
                self.answer.error("ERROR", code, &text);
                StatementEnd::Failed
            }
            None => StatementEnd::Failed,
        }
    }

    fn take_hints(&mut self, sql: &str) -> Result<(), Refusal> {
        let hints = read_hints(sql)
            .map_err(|error| Refusal { code: ResultCode::BadSetting, text: error.to_string() })?;
        for hint in hints {
            self.state.apply(hint, &self.context.token_key)?;
        }
        Ok(())
    }

    async fn inside_transaction(&mut self, work: RequestWork<'_>, writes: bool) -> StatementEnd {
        if let TransactionState::Begun { sql, read_only } = &self.transaction {
            let (sql, read_only) = (sql.clone(), *read_only);
            let runner = RequestRunner { context: &self.context, cancel: &self.ticket };
            match runner.open_transaction(&mut self.state, &sql, read_only).await {
                Ok(open) => self.transaction = TransactionState::Open(Box::new(open)),
                Err(code) => {
                    self.transaction = TransactionState::Failed;
                    return self.fail(code);
                }
            }
        }
        let TransactionState::Open(open) = &mut self.transaction else {
            return StatementEnd::Failed;
        };
        if open.read_only && writes {
            return self.fail(ResultCode::ReadOnlySession);
        }
        let performed = tokio::select! {
            () = self.ticket.notify.notified() => None,
            performed = timeout(self.state.timeout, perform(work, &mut open.connection, false)) => {
                performed.ok().and_then(Result::ok)
            }
        };
        match performed {
            Some(done) if done.segment.status != b'I' => {
                open.status = done.segment.status;
                self.answer.raw(&done.answer.bytes);
                match done.segment.failed {
                    true => StatementEnd::Failed,
                    false => StatementEnd::Done,
                }
            }
            _ => {
                if let TransactionPlace::Database { handle, .. } = &mut open.place {
                    handle.report(ExecutionReport::RolledBack);
                }
                self.transaction = TransactionState::Failed;
                self.fail(ResultCode::TransactionLost)
            }
        }
    }
}

fn shutting_down() -> Result<(), CallerError> {
    let code = ResultCode::ShuttingDown;
    RefusedSnafu { code, text: code.text() }.fail()
}

async fn read_startup(
    stream: &mut CallerStream,
    context: &CallerContext,
) -> Result<StartupRequest, CallerError> {
    loop {
        match stream.next().await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                stream.expect_startup();
            }
            PgWireFrontendMessage::SslNegotiation(_) => {
                let mut no = bytes::BytesMut::from(&b"N"[..]);
                stream.write(&mut no).await?;
            }
            PgWireFrontendMessage::CancelRequest(request) => {
                if let Some(secret) = request.secret_key.as_i32() {
                    context.cancels.cancel(request.pid, secret);
                }
                return Ok(StartupRequest::Cancelled);
            }
            PgWireFrontendMessage::Startup(startup) => return Ok(StartupRequest::Session(startup)),
            _ => return ProtocolSnafu { text: "not a start-up packet" }.fail(),
        }
    }
}

/// Reads group, session and settings from the start-up parameters, and from
/// `-c name=value` in `options`.
fn open_state(startup: &Startup, context: &CallerContext) -> Result<CallerState, CallerError> {
    let parameters = &startup.parameters;
    let user = parameters.get("user").cloned().unwrap_or_default();
    let database = parameters.get("database").unwrap_or(&user);
    let group = GroupName::new(database).map_err(|error| CallerError::Refused {
        code: ResultCode::UnknownGroup,
        text: format!("database name: {error}"),
    })?;
    let session = SessionId::new(&format!("s-{:016x}", rand::random::<u64>()))
        .map_err(|error| CallerError::Protocol { text: error.to_string() })?;
    let mut state = CallerState::new(group, session, &user);
    state.forwarded = parameters.contains_key(FORWARD_PARAMETER);
    let options = parameters.get("options").map(String::as_str).unwrap_or_default();
    let in_options = options
        .split_whitespace()
        .filter_map(|word| word.strip_prefix("-c").unwrap_or(word).split_once('='));
    let direct = parameters.iter().map(|(name, value)| (name.as_str(), value.as_str()));
    for (name, value) in direct.chain(in_options) {
        if name.starts_with(SETTING_PREFIX) {
            state.set(name, value, &context.token_key).map_err(|refusal| CallerError::Refused {
                code: refusal.code,
                text: refusal.text,
            })?;
        }
    }
    Ok(state)
}

/// Tells the caller why its connection ends, if it can still be told.
async fn refuse(stream: &mut CallerStream, error: &CallerError) {
    log::debug!(target: "callers", "A connection ends: {error}.");
    if let Some(code) = error.result_code() {
        let mut answer = AnswerWriter::default();
        answer.error("FATAL", code, &error.to_string());
        let _ = stream.write(&mut answer.bytes).await;
        stream.linger().await;
    }
}
