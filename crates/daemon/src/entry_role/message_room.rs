use hawthornstack_decisions::{entry_role::ConnectionState, positions::LogPosition};

use crate::{
    edges::{CallerStatement, StatementAction, UpstreamCommand, UpstreamProtocol},
    links::MAX_LINE_BYTES,
};

/// Bytes by which a statement may grow on its way to a database, rounded up: a position of
/// two numbers with 20 digits each, and a name for a prepared statement.
const MAX_GROWTH_BYTES: usize = 64;
/// Longest message with its CR LF, in bytes.
const MAX_MESSAGE_BYTES: usize = MAX_LINE_BYTES + 2;
/// The position that takes most space in a message.
const LONGEST_POSITION: LogPosition = LogPosition::new(u64::MAX, u64::MAX);

/// What the message that carries a statement to a database, directly or through a gateway,
/// has room for below the protocol's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageRoom {
    /// Everything.
    Any,
    /// Everything but a position that the database must have applied; only the primary
    /// needs none.
    NoPosition,
    /// Not even the statement with the connection's names.
    TooLong,
}

impl MessageRoom {
    /// The room that is left beside a caller's statement.
    pub(super) fn beside(statement: &CallerStatement, protocol: &dyn UpstreamProtocol) -> Self {
        if statement.id.len() + statement.text.len() + MAX_GROWTH_BYTES <= MAX_LINE_BYTES {
            return Self::Any;
        }
        let fits = |after| longest_message(statement, protocol, after) <= MAX_MESSAGE_BYTES;
        match (fits(Some(LONGEST_POSITION)), fits(None)) {
            (true, _) => Self::Any,
            (false, true) => Self::NoPosition,
            (false, false) => Self::TooLong,
        }
    }
}

/// Length in bytes of the message that carries the statement, with the longest name that a
/// connection gives a prepared statement.
fn longest_message(
    statement: &CallerStatement,
    protocol: &dyn UpstreamProtocol,
    after: Option<LogPosition>,
) -> usize {
    let name = &*ConnectionState::longest_name();
    let id = &statement.id;
    let command = match &statement.action {
        StatementAction::Execute { arguments, .. } => {
            UpstreamCommand::Execute { id, after, name, arguments }
        }
        StatementAction::Prepare { prepared, .. } => UpstreamCommand::Prepare { name, prepared },
        StatementAction::SetValue { name, value } => UpstreamCommand::SetValue { name, value },
        _ => UpstreamCommand::Statement { id, after, text: &statement.text },
    };
    let mut out = Vec::with_capacity(MAX_MESSAGE_BYTES + MAX_GROWTH_BYTES);
    protocol.encode_command(&mut out, command);
    out.len()
}
