use bytes::BytesMut;
use hawthornstack_decisions::{outcomes::ResultCode, statements::StatementClass};
use pgwire::messages::{
    PgWireFrontendMessage,
    extendedquery::{Bind, Close, Describe, Execute, Parse, Sync},
};

use super::{
    answer_writer::AnswerWriter,
    caller_state::{CallerState, PreparedStatement},
};
use crate::pg_upstreams::{ReplySegment, UpstreamConnection, UpstreamError, encode_frontend};

/// Target type of a statement in `Describe` and `Close`.
const STATEMENT_TARGET: u8 = b'S';

/// Message of a batch, resolved against the caller's prepared statements.
#[derive(Debug)]
pub(super) enum BatchItem {
    Parse(PreparedStatement),
    Bind(Bind, PreparedStatement),
    DescribeStatement(PreparedStatement),
    Execute(Execute, StatementClass),
    DescribePortal(Describe, StatementClass),
    ClosePortal(Close),
    CloseStatement,
}

/// How the answer to one message is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyHandling {
    /// Passes the database's answer on to the caller.
    Forward,
    /// Discards the database's answer except errors and notices, because the
    /// proxy added the message.
    Discard,
    /// Answers `ParseComplete` for a message that the database did not get.
    ParseComplete,
    /// Answers `CloseComplete` for a message that the database did not get.
    CloseComplete,
}

/// Encoded messages of a batch and how their answers are handled.
#[derive(Debug, Default)]
pub(super) struct BatchRequest {
    pub(super) bytes: BytesMut,
    steps: Vec<BatchStep>,
}

#[derive(Debug)]
struct BatchStep {
    reply: ReplyHandling,
    /// Statement that is prepared on the connection once this step is done.
    prepares: Option<Box<str>>,
    /// Types of the messages that end the step's answer; empty if nothing is sent.
    final_types: &'static [u8],
}

/// Messages of the extended protocol up to a `Sync`.
#[derive(Debug, Default)]
pub(super) struct ExtendedBatch {
    items: Vec<BatchItem>,
    portals: Vec<Portal>,
}

#[derive(Debug)]
struct Portal {
    name: Option<String>,
    class: StatementClass,
}

/// Error for a message that cannot be part of a batch.
#[derive(Debug)]
pub(super) struct BatchRefusal {
    pub(super) code: ResultCode,
    pub(super) text: String,
}

fn refuse_unknown(kind: &str, name: Option<&str>) -> BatchRefusal {
    BatchRefusal {
        code: ResultCode::ProtocolViolation,
        text: format!("{kind} {:?} does not exist", name.unwrap_or_default()),
    }
}

impl ExtendedBatch {
    /// Adds a message and updates the caller's prepared statements at once.
    pub(super) fn add(
        &mut self,
        message: PgWireFrontendMessage,
        state: &mut CallerState,
    ) -> Result<(), BatchRefusal> {
        match message {
            PgWireFrontendMessage::Parse(parse) => self.add_parse(parse, state),
            PgWireFrontendMessage::Bind(bind) => self.add_bind(bind, state),
            PgWireFrontendMessage::Describe(describe) => self.add_describe(describe, state),
            PgWireFrontendMessage::Execute(execute) => self.add_execute(execute),
            PgWireFrontendMessage::Close(close) => {
                self.add_close(close, state);
                Ok(())
            }
            _ => Err(BatchRefusal {
                code: ResultCode::NotSupported,
                text: "Flush is not supported; send Sync".to_owned(),
            }),
        }
    }

    fn add_parse(&mut self, parse: Parse, state: &mut CallerState) -> Result<(), BatchRefusal> {
        let class = hawthornstack_decisions::statements::classify(&parse.query);
        if class == StatementClass::Unsupported {
            let code = ResultCode::NotSupported;
            return Err(BatchRefusal { code, text: code.text().to_owned() });
        }
        let name = parse.name.unwrap_or_default();
        let key = match name.is_empty() {
            true => Box::from(""),
            false => statement_key(&parse.query, &parse.type_oids),
        };
        let statement =
            PreparedStatement { query: parse.query.into(), type_oids: parse.type_oids, class, key };
        state.prepared.insert(name, statement.clone());
        self.items.push(BatchItem::Parse(statement));
        Ok(())
    }

    fn add_bind(&mut self, bind: Bind, state: &CallerState) -> Result<(), BatchRefusal> {
        let name = bind.statement_name.as_deref().unwrap_or_default();
        let statement = state.prepared.get(name).cloned();
        let statement =
            statement.ok_or_else(|| refuse_unknown("statement", bind.statement_name.as_deref()))?;
        let class = statement.class.clone();
        self.portals.push(Portal { name: bind.portal_name.clone(), class });
        self.items.push(BatchItem::Bind(bind, statement));
        Ok(())
    }

    fn add_describe(
        &mut self,
        describe: Describe,
        state: &CallerState,
    ) -> Result<(), BatchRefusal> {
        if describe.target_type != STATEMENT_TARGET {
            let class = self.portal_class(describe.name.as_ref());
            self.items.push(BatchItem::DescribePortal(describe, class));
            return Ok(());
        }
        let name = describe.name.as_deref().unwrap_or_default();
        let statement = state.prepared.get(name).cloned();
        let statement =
            statement.ok_or_else(|| refuse_unknown("statement", describe.name.as_deref()))?;
        self.items.push(BatchItem::DescribeStatement(statement));
        Ok(())
    }

    fn add_execute(&mut self, execute: Execute) -> Result<(), BatchRefusal> {
        let class = self.portal_class(execute.name.as_ref());
        self.items.push(BatchItem::Execute(execute, class));
        Ok(())
    }

    /// Class of a portal's statement. A portal of an earlier batch exists only
    /// inside a transaction, where the class no longer matters.
    fn portal_class(&self, name: Option<&String>) -> StatementClass {
        let portal = self.portals.iter().rev().find(|portal| portal.name.as_ref() == name);
        portal.map_or(StatementClass::Write, |portal| portal.class.clone())
    }

    fn add_close(&mut self, close: Close, state: &mut CallerState) {
        if close.target_type == STATEMENT_TARGET {
            state.prepared.remove(close.name.as_deref().unwrap_or_default());
            self.items.push(BatchItem::CloseStatement);
        } else {
            self.items.push(BatchItem::ClosePortal(close));
        }
    }

    /// Splits the batch into runs of consecutive items that either the proxy
    /// answers itself or a database executes.
    pub(super) fn split_runs(&self) -> impl Iterator<Item = &[BatchItem]> {
        self.items.chunk_by(|a, b| a.is_local() == b.is_local())
    }
}

/// True if no item executes a statement other than a read.
pub(super) fn is_read_only(items: &[BatchItem]) -> bool {
    items.iter().all(|item| match item {
        BatchItem::Execute(_, class) => {
            matches!(class, StatementClass::Read | StatementClass::Empty)
        }
        _ => true,
    })
}

/// Text of the last statement among the items.
pub(super) fn last_query(items: &[BatchItem]) -> Option<&str> {
    items.iter().rev().find_map(|item| match item {
        BatchItem::Bind(_, statement) | BatchItem::Parse(statement) => Some(&*statement.query),
        _ => None,
    })
}

impl BatchItem {
    /// True if the item belongs to a statement that the proxy answers itself.
    pub(super) fn is_local(&self) -> bool {
        match self {
            Self::Parse(statement)
            | Self::Bind(_, statement)
            | Self::DescribeStatement(statement) => is_local(&statement.class),
            Self::Execute(_, class) | Self::DescribePortal(_, class) => is_local(class),
            Self::ClosePortal(_) | Self::CloseStatement => false,
        }
    }
}

impl BatchRequest {
    /// Encodes items for a connection, and prepares the statements that it lacks.
    pub(super) fn encode(
        items: &[BatchItem],
        connection: &UpstreamConnection,
    ) -> Result<Self, UpstreamError> {
        let mut request = Self::default();
        let mut prepared_here: Vec<&str> = Vec::new();
        for item in items {
            match item {
                BatchItem::Parse(statement) => {
                    let known = connection.prepared.contains(&statement.key);
                    if !statement.key.is_empty()
                        && (known || prepared_here.contains(&&*statement.key))
                    {
                        request.add_local_answer(ReplyHandling::ParseComplete);
                    } else {
                        request.add_parse(statement, ReplyHandling::Forward)?;
                        prepared_here.push(&statement.key);
                    }
                }
                BatchItem::Bind(bind, statement) => {
                    request.ensure_prepared(connection, &mut prepared_here, statement)?;
                    let bind = Bind::new(
                        bind.portal_name.clone(),
                        upstream_name(statement),
                        bind.parameter_format_codes.clone(),
                        bind.parameters.clone(),
                        bind.result_column_format_codes.clone(),
                    );
                    request.add_message(&PgWireFrontendMessage::Bind(bind), b"2")?;
                }
                BatchItem::DescribeStatement(statement) => {
                    request.ensure_prepared(connection, &mut prepared_here, statement)?;
                    let describe = Describe::new(STATEMENT_TARGET, upstream_name(statement));
                    request.add_message(&PgWireFrontendMessage::Describe(describe), b"Tn")?;
                }
                BatchItem::DescribePortal(describe, _) => {
                    let describe = Describe::new(describe.target_type, describe.name.clone());
                    request.add_message(&PgWireFrontendMessage::Describe(describe), b"Tn")?;
                }
                BatchItem::Execute(execute, _) => {
                    let execute = Execute::new(execute.name.clone(), execute.max_rows);
                    request.add_message(&PgWireFrontendMessage::Execute(execute), b"CIs")?;
                }
                BatchItem::ClosePortal(close) => {
                    let close = Close::new(close.target_type, close.name.clone());
                    request.add_message(&PgWireFrontendMessage::Close(close), b"3")?;
                }
                BatchItem::CloseStatement => request.add_local_answer(ReplyHandling::CloseComplete),
            }
        }
        encode_frontend(&PgWireFrontendMessage::Sync(Sync::new()), &mut request.bytes)?;
        Ok(request)
    }
}

/// True if the proxy answers statements of this class itself.
pub(super) fn is_local(class: &StatementClass) -> bool {
    matches!(
        class,
        StatementClass::Begin { .. }
            | StatementClass::Commit
            | StatementClass::Rollback
            | StatementClass::Set(_)
            | StatementClass::Show(_)
    )
}

fn upstream_name(statement: &PreparedStatement) -> Option<String> {
    (!statement.key.is_empty()).then(|| statement.key.to_string())
}

fn statement_key(query: &str, types: &[u32]) -> Box<str> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(query.as_bytes());
    for oid in types {
        hasher.update(&oid.to_be_bytes());
    }
    Box::from(format!("hs_{}", &hasher.finalize().to_hex()[..24]))
}

impl BatchRequest {
    fn add_message(
        &mut self,
        message: &PgWireFrontendMessage,
        final_types: &'static [u8],
    ) -> Result<(), UpstreamError> {
        encode_frontend(message, &mut self.bytes)?;
        self.steps.push(BatchStep { reply: ReplyHandling::Forward, prepares: None, final_types });
        Ok(())
    }

    fn add_local_answer(&mut self, reply: ReplyHandling) {
        self.steps.push(BatchStep { reply, prepares: None, final_types: b"" });
    }

    fn add_parse(
        &mut self,
        statement: &PreparedStatement,
        reply: ReplyHandling,
    ) -> Result<(), UpstreamError> {
        let parse = Parse::new(
            upstream_name(statement),
            statement.query.to_string(),
            statement.type_oids.clone(),
        );
        encode_frontend(&PgWireFrontendMessage::Parse(parse), &mut self.bytes)?;
        let prepares = (!statement.key.is_empty()).then(|| statement.key.clone());
        self.steps.push(BatchStep { reply, prepares, final_types: b"1" });
        Ok(())
    }

    fn ensure_prepared<'a>(
        &mut self,
        connection: &UpstreamConnection,
        prepared_here: &mut Vec<&'a str>,
        statement: &'a PreparedStatement,
    ) -> Result<(), UpstreamError> {
        let known = !statement.key.is_empty() && connection.prepared.contains(&statement.key);
        if known || prepared_here.contains(&&*statement.key) {
            return Ok(());
        }
        prepared_here.push(&statement.key);
        self.add_parse(statement, ReplyHandling::Discard)
    }

    /// Writes the answers in the caller's order, without `ReadyForQuery` and
    /// `ParameterStatus`, and records the statements that are now prepared on
    /// the connection.
    pub(super) fn relay_answer(
        &self,
        segment: &ReplySegment,
        connection: &mut UpstreamConnection,
        answer: &mut AnswerWriter,
    ) {
        let mut steps = self.steps.iter().peekable();
        for (kind, frame) in segment.iter() {
            while let Some(step) = steps.next_if(|step| step.final_types.is_empty()) {
                write_local_answer(step.reply, answer);
            }
            if matches!(kind, b'Z' | b'S') {
                continue;
            }
            let discarded = steps.peek().is_some_and(|step| step.reply == ReplyHandling::Discard);
            if !discarded || matches!(kind, b'E' | b'N') {
                answer.write_frame(frame);
            }
            if let Some(step) = steps.next_if(|step| step.final_types.contains(&kind))
                && let Some(key) = &step.prepares
            {
                connection.prepared.insert(key.clone());
            }
        }
        if !segment.failed {
            for step in steps {
                write_local_answer(step.reply, answer);
            }
        }
    }
}

fn write_local_answer(reply: ReplyHandling, answer: &mut AnswerWriter) {
    match reply {
        ReplyHandling::ParseComplete => answer.write_parse_complete(),
        ReplyHandling::CloseComplete => answer.write_close_complete(),
        ReplyHandling::Forward | ReplyHandling::Discard => {}
    }
}
