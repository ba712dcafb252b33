use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hawthornstack_decisions::{
    entry_role::PreparedStatement, positions::LogPosition, primaries::InstanceStatus,
};
use snafu::Snafu;

use super::{CallerStatement, MalformedRequest, SessionPhase};

/// How urgent a forwarded statement is, by which its gateway orders it among
/// other statements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardUrgency {
    /// Priority of its route; 0 is the most urgent.
    pub priority: u32,
    /// Target time for its answer, counted from its arrival.
    pub objective: Duration,
    /// Time since its arrival.
    pub waited: Duration,
    /// Set on connections to a service, whose gateway chooses the database.
    pub read: Option<ReadTerms>,
    /// Workspace whose connection the statement needs, if its route needs one.
    pub workspace: Option<Arc<str>>,
}

/// What a gateway must know to choose the database for a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTerms {
    /// Maximum age of the data that the read sees.
    pub max_age: Duration,
    /// Time left for the answer.
    pub time_left: Duration,
}

/// A command that is sent to a database.
#[derive(Debug, Clone, Copy)]
pub enum UpstreamCommand<'a> {
    /// Opens the connection; the database refuses it if its own service or id
    /// differs.
    Open {
        /// Service to which the database must belong.
        service: &'a str,
        /// Workspace to which the connection belongs, or else the name of the host that
        /// connects.
        client: &'a str,
        /// Id that the database must have; `None` at a gateway that is to choose a
        /// database of the service for each read.
        instance: Option<&'a str>,
    },
    /// A caller's statement, as the caller sent it.
    Statement {
        /// Id that the caller gave the statement.
        id: &'a [u8],
        /// Log position that the database must have applied, if any.
        after: Option<LogPosition>,
        /// Text of the statement.
        text: &'a [u8],
    },
    /// A caller's prepared statement, by its name on this connection.
    Execute {
        /// Id that the caller gave the statement.
        id: &'a [u8],
        /// Log position that the database must have applied, if any.
        after: Option<LogPosition>,
        /// Name of the prepared statement on this connection.
        name: &'a str,
        /// Arguments, as the caller sent them.
        arguments: &'a [u8],
    },
    /// Begins a transaction.
    Begin {
        /// The transaction only reads.
        read_only: bool,
        /// Log position that the database must have applied, if any.
        after: Option<LogPosition>,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Clears the session values and prepared statements of the connection.
    Reset,
    /// Sets a session value.
    SetValue {
        /// Name of the value.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Prepares a statement.
    Prepare {
        /// Name of the prepared statement on this connection.
        name: &'a str,
        /// Its text without arguments, and whether it writes.
        prepared: &'a PreparedStatement,
    },
    /// Asks for the database's role, term and log position.
    Status,
    /// Only to a gateway: urgency of the next statement. Not answered.
    Urgency(&'a ForwardUrgency),
}

/// A command that another entry host forwards for one of its callers, as the
/// gateway decodes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardedCommand {
    /// Opens the connection, for one database or for reads of a service.
    Open {
        /// Service to which the database must belong.
        service: Arc<str>,
        /// Id that the database must have; `None` for reads at any database.
        instance: Option<Arc<str>>,
    },
    /// A caller's statement.
    Statement {
        /// Log position that the database must have applied, if any.
        after: Option<LogPosition>,
        /// The statement; names of prepared statements are those of this
        /// connection.
        statement: CallerStatement,
    },
    /// Begins a transaction.
    Begin {
        /// The transaction only reads.
        read_only: bool,
        /// Log position that the database must have applied, if any.
        after: Option<LogPosition>,
    },
    /// Clears the session values and prepared statements of the connection.
    Reset,
    /// Urgency of the next statement; not answered.
    Urgency(ForwardUrgency),
}

/// Error code that a database, or the gateway in its place, sends instead of a
/// result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamCode {
    /// All slots and places are taken; the statement did not run.
    Busy,
    /// No prepared statement has this name; the statement did not run.
    UnknownStatement,
    /// The required log position is not applied yet; the statement did not run.
    Lagging,
    /// The database is not a primary; the statement did not run.
    ReadOnly,
    /// The database has another service or id; the statement did not run.
    Misrouted,
    /// The database has too many connections to open another one.
    ConnectionLimit,
    /// The statement ran and failed.
    Failed,
    /// Any other code; callers get it unchanged.
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
    /// The statement succeeded.
    Done,
    /// The statement gave no result.
    Refused(UpstreamCode),
    /// End of the answer.
    Ready {
        /// Transaction state of the connection.
        phase: SessionPhase,
        /// Position of the database's log, if it was sent.
        position: Option<LogPosition>,
    },
}

/// A message of a database that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the database sent {line:?}"))]
pub struct MalformedReply {
    /// The beginning of the message.
    pub line: Arc<str>,
}

/// The protocol between a host and databases. Rows, results and refusals are
/// passed on to callers unchanged.
pub trait UpstreamProtocol {
    /// Appends a command.
    fn encode_command(&self, out: &mut Vec<u8>, command: UpstreamCommand<'_>);

    /// Decodes a command that another entry host encoded with
    /// [`encode_command`](Self::encode_command).
    ///
    /// # Errors
    /// `MalformedRequest` says what is wrong with it.
    fn decode_forwarded(&self, line: &Bytes) -> Result<ForwardedCommand, MalformedRequest>;

    /// Appends a refusal for another entry host: the statement did not run.
    fn encode_forward_refusal(&self, out: &mut Vec<u8>, code: UpstreamCode);

    /// Decodes one message.
    ///
    /// # Errors
    /// `MalformedReply` with the beginning of the message.
    fn decode_reply(&self, line: &[u8]) -> Result<UpstreamReply, MalformedReply>;

    /// Decodes the row that answers [`UpstreamCommand::Status`].
    ///
    /// # Errors
    /// `MalformedReply` with the beginning of the row.
    fn decode_status(&self, row: &[u8]) -> Result<InstanceStatus, MalformedReply>;
}
