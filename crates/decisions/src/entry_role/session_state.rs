use std::{collections::BTreeMap, sync::Arc};

use crate::positions::LogPosition;

/// What a prepared statement runs, without its arguments.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreparedStatement {
    /// It writes.
    pub writes: bool,
    /// Its text.
    pub shape: Arc<str>,
}

/// Where a session's transaction stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionPhase {
    /// No transaction is open.
    Idle,
    /// Begun by the caller, at no database yet.
    Begun {
        /// It only reads, and may run at a replica.
        read_only: bool,
    },
    /// It runs on a connection of its own.
    Pinned {
        /// It only reads.
        read_only: bool,
    },
    /// It failed, and waits to be ended.
    Failed,
}

/// What a caller set up in its session; lives as long as its connection.
#[derive(Debug, Clone)]
pub struct SessionState {
    /// Session values.
    pub values: BTreeMap<Arc<str>, Arc<str>>,
    /// Prepared statements by the caller's names.
    pub prepared: BTreeMap<Arc<str>, PreparedStatement>,
    /// Position of the session's last commit.
    pub last_commit: Option<LogPosition>,
    /// Its transaction.
    pub transaction: TransactionPhase,
}

impl Default for SessionState {
    fn default() -> Self {
        Self {
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            last_commit: None,
            transaction: TransactionPhase::Idle,
        }
    }
}

impl SessionState {
    /// Records the position of a commit of this session; an older one changes
    /// nothing.
    pub fn record_commit(&mut self, position: Option<LogPosition>) {
        self.last_commit = self.last_commit.max(position);
    }
}
