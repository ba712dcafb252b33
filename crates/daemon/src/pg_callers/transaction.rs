use std::sync::Arc;

use hawthornstack_decisions::identity::{DatabaseName, HostId};

use crate::{pg_host::RequestHandle, pg_upstreams::UpstreamConnection};

/// Peer of a transaction's connection.
#[derive(Debug)]
pub(super) enum TransactionTarget {
    /// A database; this host granted the connection.
    Database { handle: RequestHandle, database: DatabaseName },
    /// A gateway host of the group.
    Gateway(HostId),
}

/// Transaction that holds a connection.
#[derive(Debug)]
pub(super) struct OpenTransaction {
    pub(super) target: TransactionTarget,
    pub(super) connection: UpstreamConnection,
    pub(super) read_only: bool,
    /// Status byte: `T` while the transaction is active, `E` after an error.
    pub(super) status: u8,
}

/// Transaction state of a caller's connection.
#[derive(Debug)]
pub(super) enum TransactionState {
    /// No transaction is open.
    Idle,
    /// `BEGIN` was answered; no connection is used before the next statement.
    Begun {
        /// The caller's `BEGIN` statement.
        sql: Arc<str>,
        /// The statement opens a read-only transaction.
        read_only: bool,
    },
    /// The transaction holds a connection.
    Open(Box<OpenTransaction>),
    /// The connection was lost or not available; statements for a database are
    /// refused until the transaction ends.
    Failed,
}

impl TransactionState {
    /// Status byte for `ReadyForQuery`.
    pub(super) fn status(&self) -> u8 {
        match self {
            Self::Idle => b'I',
            Self::Begun { .. } => b'T',
            Self::Open(open) => open.status,
            Self::Failed => b'E',
        }
    }
}
