use std::sync::Arc;

use bytes::Bytes;
use hawthornstack_decisions::{
    entry_role::{PreparedStatement, SessionState},
    identity::CallerKey,
    positions::LogPosition,
};
use snafu::Snafu;

/// What a caller's statement does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementAction {
    /// Begins a transaction.
    Begin {
        /// The transaction only reads.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// A statement that only reads.
    Read,
    /// A statement that writes.
    Write,
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for it.
        name: Arc<str>,
        /// Its arguments, as the caller sent them.
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
        /// The caller's name for it.
        name: Arc<str>,
        /// Its text without arguments, and whether it writes.
        prepared: PreparedStatement,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// The caller's name for it.
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
    /// Id that the caller gave it; sent with it to the database.
    pub id: Bytes,
    /// Its text, as the caller sent it.
    pub text: Bytes,
    /// What it does.
    pub action: StatementAction,
}

impl CallerStatement {
    /// True if the statement, or the prepared statement that it executes, writes.
    pub fn writes(&self, session: &SessionState) -> bool {
        match &self.action {
            StatementAction::Write => true,
            StatementAction::Execute { name, .. } => {
                session.prepared.get(name).is_some_and(|prepared| prepared.writes)
            }
            _ => false,
        }
    }
}

/// One message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerRequest {
    /// Opens the session on a database.
    Connect {
        /// Name of the database.
        database: Arc<str>,
        /// The second field, which is the caller's key where keys are needed.
        key: Option<CallerKey>,
    },
    /// Runs a statement.
    Statement(CallerStatement),
    /// Ends the session.
    Terminate,
}

/// A message of a caller or another entry host that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct MalformedRequest {
    /// What is wrong with it.
    pub reason: &'static str,
}

/// Transaction state of a session or of a connection, as it is sent at the end
/// of each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionPhase {
    /// No transaction is open.
    Idle,
    /// In a transaction.
    InTransaction,
    /// In a transaction that failed.
    Failed,
}

/// Error that the host itself sends to a caller instead of a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerRefusal {
    /// The statement did not run; the caller may retry it.
    NotRun,
    /// The transaction is rolled back, with all of its statements.
    Aborted,
    /// The outcome is unknown: the statement may have run.
    InDoubt,
    /// No answer in time; the statement may have run.
    TimedOut,
    /// No route has the name of the database.
    UnknownDatabase,
    /// No workspace has the caller's key.
    UnknownKey,
    /// The message cannot be decoded, or is not allowed in the session's state.
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
            Self::UnknownKey => "unknown key",
            Self::Malformed => "malformed",
            Self::UnknownStatement => "unknown statement",
        }
    }
}

/// The protocol between callers and a host: one message per line, answered in
/// order.
pub trait CallerProtocol {
    /// Decodes one message.
    ///
    /// # Errors
    /// `MalformedRequest` says what is wrong with it.
    fn decode_request(&self, line: &Bytes) -> Result<CallerRequest, MalformedRequest>;

    /// Appends the result of a statement that succeeded and returns no rows.
    fn encode_done(&self, out: &mut Vec<u8>);

    /// Appends a refusal with a human-readable hint.
    fn encode_refusal(&self, out: &mut Vec<u8>, refusal: CallerRefusal, hint: &str);

    /// Appends the end of an answer, with the session's transaction state and the
    /// log position of its last answer, if it has one.
    fn encode_ready(&self, out: &mut Vec<u8>, phase: SessionPhase, position: Option<LogPosition>);
}
