use std::{collections::BTreeMap, sync::Arc};

use crate::positions::LogPosition;

/// Statement that was prepared, without its arguments.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreparedStatement {
    /// Whether it may change data.
    pub writes: bool,
    /// Its text, called the shape in the line protocol of the databases.
    pub shape: Arc<str>,
}

/// State of a session's transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionPhase {
    /// No transaction is open.
    Idle,
    /// Begun by the caller, but not yet at a database.
    Begun {
        /// It only reads, and may run at a replica.
        read_only: bool,
    },
    /// Open on a connection that no other session uses.
    Pinned {
        /// It only reads.
        read_only: bool,
    },
    /// Failed; the caller must end it.
    Failed,
}

/// State of a caller's session; lives as long as the caller's connection.
#[derive(Debug, Clone)]
pub struct SessionState {
    /// Session values.
    pub values: BTreeMap<Arc<str>, Arc<str>>,
    /// Prepared statements by the caller's names.
    pub prepared: BTreeMap<Arc<str>, PreparedStatement>,
    /// Position of the session's last commit.
    pub last_commit: Option<LogPosition>,
    /// State of its transaction.
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
