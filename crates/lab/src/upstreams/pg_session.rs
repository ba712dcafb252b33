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
    database_core::read_only,
    pg_values::{column_type, decode_value, describe_row, encode_row, format_at},
    sql_text::{SqlCommand, parameter_types, read_command, split_statements},
};

/// Group name under which the system's own control connects.
const CONTROL_DATABASE: &str = "hawthornstack";

/// The open write transaction of a session.
struct WriteTransaction {
    _writer: OwnedMutexGuard<()>,
    statements: Vec<LoggedStatement>,
}

/// Where a session stands with transactions.
enum SessionTransaction {
    Idle,
    /// `BEGIN` was run; the writer's place is taken at the first statement.
    Begun,
    Writing(WriteTransaction),
    Failed,
}

#[derive(Clone)]
struct StoredStatement {
    sql: String,
    types: Vec<u32>,
}

struct StoredPortal {
    sql: String,
    parameters: Vec<Value>,
    formats: Vec<i16>,
}

/// One connection to a stand-in database.
pub(super) struct PgSession {
    database: Arc<StandInDatabase>,
    group: Arc<StandInGroup>,
    stream: TcpStream,
    read: BytesMut,
    write: BytesMut,
    context: DecodeContext,
    transaction: SessionTransaction,
    statements: HashMap<String, StoredStatement>,
    portals: HashMap<String, StoredPortal>,
    /// After an error in a batch, messages are skipped up to `Sync`.
    skipping: bool,
}

impl PgSession {
    /// Serves one connection until it ends or the database stops.
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
            read: BytesMut::new(),
            write: BytesMut::new(),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
            transaction: SessionTransaction::Idle,
            statements: HashMap::new(),
            portals: HashMap::new(),
            skipping: false,
        };
        let counters = &database.counters;
        let open = counters.open.fetch_add(1, Ordering::Relaxed) + 1;
        counters.most_open.fetch_max(open, Ordering::Relaxed);
        tokio::select! {
            () = database.faults.stopped() => {}
            _ = session.converse(open) => {}
        }
        if let SessionTransaction::Writing(_) = session.transaction {
            let _ = database.core().working().control("ROLLBACK");
        }
        counters.open.fetch_sub(1, Ordering::Relaxed);
    }

    fn put(&mut self, message: &impl Message) {
        // Messages of the stand-in are small and well-formed.
        let _ = message.encode(&mut self.write);
    }

    async fn next(&mut self) -> Option<PgWireFrontendMessage> {
        loop {
            match PgWireFrontendMessage::decode(&mut self.read, &self.context) {
                Ok(Some(message)) => return Some(message),
                Ok(None) => {}
                Err(_) => return None,
            }
            if self.stream.read_buf(&mut self.read).await.ok()? == 0 {
                return None;
            }
        }
    }

    async fn flush(&mut self) -> Option<()> {
        self.database.faults.answering().await;
        self.stream.write_all(&self.write).await.ok()?;
        self.write.clear();
        Some(())
    }

    async fn converse(&mut self, open: u32) -> Option<()> {
        let control = self.start(open).await?;
        if !control {
            sleep(self.database.settings.connection_cost).await;
        }
        self.put(&Authentication::Ok);
        self.put(&BackendKeyData::new(1, SecretKey::I32(1)));
        self.ready();
        self.flush().await?;
        loop {
            let message = self.next().await?;
            self.database.faults.answering().await;
            match message {
                PgWireFrontendMessage::Query(query) => {
                    self.simple_query(&query.query).await;
                    self.ready();
                    self.flush().await?;
                }
                PgWireFrontendMessage::Sync(_) => {
                    self.skipping = false;
                    if !self.in_transaction() {
                        self.portals.clear();
                    }
                    self.ready();
                    self.flush().await?;
                }
                PgWireFrontendMessage::Terminate(_) => return None,
                _ if self.skipping => {}
                message => {
                    if let Err(error) = self.extended(message).await {
                        self.error(&error);
                        self.skipping = true;
                    }
                }
            }
        }
    }

    /// Reads the start-up; true for control's own connections.
    async fn start(&mut self, open: u32) -> Option<bool> {
        loop {
            match self.next().await? {
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                    self.context.awaiting_frontend_ssl = false;
                }
                PgWireFrontendMessage::SslNegotiation(_) => {
                    self.write.extend_from_slice(b"N");
                    self.flush().await?;
                }
                PgWireFrontendMessage::Startup(startup) => {
                    self.context.awaiting_frontend_ssl = false;
                    self.context.awaiting_frontend_startup = false;
                    let counters = &self.database.counters;
                    if open > self.database.settings.connections {
                        counters.refused.fetch_add(1, Ordering::Relaxed);
                        let text = "too many connections".to_owned();
                        self.error(&EngineError { sqlstate: "53300", text });
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

    fn ready(&mut self) {
        let status = match self.transaction {
            SessionTransaction::Idle => TransactionStatus::Idle,
            SessionTransaction::Begun | SessionTransaction::Writing(_) => {
                TransactionStatus::Transaction
            }
            SessionTransaction::Failed => TransactionStatus::Error,
        };
        self.put(&ReadyForQuery::new(status));
    }

    /// Writes an error; an open transaction fails with it.
    fn error(&mut self, error: &EngineError) {
        let fields = vec![
            (b'S', "ERROR".to_owned()),
            (b'V', "ERROR".to_owned()),
            (b'C', error.sqlstate.to_owned()),
            (b'M', error.text.clone()),
        ];
        self.put(&ErrorResponse::new(fields));
        if self.in_transaction() {
            self.roll_back(SessionTransaction::Failed);
        }
    }

    fn roll_back(&mut self, next: SessionTransaction) {
        if let SessionTransaction::Writing(_) = self.transaction {
            let _ = self.database.core().working().control("ROLLBACK");
        }
        self.transaction = next;
    }

    async fn simple_query(&mut self, sql: &str) {
        let statements = split_statements(sql);
        if statements.is_empty() {
            return self.put(&EmptyQueryResponse::new());
        }
        let many = statements.len() > 1 && !self.in_transaction();
        if many {
            self.transaction = SessionTransaction::Begun;
        }
        for statement in statements {
            if let Err(error) = self.simple_statement(statement).await {
                self.error(&error);
                if many {
                    self.transaction = SessionTransaction::Idle;
                }
                return;
            }
        }
        if many && let Err(error) = self.commit() {
            self.transaction = SessionTransaction::Idle;
            self.error(&error);
        }
    }

    async fn simple_statement(&mut self, sql: &str) -> Result<(), EngineError> {
        let (rows, tag) = self.execute(sql, Vec::new()).await?;
        let columns = match read_command(sql) {
            SqlCommand::Engine(text) => self.database.core().committed().describe(&text)?,
            _ => rows.columns.iter().map(|name| (name.clone(), None)).collect(),
        };
        if !columns.is_empty() {
            self.put(&describe_row(&columns, &[]));
            self.put_rows(&rows, &columns, &[]);
        }
        self.put(&CommandComplete::new(tag));
        Ok(())
    }

    fn put_rows(
        &mut self,
        rows: &EngineRows,
        columns: &[(String, Option<String>)],
        formats: &[i16],
    ) {
        let types: Vec<u32> =
            columns.iter().map(|(name, declared)| column_type(name, declared.as_deref())).collect();
        for row in &rows.rows {
            self.put(&encode_row(row, &types, formats));
        }
    }

    async fn extended(&mut self, message: PgWireFrontendMessage) -> Result<(), EngineError> {
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
                self.put(&CloseComplete::new());
                Ok(())
            }
            _ => Err(EngineError { sqlstate: "0A000", text: "not supported".to_owned() }),
        }
    }

    fn parse(&mut self, parse: Parse) -> Result<(), EngineError> {
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            let text = format!("statement {name} exists");
            return Err(EngineError { sqlstate: "42P05", text });
        }
        if let SqlCommand::Engine(text) = read_command(&parse.query) {
            self.database.core().committed().describe(&text)?;
        }
        let types = parameter_types(&parse.query, &parse.type_oids);
        self.statements.insert(name, StoredStatement { sql: parse.query, types });
        self.put(&ParseComplete::new());
        Ok(())
    }

    fn stored(&self, name: Option<&String>) -> Result<StoredStatement, EngineError> {
        let name = name.map(String::as_str).unwrap_or_default();
        let stored = self.statements.get(name).cloned();
        stored.ok_or_else(|| EngineError {
            sqlstate: "26000",
            text: format!("statement {name} does not exist"),
        })
    }

    fn bind(&mut self, bind: &Bind) -> Result<(), EngineError> {
        let stored = self.stored(bind.statement_name.as_ref())?;
        let formats = &bind.parameter_format_codes;
        let parameters: Option<Vec<Value>> = bind
            .parameters
            .iter()
            .enumerate()
            .map(|(index, bytes)| {
                let oid = stored.types.get(index).copied().unwrap_or(25);
                decode_value(bytes.as_ref(), oid, format_at(formats, index))
            })
            .collect();
        let parameters = parameters.ok_or_else(|| EngineError {
            sqlstate: "22P03",
            text: "a parameter does not fit its type".to_owned(),
        })?;
        let portal = StoredPortal {
            sql: stored.sql,
            parameters,
            formats: bind.result_column_format_codes.clone(),
        };
        self.portals.insert(bind.portal_name.clone().unwrap_or_default(), portal);
        self.put(&BindComplete::new());
        Ok(())
    }

    fn columns_of(&self, sql: &str) -> Result<Vec<(String, Option<String>)>, EngineError> {
        match read_command(sql) {
            SqlCommand::Engine(text) => self.database.core().committed().describe(&text),
            _ => Ok(Vec::new()),
        }
    }

    fn describe(&mut self, describe: &Describe) -> Result<(), EngineError> {
        let (sql, formats) = if describe.target_type == b'S' {
            let stored = self.stored(describe.name.as_ref())?;
            self.put(&ParameterDescription::new(stored.types));
            (stored.sql, Vec::new())
        } else {
            let name = describe.name.clone().unwrap_or_default();
            let portal = self.portals.get(&name).ok_or_else(no_portal)?;
            (portal.sql.clone(), portal.formats.clone())
        };
        let columns = self.columns_of(&sql)?;
        match columns.is_empty() {
            true => self.put(&NoData::new()),
            false => self.put(&describe_row(&columns, &formats)),
        }
        Ok(())
    }

    async fn execute_portal(&mut self, execute: &Execute) -> Result<(), EngineError> {
        let name = execute.name.clone().unwrap_or_default();
        let portal = self.portals.remove(&name).ok_or_else(no_portal)?;
        let (rows, tag) = self.execute(&portal.sql, portal.parameters).await?;
        let columns = self.columns_of(&portal.sql)?;
        self.put_rows(&rows, &columns, &portal.formats);
        self.put(&CommandComplete::new(tag));
        Ok(())
    }

    /// Runs one statement and returns its rows and tag.
    async fn execute(
        &mut self,
        sql: &str,
        parameters: Vec<Value>,
    ) -> Result<(EngineRows, String), EngineError> {
        let command = read_command(sql);
        let ends = matches!(command, SqlCommand::Commit | SqlCommand::Rollback);
        if matches!(self.transaction, SessionTransaction::Failed) && !ends {
            let text = "the transaction failed; roll back".to_owned();
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
            SqlCommand::Ignored(word) => tag(word),
            SqlCommand::Function { name, arguments } => {
                let rows = self.contract_function(&name, &arguments).await?;
                Ok((rows, "SELECT 1".to_owned()))
            }
            SqlCommand::Engine(text) => self.run(LoggedStatement { sql: text, parameters }).await,
        }
    }

    fn commit(&mut self) -> Result<(), EngineError> {
        match std::mem::replace(&mut self.transaction, SessionTransaction::Idle) {
            SessionTransaction::Writing(open) => {
                let wrote = !open.statements.is_empty();
                self.database.core().commit(open.statements)?;
                if wrote {
                    self.database.counters.writes.fetch_add(1, Ordering::Relaxed);
                    self.database.changed.notify_waiters();
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    async fn run(
        &mut self,
        statement: LoggedStatement,
    ) -> Result<(EngineRows, String), EngineError> {
        let is_read = self.database.core().committed().is_read(&statement.sql)?;
        if !is_read && !self.database.core().accepts_writes() {
            return Err(read_only());
        }
        let is_primary = self.database.core().role() == DatabaseRole::Primary;
        if is_primary && matches!(self.transaction, SessionTransaction::Begun) {
            let writer = self.database.writer.clone().lock_owned().await;
            self.database.core().working().control("BEGIN")?;
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
        sleep(database.settings.service_time + database.faults.delay()).await;
        database.faults.answering().await;
        let verb = statement.sql.split_whitespace().next().unwrap_or_default().to_uppercase();
        let rows = match &mut self.transaction {
            SessionTransaction::Writing(open) => {
                let rows = database.core().working().run(&statement)?;
                if !is_read {
                    open.statements.push(statement);
                }
                rows
            }
            _ if is_read => {
                database.count_read();
                database.core().committed().run(&statement)?
            }
            _ => {
                let rows = database.core().write(statement)?;
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

    /// The functions by which the system reads and orders a database.
    async fn contract_function(
        &mut self,
        name: &str,
        arguments: &[String],
    ) -> Result<EngineRows, EngineError> {
        let bad = || EngineError { sqlstate: "22023", text: format!("bad arguments of {name}") };
        let number = |index: usize| -> Result<u64, EngineError> {
            arguments.get(index).and_then(|text| text.parse().ok()).ok_or_else(bad)
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
                let known = (number(0)?, position.ok_or_else(bad)?);
                self.wait_past(known, Duration::from_millis(number(2)?.min(1_000))).await;
            }
            "hawthornstack_fence" => {
                self.database.note_order(name);
                self.database.core().fence(number(0)?);
                self.database.changed.notify_waiters();
            }
            "hawthornstack_promote" => {
                let _writer = self.database.writer.clone().lock_owned().await;
                self.database.note_order(name);
                self.database.core().promote(number(0)?)?;
                self.database.set_following(None);
                self.database.changed.notify_waiters();
            }
            "hawthornstack_follow" => {
                let address =
                    arguments.get(1).and_then(|text| text.parse().ok()).ok_or_else(bad)?;
                let _writer = self.database.writer.clone().lock_owned().await;
                self.group.follow(&self.database, number(0)?, address)?;
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

    async fn wait_past(&self, known: (u64, LogPosition), wait: Duration) {
        let passed = async {
            loop {
                let changed = self.database.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                let status = self.database.core().status();
                if (status.term, status.position) != known {
                    return;
                }
                changed.await;
            }
        };
        let _ = timeout(wait, passed).await;
    }
}

fn no_portal() -> EngineError {
    EngineError { sqlstate: "34000", text: "the portal does not exist".to_owned() }
}
