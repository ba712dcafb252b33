use std::sync::Arc;

use bytes::Bytes;
use hawthornstack_decisions::{entry_role::PreparedStatement, positions::LogPosition};
use snafu::Snafu;

/// What a caller's statement does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementAction {
    /// Begins a transaction.
    Begin {
        /// It only reads.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads.
    Read,
    /// Writes.
    Write,
    /// Runs a prepared statement.
    Execute {
        /// The caller's name of it.
        name: Arc<str>,
        /// Its arguments, unchanged.
        arguments: Bytes,
    },
    /// Sets a session value.
    SetValue {
        /// Name of the value.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Prepares a statement.
    Prepare {
        /// The caller's name of it.
        name: Arc<str>,
        /// What it runs.
        prepared: PreparedStatement,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The caller's name of it.
        name: Arc<str>,
    },
}

impl StatementAction {
    /// The action's name in logs.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Begin { .. } => "begin",
            Self::Commit => "commit",
            Self::Rollback => "rollback",
            Self::Read => "read",
            Self::Write => "write",
            Self::Execute { .. } => "execute",
            Self::SetValue { .. } => "set",
            Self::Prepare { .. } => "prepare",
            Self::Deallocate { .. } => "deallocate",
        }
    }
}

/// One statement of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerStatement {
    /// Id that the caller gave it; passed on with it.
    pub id: Bytes,
    /// Its text, unchanged.
    pub text: Bytes,
    /// What it does.
    pub action: StatementAction,
}

/// One message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerRequest {
    /// Opens the session on a database.
    Connect {
        /// Name of the database.
        database: Arc<str>,
    },
    /// Runs a statement.
    Statement(CallerStatement),
    /// Ends the session.
    Terminate,
}

/// A message that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct MalformedRequest {
    /// What is wrong with it.
    pub reason: &'static str,
}

/// Where a session stands, as callers and databases tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionPhase {
    /// No transaction is open.
    Idle,
    /// In a transaction.
    InTransaction,
    /// In a transaction that failed.
    Failed,
}

/// What the daemon itself tells a caller instead of a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerRefusal {
    /// Nothing ran; it may be tried again.
    NotRun,
    /// The transaction is rolled back; nothing of it is kept.
    Aborted,
    /// It may have run.
    InDoubt,
    /// No answer in time; it may have run.
    TimedOut,
    /// No route has the database's name.
    UnknownDatabase,
    /// The message makes no sense here.
    Malformed,
    /// The session has no prepared statement of that name.
    UnknownStatement,
}

impl CallerRefusal {
    /// The refusal's name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not run",
            Self::Aborted => "aborted",
            Self::InDoubt => "in doubt",
            Self::TimedOut => "timed out",
            Self::UnknownDatabase => "unknown database",
            Self::Malformed => "malformed",
            Self::UnknownStatement => "unknown statement",
        }
    }
}

/// The protocol that callers speak: one message a line, answered in order.
pub trait CallerProtocol {
    /// Reads one message.
    ///
    /// # Errors
    /// `MalformedRequest` says what is wrong with it.
    fn decode_request(&self, line: &Bytes) -> Result<CallerRequest, MalformedRequest>;

    /// Appends that a statement without a result was carried out.
    fn encode_done(&self, out: &mut Vec<u8>);

    /// Appends a refusal with a hint for people.
    fn encode_refusal(&self, out: &mut Vec<u8>, refusal: CallerRefusal, hint: &str);

    /// Appends the end of an answer.
    fn encode_ready(&self, out: &mut Vec<u8>, phase: SessionPhase, position: Option<LogPosition>);
}
