use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hawthornstack_decisions::{
    entry_role::PreparedStatement, positions::LogPosition, primaries::InstanceStatus,
};
use snafu::Snafu;

use super::{CallerStatement, MalformedRequest, SessionPhase};

/// How urgent a forwarded statement is, so that its home can order it among
/// others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardUrgency {
    /// 0 is the most urgent.
    pub priority: u32,
    /// Time within which its answer is best given.
    pub objective: Duration,
    /// Time for which it has waited.
    pub waited: Duration,
}

/// What is sent to a database.
#[derive(Debug, Clone, Copy)]
pub enum UpstreamCommand<'a> {
    /// Opens the connection; the database refuses it unless it is the one that
    /// is meant.
    Open {
        /// Service that it must belong to.
        service: &'a str,
        /// Who connects.
        caller: &'a str,
        /// Id that it must have.
        instance: &'a str,
    },
    /// A caller's statement, unchanged.
    Statement {
        /// The caller's id.
        id: &'a [u8],
        /// Position that the database must hold.
        after: Option<LogPosition>,
        /// Text.
        text: &'a [u8],
    },
    /// A caller's prepared statement under the connection's name.
    Execute {
        /// The caller's id.
        id: &'a [u8],
        /// Position that the database must hold.
        after: Option<LogPosition>,
        /// Name on this connection.
        name: &'a str,
        /// Arguments, unchanged.
        arguments: &'a [u8],
    },
    /// Begins a transaction.
    Begin {
        /// It only reads.
        read_only: bool,
        /// Position that the database must hold.
        after: Option<LogPosition>,
    },
    /// Rolls back.
    Rollback,
    /// Clears values and prepared statements.
    Reset,
    /// Sets a session value.
    SetValue {
        /// Name.
        name: &'a str,
        /// Value.
        value: &'a str,
    },
    /// Prepares a statement.
    Prepare {
        /// Name on this connection.
        name: &'a str,
        /// What it runs.
        prepared: &'a PreparedStatement,
    },
    /// Asks for role, term and position.
    Status,
    /// To a home: how urgent the statement after this is. Has no answer.
    Urgency(ForwardUrgency),
}

/// What another entry host sends for one of its callers, as its home reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardedCommand {
    /// Opens the connection on one database.
    Open {
        /// Service that it must belong to.
        service: Arc<str>,
        /// Id that it must have.
        instance: Arc<str>,
    },
    /// A caller's statement.
    Statement {
        /// Position that the database must hold.
        after: Option<LogPosition>,
        /// The statement; prepared names are the connection's own.
        statement: CallerStatement,
    },
    /// Begins a transaction.
    Begin {
        /// It only reads.
        read_only: bool,
        /// Position that the database must hold.
        after: Option<LogPosition>,
    },
    /// Clears values and prepared statements.
    Reset,
    /// How urgent the next statement is; not answered.
    Urgency(ForwardUrgency),
}

/// Why a database did not give a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamCode {
    /// All slots and places are taken; it did not run.
    Busy,
    /// The prepared name is not known; it did not run.
    UnknownStatement,
    /// The position is not held; it did not run.
    Lagging,
    /// The database is no primary; it did not run.
    ReadOnly,
    /// The database is another one; it did not run.
    Misrouted,
    /// Too many connections.
    ConnectionLimit,
    /// It ran and failed.
    Failed,
    /// Any other code; callers get it as it is.
    Other,
}

impl UpstreamCode {
    /// The code's name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::UnknownStatement => "unknown statement",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read only",
            Self::Misrouted => "misrouted",
            Self::ConnectionLimit => "connection limit",
            Self::Failed => "failed",
            Self::Other => "refused by the database",
        }
    }
}

/// One message of a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamReply {
    /// A row of the result.
    Row,
    /// The statement ran to its end.
    Done,
    /// The statement gave no result.
    Refused(UpstreamCode),
    /// End of the answer.
    Ready {
        /// State of the connection.
        phase: SessionPhase,
        /// Position of the database's log.
        position: Option<LogPosition>,
    },
}

/// A message of a database that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the database sent {line:?}"))]
pub struct MalformedReply {
    /// The beginning of the message.
    pub line: Arc<str>,
}

/// The protocol that databases speak. Rows, results and refusals are passed on
/// to callers as they came.
pub trait UpstreamProtocol {
    /// Appends a command.
    fn encode_command(&self, out: &mut Vec<u8>, command: UpstreamCommand<'_>);

    /// Reads a command that another entry host wrote with
    /// [`encode_command`](Self::encode_command).
    ///
    /// # Errors
    /// `MalformedRequest` says what is wrong with it.
    fn decode_forwarded(&self, line: &Bytes) -> Result<ForwardedCommand, MalformedRequest>;

    /// Appends a refusal to another entry host; nothing ran.
    fn encode_forward_refusal(&self, out: &mut Vec<u8>, code: UpstreamCode);

    /// Reads one message.
    ///
    /// # Errors
    /// `MalformedReply` with the message.
    fn decode_reply(&self, line: &[u8]) -> Result<UpstreamReply, MalformedReply>;

    /// Reads the row that answers [`UpstreamCommand::Status`].
    ///
    /// # Errors
    /// `MalformedReply` with the row.
    fn decode_status(&self, row: &[u8]) -> Result<InstanceStatus, MalformedReply>;
}
