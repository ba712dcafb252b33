use std::sync::Arc;

use hawthornstack_decisions::identity::{DatabaseName, HostId};

use crate::{pg_host::RequestHandle, pg_upstreams::UpstreamConnection};

/// Where a transaction's connection leads.
#[derive(Debug)]
pub(super) enum TransactionPlace {
    /// To a database, by leave of this host.
    Database { handle: RequestHandle, database: DatabaseName },
    /// To a home of the group.
    Home(HostId),
}

/// A transaction that holds a connection.
#[derive(Debug)]
pub(super) struct OpenTransaction {
    pub(super) place: TransactionPlace,
    pub(super) connection: UpstreamConnection,
    pub(super) read_only: bool,
    /// `T` while it goes on, `E` after an error.
    pub(super) status: u8,
}

/// Where a caller stands with transactions.
#[derive(Debug)]
pub(super) enum TransactionState {
    /// None is open.
    Idle,
    /// `BEGIN` was answered; no database is used before the next statement.
    Begun {
        /// The caller's own `BEGIN`.
        sql: Arc<str>,
        /// It was opened as read only.
        read_only: bool,
    },
    /// A connection is held.
    Open(Box<OpenTransaction>),
    /// Its connection was lost; only its end is accepted.
    Failed,
}

impl TransactionState {
    /// The status byte that the caller is told.
    pub(super) fn status(&self) -> u8 {
        match self {
            Self::Idle => b'I',
            Self::Begun { .. } => b'T',
            Self::Open(open) => open.status,
            Self::Failed => b'E',
        }
    }
}
