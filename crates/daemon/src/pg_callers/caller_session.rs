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
    extended_batch::{BatchItem, ExtendedBatch, is_local, is_read_only, last_query},
    request_runner::{RequestRunner, RequestWork, RunOutcome, run_work},
    transaction::{TransactionState, TransactionTarget},
};
use crate::pg_upstreams::FORWARD_PARAMETER;

/// Timeout for the start-up of a caller.
const STARTUP_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);
/// PostgreSQL version whose protocol is spoken, as reported to callers.
const SERVER_VERSION: &str = "15.0 (hawthornstack)";
/// Parameter whose status messages send the session token to the caller.
pub(super) const TOKEN_PARAMETER: &str = "hawthornstack.token";

/// Request in a caller's start-up packets.
enum StartupRequest {
    Session(Startup),
    /// A cancel request, already executed.
    Cancelled,
}

/// How one statement ended.
enum StatementOutcome {
    /// The answer is buffered.
    Done,
    /// An error is buffered; the rest of the batch is skipped.
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
    /// Serves a connection until the caller disconnects or is refused.
    pub(super) async fn serve(stream: TcpStream, context: Arc<CallerContext>) {
        let _ = stream.set_nodelay(true);
        let mut stream = CallerStream::new(stream);
        let started = timeout(STARTUP_TIMEOUT, read_startup_request(&mut stream, &context)).await;
        let opened = match started.unwrap_or(Err(CallerError::StartupTimedOut)) {
            Ok(StartupRequest::Cancelled) => return,
            Ok(StartupRequest::Session(startup)) => create_state(&startup, &context),
            Err(error) => Err(error),
        };
        let state = match opened {
            Ok(state) => state,
            Err(error) => return send_fatal_error(&mut stream, &error).await,
        };
        let mut session = Self {
            stream,
            ticket: context.cancels.register(),
            context,
            state,
            transaction: TransactionState::Idle,
            answer: AnswerWriter::default(),
        };
        if let Err(error) = session.serve_messages().await {
            send_fatal_error(&mut session.stream, &error).await;
        }
    }

    async fn serve_messages(&mut self) -> Result<(), CallerError> {
        self.stream.expect_messages();
        self.write_startup_answer();
        self.send_ready().await?;
        let mut batch = ExtendedBatch::default();
        let mut skip_until_sync = false;
        loop {
            let message = tokio::select! {
                () = self.context.wait_idle_grace(), if self.is_idle() => return end_for_shutdown(),
                message = self.stream.read_message() => message?,
            };
            // An active caller gets the shutdown error as the answer to its next
            // request, which then certainly did not run. An unsolicited error
            // could cross a request that the caller has just sent.
            let terminates = matches!(message, PgWireFrontendMessage::Terminate(_));
            if self.is_idle() && self.context.is_closing_or_draining() && !terminates {
                return end_for_shutdown();
            }
            match message {
                PgWireFrontendMessage::Query(query) => {
                    self.run_simple_query(&query.query).await?;
                    self.send_ready().await?;
                }
                PgWireFrontendMessage::Sync(_) => {
                    let complete = std::mem::take(&mut batch);
                    if !std::mem::take(&mut skip_until_sync) {
                        self.run_extended_batch(&complete).await?;
                    }
                    self.send_ready().await?;
                }
                PgWireFrontendMessage::Terminate(_) => return Ok(()),
                message if message.is_extended_query() => {
                    if skip_until_sync {
                        continue;
                    }
                    if let Err(refusal) = batch.add(message, &mut self.state) {
                        skip_until_sync = true;
                        self.answer.write_error("ERROR", refusal.code, &refusal.text);
                    }
                }
                _ => return ProtocolSnafu { text: "unexpected message" }.fail(),
            }
        }
    }

    fn is_idle(&self) -> bool {
        matches!(self.transaction, TransactionState::Idle)
    }

    fn write_startup_answer(&mut self) {
        self.answer.write_authentication_ok();
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
            self.answer.write_parameter(name, value);
        }
        let session = self.state.session.to_string();
        self.answer.write_parameter("hawthornstack.session", &session);
        self.answer.write_key_data(self.ticket.id, self.ticket.secret);
    }

    /// Ends the buffered answer with `ReadyForQuery` and sends it.
    async fn send_ready(&mut self) -> Result<(), CallerError> {
        self.answer.write_ready(self.transaction.status());
        self.stream.write(&mut self.answer.bytes).await
    }

    fn write_failure(&mut self, code: ResultCode) -> StatementOutcome {
        self.answer.write_result_error(code);
        StatementOutcome::Failed
    }

    fn write_refusal(&mut self, refusal: &Refusal) -> StatementOutcome {
        self.answer.write_error("ERROR", refusal.code, &refusal.text);
        StatementOutcome::Failed
    }

    async fn run_simple_query(&mut self, sql: &str) -> Result<(), CallerError> {
        match classify(sql) {
            StatementClass::Empty => self.answer.write_empty_query(),
            StatementClass::Unsupported => {
                self.write_failure(ResultCode::NotSupported);
            }
            class if is_local(&class) => {
                self.run_local_statement(sql, &class).await?;
            }
            class => {
                let writes = class != StatementClass::Read;
                self.run_database_work(RequestWork::Simple(sql), Some(sql), writes).await?;
            }
        }
        Ok(())
    }

    async fn run_extended_batch(&mut self, batch: &ExtendedBatch) -> Result<(), CallerError> {
        for items in batch.split_runs() {
            let outcome = match items.first().is_some_and(BatchItem::is_local) {
                true => self.answer_items(items).await?,
                false => {
                    let work = RequestWork::Batch(items);
                    self.run_database_work(work, last_query(items), !is_read_only(items)).await?
                }
            };
            if matches!(outcome, StatementOutcome::Failed) {
                break;
            }
        }
        Ok(())
    }

    async fn answer_items(&mut self, items: &[BatchItem]) -> Result<StatementOutcome, CallerError> {
        for item in items {
            match item {
                BatchItem::Parse(_) => self.answer.write_parse_complete(),
                BatchItem::Bind(..) => self.answer.write_bind_complete(),
                BatchItem::DescribeStatement(statement) => {
                    self.answer.write_no_parameters();
                    self.write_local_description(&statement.class);
                }
                BatchItem::DescribePortal(_, class) => self.write_local_description(class),
                BatchItem::Execute(_, class) => {
                    let sql = last_query(items).unwrap_or_default();
                    let outcome = self.execute_local(sql, class).await?;
                    if matches!(outcome, StatementOutcome::Failed) {
                        return Ok(outcome);
                    }
                }
                BatchItem::ClosePortal(_) | BatchItem::CloseStatement => {
                    self.answer.write_close_complete();
                }
            }
        }
        Ok(StatementOutcome::Done)
    }

    fn write_local_description(&mut self, class: &StatementClass) {
        match class {
            StatementClass::Show(name) => self.answer.write_text_column(name),
            _ => self.answer.write_no_data(),
        }
    }

    /// Runs a statement of the simple protocol that the proxy answers itself.
    async fn run_local_statement(
        &mut self,
        sql: &str,
        class: &StatementClass,
    ) -> Result<StatementOutcome, CallerError> {
        if let StatementClass::Show(name) = class {
            self.answer.write_text_column(name);
        }
        self.execute_local(sql, class).await
    }

    async fn execute_local(
        &mut self,
        sql: &str,
        class: &StatementClass,
    ) -> Result<StatementOutcome, CallerError> {
        match class {
            StatementClass::Begin { read_only } => self.begin_transaction(sql, *read_only),
            StatementClass::Commit | StatementClass::Rollback => {
                return Ok(self.end_transaction(sql).await);
            }
            StatementClass::Set(assignment) => {
                let key = &self.context.token_key;
                if let Err(refusal) = self.state.set(&assignment.name, &assignment.value, key) {
                    return Ok(self.write_refusal(&refusal));
                }
                self.answer.write_command_complete("SET");
            }
            StatementClass::Show(name) => {
                let shown = self.state.show_setting(name, &self.context.token_key);
                self.answer.write_show_value(&shown.unwrap_or_default());
            }
            _ => {}
        }
        Ok(StatementOutcome::Done)
    }

    fn begin_transaction(&mut self, sql: &str, read_only: bool) {
        if let TransactionState::Idle = self.transaction {
            self.transaction = TransactionState::Begun { sql: Arc::from(sql), read_only };
        }
        self.answer.write_command_complete("BEGIN");
    }

    async fn end_transaction(&mut self, sql: &str) -> StatementOutcome {
        let tag = match classify(sql) {
            StatementClass::Commit => "COMMIT",
            _ => "ROLLBACK",
        };
        match std::mem::replace(&mut self.transaction, TransactionState::Idle) {
            TransactionState::Idle | TransactionState::Begun { .. } => {
                self.answer.write_command_complete(tag)
            }
            TransactionState::Failed => self.answer.write_command_complete("ROLLBACK"),
            TransactionState::Open(open) => {
                let runner = RequestRunner { context: &self.context, cancel: &self.ticket };
                let position_before = self.state.session_position;
                match runner.end_transaction(&mut self.state, *open, tag).await {
                    Ok(answer) => {
                        self.announce_token(position_before);
                        self.answer.write_frame(&answer.bytes);
                    }
                    Err(code) => return self.write_failure(code),
                }
            }
        }
        StatementOutcome::Done
    }

    /// Sends the caller a new session token if the session position advanced.
    fn announce_token(&mut self, before: hawthornstack_decisions::positions::LogPosition) {
        if self.state.session_position > before {
            let token = self.state.encode_token(&self.context.token_key);
            self.answer.write_parameter(TOKEN_PARAMETER, &token);
        }
    }

    async fn run_database_work(
        &mut self,
        work: RequestWork<'_>,
        sql: Option<&str>,
        writes: bool,
    ) -> Result<StatementOutcome, CallerError> {
        match self.transaction {
            _ if self.state.lacks_forwarded => Ok(self.write_failure(ResultCode::NoDatabase)),
            TransactionState::Idle => Ok(self.run_autocommit(work, sql, writes).await),
            TransactionState::Failed => Ok(self.write_failure(ResultCode::TransactionLost)),
            TransactionState::Begun { .. } | TransactionState::Open(_) => {
                Ok(self.run_in_transaction(work, writes).await)
            }
        }
    }

    /// Runs work outside a transaction, with the settings in its hints.
    async fn run_autocommit(
        &mut self,
        work: RequestWork<'_>,
        sql: Option<&str>,
        writes: bool,
    ) -> StatementOutcome {
        let session_settings =
            (self.state.max_age, self.state.request_key.clone(), self.state.timeout);
        if let Some(sql) = sql
            && let Err(refusal) = self.apply_hints(sql)
        {
            return self.write_refusal(&refusal);
        }
        let kind = self.state.request_kind(writes);
        let position_before = self.state.session_position;
        let runner = RequestRunner { context: &self.context, cancel: &self.ticket };
        let key = self.state.request_key.clone().filter(|_| writes);
        let has_key = key.is_some();
        let outcome = tokio::select! {
            outcome = runner.run_autocommit(&mut self.state, work, kind, key) => Some(outcome),
            _ = self.stream.wait_for_close() => None,
        };
        (self.state.max_age, self.state.request_key, self.state.timeout) = session_settings;
        if has_key {
            // A request key is valid for one write; the next write needs its own.
            self.state.request_key = None;
        }
        match outcome {
            Some(RunOutcome::Answered(answer)) => {
                self.announce_token(position_before);
                self.answer.write_frame(&answer.bytes);
                StatementOutcome::Done
            }
            Some(RunOutcome::Refused(code)) => self.write_failure(code),
            Some(RunOutcome::Busy(code, wait)) => {
                let text = format!("{} Send it again after {} ms.", code.text(), wait.as_millis());
                self.answer.write_error("ERROR", code, &text);
                StatementOutcome::Failed
            }
            None => StatementOutcome::Failed,
        }
    }

    fn apply_hints(&mut self, sql: &str) -> Result<(), Refusal> {
        let hints = read_hints(sql)
            .map_err(|error| Refusal { code: ResultCode::BadSetting, text: error.to_string() })?;
        for hint in hints {
            self.state.apply(hint, &self.context.token_key)?;
        }
        Ok(())
    }

    async fn run_in_transaction(
        &mut self,
        work: RequestWork<'_>,
        writes: bool,
    ) -> StatementOutcome {
        if let TransactionState::Begun { sql, read_only } = &self.transaction {
            let (sql, read_only) = (sql.clone(), *read_only);
            let runner = RequestRunner { context: &self.context, cancel: &self.ticket };
            match runner.open_transaction(&mut self.state, &sql, read_only).await {
                Ok(open) => self.transaction = TransactionState::Open(Box::new(open)),
                Err(code) => {
                    self.transaction = TransactionState::Failed;
                    return self.write_failure(code);
                }
            }
        }
        let TransactionState::Open(open) = &mut self.transaction else {
            return StatementOutcome::Failed;
        };
        if open.read_only && writes {
            return self.write_failure(ResultCode::ReadOnlySession);
        }
        let executed = tokio::select! {
            () = self.ticket.notify.notified() => None,
            executed = timeout(self.state.timeout, run_work(work, &mut open.connection, false)) => {
                executed.ok().and_then(Result::ok)
            }
        };
        match executed {
            Some(done) if done.segment.status != b'I' => {
                open.status = done.segment.status;
                self.answer.write_frame(&done.answer.bytes);
                match done.segment.failed {
                    true => StatementOutcome::Failed,
                    false => StatementOutcome::Done,
                }
            }
            _ => {
                if let TransactionTarget::Database { handle, .. } = &mut open.target {
                    handle.report(ExecutionReport::RolledBack);
                }
                self.transaction = TransactionState::Failed;
                self.write_failure(ResultCode::TransactionLost)
            }
        }
    }
}

fn end_for_shutdown() -> Result<(), CallerError> {
    let code = ResultCode::ShuttingDown;
    RefusedSnafu { code, text: code.text() }.fail()
}

async fn read_startup_request(
    stream: &mut CallerStream,
    context: &CallerContext,
) -> Result<StartupRequest, CallerError> {
    loop {
        match stream.read_message().await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                stream.expect_startup();
            }
            PgWireFrontendMessage::SslNegotiation(_) => {
                let mut tls_refusal = bytes::BytesMut::from(&b"N"[..]);
                stream.write(&mut tls_refusal).await?;
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

/// Creates the session's state from the start-up parameters and from
/// `-c name=value` in `options`.
fn create_state(startup: &Startup, context: &CallerContext) -> Result<CallerState, CallerError> {
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
    state.expect_forwarded(parameters.contains_key(FORWARD_PARAMETER));
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

/// Sends the caller the reason why its connection ends, if it can still be sent.
async fn send_fatal_error(stream: &mut CallerStream, error: &CallerError) {
    log::debug!(target: "callers", "Closing the connection of a caller: {error}.");
    if let Some(code) = error.result_code() {
        let mut answer = AnswerWriter::default();
        answer.write_error("FATAL", code, &error.to_string());
        let _ = stream.write(&mut answer.bytes).await;
        stream.close_gracefully().await;
    }
}
