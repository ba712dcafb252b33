use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::BytesMut;
use hawthornstack_decisions::{directory::DatabaseRole, positions::LogPosition};
use hawthornstack_wire::reports::{REPORT_COLUMNS, position_text, read_position, report_row};
use pgwire::messages::{
    DecodeContext, Message, PgWireFrontendMessage, ProtocolVersion, SslNegotiationMetaMessage,
    data::{NoData, ParameterDescription},
    extendedquery::{Bind, BindComplete, CloseComplete, Describe, Execute, Parse, ParseComplete},
    response::{
        CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
    },
    startup::{Authentication, BackendKeyData, SecretKey},
};
use rusqlite::types::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::OwnedMutexGuard,
    time::{sleep, timeout},
};

use super::{
    EngineError, EngineRows, LoggedStatement, StandInDatabase, StandInGroup,
    database_core::read_only_error,
    pg_values::{decode_value, describe_row, encode_row, format_code, infer_column_type},
    sql_text::{SqlCommand, parameter_types, parse_command, split_statements},
};

/// Database name in the startup message of connections that control opens;
/// connections for callers' statements name a group.
const CONTROL_DATABASE: &str = "hawthornstack";

/// A transaction at a primary that has run a statement.
struct WriteTransaction {
    /// Excludes other writers until the transaction ends.
    _writer: OwnedMutexGuard<()>,
    /// Write statements so far, logged at the commit.
    statements: Vec<LoggedStatement>,
}

/// Transaction state of a session.
enum SessionTransaction {
    Idle,
    /// `BEGIN` was run. At a primary, the first statement locks the writer.
    Begun,
    Writing(WriteTransaction),
    /// A statement failed; only `COMMIT` and `ROLLBACK` are accepted.
    Failed,
}

#[derive(Clone)]
struct PreparedStatement {
    sql: String,
    /// Type OIDs of the parameters.
    types: Vec<u32>,
}

struct Portal {
    sql: String,
    parameters: Vec<Value>,
    /// Format codes of the result columns.
    formats: Vec<i16>,
}

/// One connection to a stand-in database.
pub(super) struct PgSession {
    database: Arc<StandInDatabase>,
    group: Arc<StandInGroup>,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    context: DecodeContext,
    transaction: SessionTransaction,
    statements: HashMap<String, PreparedStatement>,
    portals: HashMap<String, Portal>,
    /// True after an error in an extended-query batch: messages are discarded until
    /// `Sync`.
    discarding: bool,
}

impl PgSession {
    /// Serves one connection until the client closes it or the database is stopped.
    /// An open transaction is rolled back.
    pub(super) async fn serve(
        database: Arc<StandInDatabase>,
        group: Arc<StandInGroup>,
        stream: TcpStream,
    ) {
        let _ = stream.set_nodelay(true);
        let mut session = Self {
            database: database.clone(),
            group,
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
            transaction: SessionTransaction::Idle,
            statements: HashMap::new(),
            portals: HashMap::new(),
            discarding: false,
        };
        let counters = &database.counters;
        let open = counters.open.fetch_add(1, Ordering::Relaxed) + 1;
        counters.peak_open.fetch_max(open, Ordering::Relaxed);
        tokio::select! {
            () = database.faults.wait_until_stopped() => {}
            _ = session.handle_messages(open) => {}
        }
        if let SessionTransaction::Writing(_) = session.transaction {
            let _ = database.core().working().run_transaction_control("ROLLBACK");
        }
        counters.open.fetch_sub(1, Ordering::Relaxed);
    }

    fn write_message(&mut self, message: &impl Message) {
        // Encoding cannot fail: messages of the stand-in are small and well-formed.
        let _ = message.encode(&mut self.output);
    }

    async fn read_message(&mut self) -> Option<PgWireFrontendMessage> {
        loop {
            match PgWireFrontendMessage::decode(&mut self.input, &self.context) {
                Ok(Some(message)) => return Some(message),
                Ok(None) => {}
                Err(_) => return None,
            }
            if self.stream.read_buf(&mut self.input).await.ok()? == 0 {
                return None;
            }
        }
    }

    async fn flush(&mut self) -> Option<()> {
        self.database.faults.wait_until_answering().await;
        self.stream.write_all(&self.output).await.ok()?;
        self.output.clear();
        Some(())
    }

    async fn handle_messages(&mut self, open: u32) -> Option<()> {
        let is_control = self.read_startup(open).await?;
        if !is_control {
            sleep(self.database.settings.connection_cost).await;
        }
        self.write_message(&Authentication::Ok);
        self.write_message(&BackendKeyData::new(1, SecretKey::I32(1)));
        self.write_ready_for_query();
        self.flush().await?;
        loop {
            let message = self.read_message().await?;
            self.database.faults.wait_until_answering().await;
            match message {
                PgWireFrontendMessage::Query(query) => {
                    self.run_simple_query(&query.query).await;
                    self.write_ready_for_query();
                    self.flush().await?;
                }
                PgWireFrontendMessage::Sync(_) => {
                    self.discarding = false;
                    if !self.in_transaction() {
                        self.portals.clear();
                    }
                    self.write_ready_for_query();
                    self.flush().await?;
                }
                PgWireFrontendMessage::Terminate(_) => return None,
                _ if self.discarding => {}
                message => {
                    if let Err(error) = self.handle_extended(message).await {
                        self.write_error(&error);
                        self.discarding = true;
                    }
                }
            }
        }
    }

    /// Handles the startup phase and the connection limit; `open` is the number of
    /// open connections with this one. Returns true for a connection of control.
    async fn read_startup(&mut self, open: u32) -> Option<bool> {
        loop {
            match self.read_message().await? {
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                    self.context.awaiting_frontend_ssl = false;
                }
                PgWireFrontendMessage::SslNegotiation(_) => {
                    self.output.extend_from_slice(b"N");
                    self.flush().await?;
                }
                PgWireFrontendMessage::Startup(startup) => {
                    self.context.awaiting_frontend_ssl = false;
                    self.context.awaiting_frontend_startup = false;
                    let counters = &self.database.counters;
                    if open > self.database.settings.connections {
                        counters.refused.fetch_add(1, Ordering::Relaxed);
                        let text = "too many connections".to_owned();
                        self.write_error(&EngineError { sqlstate: "53300", text });
                        self.flush().await?;
                        return None;
                    }
                    counters.opened.fetch_add(1, Ordering::Relaxed);
                    let name = startup.parameters.get("database").cloned();
                    return Some(name.as_deref() == Some(CONTROL_DATABASE));
                }
                _ => return None,
            }
        }
    }

    fn in_transaction(&self) -> bool {
        !matches!(self.transaction, SessionTransaction::Idle)
    }

    fn write_ready_for_query(&mut self) {
        let status = match self.transaction {
            SessionTransaction::Idle => TransactionStatus::Idle,
            SessionTransaction::Begun | SessionTransaction::Writing(_) => {
                TransactionStatus::Transaction
            }
            SessionTransaction::Failed => TransactionStatus::Error,
        };
        self.write_message(&ReadyForQuery::new(status));
    }

    /// Writes an `ErrorResponse`. An open transaction is rolled back and marked as
    /// failed.
    fn write_error(&mut self, error: &EngineError) {
        let fields = vec![
            (b'S', "ERROR".to_owned()),
            (b'V', "ERROR".to_owned()),
            (b'C', error.sqlstate.to_owned()),
            (b'M', error.text.clone()),
        ];
        self.write_message(&ErrorResponse::new(fields));
        if self.in_transaction() {
            self.roll_back(SessionTransaction::Failed);
        }
    }

    fn roll_back(&mut self, next_state: SessionTransaction) {
        if let SessionTransaction::Writing(_) = self.transaction {
            let _ = self.database.core().working().run_transaction_control("ROLLBACK");
        }
        self.transaction = next_state;
    }

    async fn run_simple_query(&mut self, sql: &str) {
        let statements = split_statements(sql);
        if statements.is_empty() {
            return self.write_message(&EmptyQueryResponse::new());
        }
        let implicit_transaction = statements.len() > 1 && !self.in_transaction();
        if implicit_transaction {
            self.transaction = SessionTransaction::Begun;
        }
        for statement in statements {
            if let Err(error) = self.run_simple_statement(statement).await {
                self.write_error(&error);
                if implicit_transaction {
                    self.transaction = SessionTransaction::Idle;
                }
                return;
            }
        }
        if implicit_transaction && let Err(error) = self.commit() {
            self.transaction = SessionTransaction::Idle;
            self.write_error(&error);
        }
    }

    async fn run_simple_statement(&mut self, sql: &str) -> Result<(), EngineError> {
        let (rows, tag) = self.execute(sql, Vec::new()).await?;
        let columns = match parse_command(sql) {
            SqlCommand::Engine(text) => self.database.core().committed().describe(&text)?,
            _ => rows.columns.iter().map(|name| (name.clone(), None)).collect(),
        };
        if !columns.is_empty() {
            self.write_message(&describe_row(&columns, &[]));
            self.write_rows(&rows, &columns, &[]);
        }
        self.write_message(&CommandComplete::new(tag));
        Ok(())
    }

    fn write_rows(
        &mut self,
        rows: &EngineRows,
        columns: &[(String, Option<String>)],
        formats: &[i16],
    ) {
        let types: Vec<u32> = columns
            .iter()
            .map(|(name, declared)| infer_column_type(name, declared.as_deref()))
            .collect();
        for row in &rows.rows {
            self.write_message(&encode_row(row, &types, formats));
        }
    }

    async fn handle_extended(&mut self, message: PgWireFrontendMessage) -> Result<(), EngineError> {
        match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(parse),
            PgWireFrontendMessage::Bind(bind) => self.bind(&bind),
            PgWireFrontendMessage::Describe(describe) => self.describe(&describe),
            PgWireFrontendMessage::Execute(execute) => self.execute_portal(&execute).await,
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                match close.target_type {
                    b'S' => drop(self.statements.remove(&name)),
                    _ => drop(self.portals.remove(&name)),
                }
                self.write_message(&CloseComplete::new());
                Ok(())
            }
            _ => Err(EngineError {
                sqlstate: "0A000",
                text: "this message is not supported".to_owned(),
            }),
        }
    }

    fn parse(&mut self, parse: Parse) -> Result<(), EngineError> {
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            let text = format!("prepared statement \"{name}\" already exists");
            return Err(EngineError { sqlstate: "42P05", text });
        }
        if let SqlCommand::Engine(text) = parse_command(&parse.query) {
            self.database.core().committed().describe(&text)?;
        }
        let types = parameter_types(&parse.query, &parse.type_oids);
        self.statements.insert(name, PreparedStatement { sql: parse.query, types });
        self.write_message(&ParseComplete::new());
        Ok(())
    }

    fn find_statement(&self, name: Option<&String>) -> Result<PreparedStatement, EngineError> {
        let name = name.map(String::as_str).unwrap_or_default();
        let statement = self.statements.get(name).cloned();
        statement.ok_or_else(|| EngineError {
            sqlstate: "26000",
            text: format!("prepared statement \"{name}\" does not exist"),
        })
    }

    fn bind(&mut self, bind: &Bind) -> Result<(), EngineError> {
        let statement = self.find_statement(bind.statement_name.as_ref())?;
        let formats = &bind.parameter_format_codes;
        let parameters: Option<Vec<Value>> = bind
            .parameters
            .iter()
            .enumerate()
            .map(|(index, bytes)| {
                let oid = statement.types.get(index).copied().unwrap_or(25);
                decode_value(bytes.as_ref(), oid, format_code(formats, index))
            })
            .collect();
        let parameters = parameters.ok_or_else(|| EngineError {
            sqlstate: "22P03",
            text: "the value of a parameter does not match its type".to_owned(),
        })?;
        let portal = Portal {
            sql: statement.sql,
            parameters,
            formats: bind.result_column_format_codes.clone(),
        };
        self.portals.insert(bind.portal_name.clone().unwrap_or_default(), portal);
        self.write_message(&BindComplete::new());
        Ok(())
    }

    fn describe_columns(&self, sql: &str) -> Result<Vec<(String, Option<String>)>, EngineError> {
        match parse_command(sql) {
            SqlCommand::Engine(text) => self.database.core().committed().describe(&text),
            _ => Ok(Vec::new()),
        }
    }

    fn describe(&mut self, describe: &Describe) -> Result<(), EngineError> {
        let (sql, formats) = if describe.target_type == b'S' {
            let statement = self.find_statement(describe.name.as_ref())?;
            self.write_message(&ParameterDescription::new(statement.types));
            (statement.sql, Vec::new())
        } else {
            let name = describe.name.clone().unwrap_or_default();
            let portal = self.portals.get(&name).ok_or_else(unknown_portal)?;
            (portal.sql.clone(), portal.formats.clone())
        };
        let columns = self.describe_columns(&sql)?;
        match columns.is_empty() {
            true => self.write_message(&NoData::new()),
            false => self.write_message(&describe_row(&columns, &formats)),
        }
        Ok(())
    }

    async fn execute_portal(&mut self, execute: &Execute) -> Result<(), EngineError> {
        let name = execute.name.clone().unwrap_or_default();
        let portal = self.portals.remove(&name).ok_or_else(unknown_portal)?;
        let (rows, tag) = self.execute(&portal.sql, portal.parameters).await?;
        let columns = self.describe_columns(&portal.sql)?;
        self.write_rows(&rows, &columns, &portal.formats);
        self.write_message(&CommandComplete::new(tag));
        Ok(())
    }

    /// Runs one statement and returns its rows and command tag.
    async fn execute(
        &mut self,
        sql: &str,
        parameters: Vec<Value>,
    ) -> Result<(EngineRows, String), EngineError> {
        let command = parse_command(sql);
        let ends_transaction = matches!(command, SqlCommand::Commit | SqlCommand::Rollback);
        if matches!(self.transaction, SessionTransaction::Failed) && !ends_transaction {
            let text = "current transaction is aborted; send ROLLBACK".to_owned();
            return Err(EngineError { sqlstate: "25P02", text });
        }
        let tag = |tag: &str| Ok((EngineRows::default(), tag.to_owned()));
        match command {
            SqlCommand::Empty => tag(""),
            SqlCommand::Begin => {
                if !self.in_transaction() {
                    self.transaction = SessionTransaction::Begun;
                }
                tag("BEGIN")
            }
            SqlCommand::Commit if matches!(self.transaction, SessionTransaction::Failed) => {
                self.transaction = SessionTransaction::Idle;
                tag("ROLLBACK")
            }
            SqlCommand::Commit => {
                self.commit()?;
                tag("COMMIT")
            }
            SqlCommand::Rollback => {
                self.roll_back(SessionTransaction::Idle);
                tag("ROLLBACK")
            }
            SqlCommand::Ignored(command_tag) => tag(command_tag),
            SqlCommand::Function { name, arguments } => {
                let rows = self.call_contract_function(&name, &arguments).await?;
                Ok((rows, "SELECT 1".to_owned()))
            }
            SqlCommand::Engine(text) => {
                self.run_statement(LoggedStatement { sql: text, parameters }).await
            }
        }
    }

    fn commit(&mut self) -> Result<(), EngineError> {
        match std::mem::replace(&mut self.transaction, SessionTransaction::Idle) {
            SessionTransaction::Writing(transaction) => {
                let has_writes = !transaction.statements.is_empty();
                self.database.core().commit(transaction.statements)?;
                if has_writes {
                    self.database.counters.writes.fetch_add(1, Ordering::Relaxed);
                    self.database.changed.notify_waiters();
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Runs a statement of the engine in the open transaction, if there is one, or
    /// else in its own.
    async fn run_statement(
        &mut self,
        statement: LoggedStatement,
    ) -> Result<(EngineRows, String), EngineError> {
        let is_read = self.database.core().committed().is_read(&statement.sql)?;
        if !is_read && !self.database.core().accepts_writes() {
            return Err(read_only_error());
        }
        let is_primary = self.database.core().role() == DatabaseRole::Primary;
        if is_primary && matches!(self.transaction, SessionTransaction::Begun) {
            let writer = self.database.writer.clone().lock_owned().await;
            self.database.core().working().run_transaction_control("BEGIN")?;
            self.transaction = SessionTransaction::Writing(WriteTransaction {
                _writer: writer,
                statements: Vec::new(),
            });
        }
        let database = self.database.clone();
        let autocommit = !self.in_transaction();
        let _writer = match autocommit && !is_read {
            true => Some(database.writer.clone().lock_owned().await),
            false => None,
        };
        let _slot = database.slots.acquire().await;
        sleep(database.settings.service_time + database.faults.statement_delay()).await;
        database.faults.wait_until_answering().await;
        let verb = statement.sql.split_whitespace().next().unwrap_or_default().to_uppercase();
        let rows = match &mut self.transaction {
            SessionTransaction::Writing(transaction) => {
                let rows = database.core().working().run(&statement)?;
                if !is_read {
                    transaction.statements.push(statement);
                }
                rows
            }
            _ if is_read => {
                database.count_read();
                database.core().committed().run(&statement)?
            }
            _ => {
                let rows = database.core().run_write(statement)?;
                database.counters.writes.fetch_add(1, Ordering::Relaxed);
                database.changed.notify_waiters();
                rows
            }
        };
        let tag = match verb.as_str() {
            "INSERT" => format!("INSERT 0 {}", rows.changed),
            "UPDATE" | "DELETE" => format!("{verb} {}", rows.changed),
            "SELECT" | "WITH" | "VALUES" => format!("SELECT {}", rows.rows.len()),
            _ => verb,
        };
        Ok((rows, tag))
    }

    /// Runs a function of the upstream contract: the queries and orders that hosts
    /// send to a database. All but the position query return a report.
    async fn call_contract_function(
        &mut self,
        name: &str,
        arguments: &[String],
    ) -> Result<EngineRows, EngineError> {
        let invalid_arguments =
            || EngineError { sqlstate: "22023", text: format!("invalid arguments of {name}") };
        let number = |index: usize| -> Result<u64, EngineError> {
            arguments.get(index).and_then(|text| text.parse().ok()).ok_or_else(invalid_arguments)
        };
        match name {
            "hawthornstack_position" => {
                let position = self.database.core().position();
                return Ok(EngineRows {
                    columns: vec!["position".to_owned()],
                    rows: vec![vec![Value::Text(position_text(position))]],
                    changed: 0,
                });
            }
            "hawthornstack_report" => {
                let position = arguments.get(1).and_then(|text| read_position(text));
                let known_status = (number(0)?, position.ok_or_else(invalid_arguments)?);
                self.wait_for_change(known_status, Duration::from_millis(number(2)?.min(1_000)))
                    .await;
            }
            "hawthornstack_fence" => {
                self.database.record_order(name);
                self.database.core().fence(number(0)?);
                self.database.changed.notify_waiters();
            }
            "hawthornstack_promote" => {
                let _writer = self.database.writer.clone().lock_owned().await;
                self.database.record_order(name);
                self.database.core().promote(number(0)?)?;
                self.database.set_following(None);
                self.database.changed.notify_waiters();
            }
            "hawthornstack_follow" => {
                let address = arguments
                    .get(1)
                    .and_then(|text| text.parse().ok())
                    .ok_or_else(invalid_arguments)?;
                let _writer = self.database.writer.clone().lock_owned().await;
                self.group.follow_primary(&self.database, number(0)?, address)?;
            }
            _ => {
                let text = format!("function {name} does not exist");
                return Err(EngineError { sqlstate: "42883", text });
            }
        }
        let row = report_row(&self.database.core().status());
        Ok(EngineRows {
            columns: REPORT_COLUMNS.iter().map(|name| (*name).to_owned()).collect(),
            rows: vec![row.into_iter().map(Value::Text).collect()],
            changed: 0,
        })
    }

    /// Waits until the term or position differs from `known_status`, at most for
    /// `max_wait`.
    async fn wait_for_change(&self, known_status: (u64, LogPosition), max_wait: Duration) {
        let status_changed = async {
            loop {
                let changed = self.database.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                let status = self.database.core().status();
                if (status.term, status.position) != known_status {
                    return;
                }
                changed.await;
            }
        };
        let _ = timeout(max_wait, status_changed).await;
    }
}

fn unknown_portal() -> EngineError {
    EngineError { sqlstate: "34000", text: "portal does not exist".to_owned() }
}
