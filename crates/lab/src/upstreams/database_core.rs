use std::sync::Arc;

use hawthornstack_decisions::{
    directory::{DatabaseRole, DatabaseStatus},
    positions::{BranchHistory, BranchStart, LogPosition},
};
use tokio::time::Instant;

use super::{EngineError, EngineRows, LoggedStatement, SqlEngine};

/// One committed transaction in the log.
#[derive(Debug)]
pub struct LogRecord {
    /// Term of the primary that wrote it.
    pub term: u64,
    /// Write statements in order; empty for the record that starts a promotion's
    /// term.
    pub statements: Vec<LoggedStatement>,
    /// Time of the commit at that primary.
    pub committed_at: Instant,
}

/// Data, log and role of one database. Committed data and the open write
/// transaction live in two engines, so that readers never see uncommitted data.
#[derive(Debug)]
pub struct DatabaseCore {
    role: DatabaseRole,
    term: u64,
    fenced_below: u64,
    history: BranchHistory,
    log: Vec<Arc<LogRecord>>,
    committed: SqlEngine,
    working: SqlEngine,
}

impl DatabaseCore {
    /// Creates an empty database in term 1.
    ///
    /// # Errors
    /// `EngineError` if an engine cannot be opened.
    pub fn new(role: DatabaseRole) -> Result<Self, EngineError> {
        Ok(Self {
            role,
            term: 1,
            fenced_below: 0,
            history: BranchHistory::new([BranchStart { term: 1, base_offset: 0 }]),
            log: Vec::new(),
            committed: SqlEngine::open()?,
            working: SqlEngine::open()?,
        })
    }

    /// Role, term, fence and position, as reported to hosts.
    pub fn status(&self) -> DatabaseStatus {
        DatabaseStatus {
            role: self.role,
            term: self.term,
            fenced_below: self.fenced_below,
            position: self.position(),
            history: self.history.clone(),
        }
    }

    /// Position of the end of the log.
    pub fn position(&self) -> LogPosition {
        self.history.position_at(self.log.len() as u64)
    }

    /// True if the database is a primary whose term is not fenced.
    pub fn accepts_writes(&self) -> bool {
        self.role == DatabaseRole::Primary && self.term >= self.fenced_below
    }

    /// Current role. A fenced primary keeps its role.
    pub fn role(&self) -> DatabaseRole {
        self.role
    }

    /// The engine with committed data only.
    pub fn committed(&self) -> &SqlEngine {
        &self.committed
    }

    /// The engine with the open write transaction, if there is one, on top of the
    /// committed data.
    pub fn working(&self) -> &SqlEngine {
        &self.working
    }

    /// Commits the open write transaction and appends its statements to the log.
    ///
    /// # Errors
    /// `EngineError` 25006 if writes are no longer accepted; the transaction
    /// is rolled back.
    pub fn commit(&mut self, statements: Vec<LoggedStatement>) -> Result<(), EngineError> {
        if !self.accepts_writes() && !statements.is_empty() {
            self.working.run_transaction_control("ROLLBACK")?;
            return Err(read_only_error());
        }
        self.working.run_transaction_control("COMMIT")?;
        if statements.is_empty() {
            return Ok(());
        }
        for statement in &statements {
            self.committed.run(statement)?;
        }
        let committed_at = Instant::now();
        self.log.push(Arc::new(LogRecord { term: self.term, statements, committed_at }));
        Ok(())
    }

    /// Runs one write statement in its own transaction.
    ///
    /// # Errors
    /// `EngineError` 25006 if writes are not accepted, otherwise the error of the
    /// statement, whose transaction is rolled back.
    pub fn run_write(&mut self, statement: LoggedStatement) -> Result<EngineRows, EngineError> {
        if !self.accepts_writes() {
            return Err(read_only_error());
        }
        self.working.run_transaction_control("BEGIN")?;
        match self.working.run(&statement) {
            Ok(rows) => self.commit(vec![statement]).map(|()| rows),
            Err(error) => {
                self.working.run_transaction_control("ROLLBACK")?;
                Err(error)
            }
        }
    }

    /// Rejects writes, records and orders of terms below `term` from now on. Fences
    /// below an earlier one have no effect.
    pub fn fence(&mut self, term: u64) {
        self.fenced_below = self.fenced_below.max(term);
    }

    /// Makes the database the primary of `term`.
    ///
    /// # Errors
    /// `EngineError` 55000 if `term` is fenced or not newer than the current term.
    pub fn promote(&mut self, term: u64) -> Result<(), EngineError> {
        if self.role == DatabaseRole::Primary && self.term == term {
            return Ok(());
        }
        if term <= self.term || term < self.fenced_below {
            return Err(EngineError { sqlstate: "55000", text: format!("term {term} is stale") });
        }
        self.role = DatabaseRole::Primary;
        self.term = term;
        self.fenced_below = term;
        self.history.fork(term, self.log.len() as u64);
        // Starts the term with an empty record, so that a majority of the databases
        // can hold a record of the term before any caller writes.
        let committed_at = Instant::now();
        self.log.push(Arc::new(LogRecord { term, statements: Vec::new(), committed_at }));
        Ok(())
    }

    /// Makes the database a replica, in `term`, of the primary with this log and
    /// history. Removes log records that the primary does not have and rebuilds the
    /// data without them.
    ///
    /// # Errors
    /// `EngineError` 55000 if `term` is fenced or older than the current term;
    /// engine errors of the replay.
    pub fn follow(
        &mut self,
        term: u64,
        log: &[Arc<LogRecord>],
        history: BranchHistory,
    ) -> Result<(), EngineError> {
        if term < self.term || term < self.fenced_below {
            return Err(EngineError { sqlstate: "55000", text: format!("term {term} is stale") });
        }
        let shared = self.log.iter().zip(log).take_while(|(a, b)| Arc::ptr_eq(a, b)).count();
        if shared < self.log.len() {
            self.log.truncate(shared);
            self.rebuild_engines()?;
        }
        self.role = DatabaseRole::Replica;
        self.term = term;
        self.fenced_below = term;
        self.history = history;
        Ok(())
    }

    /// Replays the log into empty engines.
    fn rebuild_engines(&mut self) -> Result<(), EngineError> {
        self.committed = SqlEngine::open()?;
        self.working = SqlEngine::open()?;
        for record in &self.log {
            for statement in &record.statements {
                self.committed.run(statement)?;
                self.working.run(statement)?;
            }
        }
        Ok(())
    }

    /// Applies the next record of the primary's log and appends it to this log.
    ///
    /// # Errors
    /// Engine errors of the replay.
    pub fn apply(&mut self, record: Arc<LogRecord>) -> Result<(), EngineError> {
        for statement in &record.statements {
            self.committed.run(statement)?;
            self.working.run(statement)?;
        }
        self.log.push(record);
        Ok(())
    }

    /// True if the database is a replica that accepts log records from a primary
    /// of `term`.
    pub fn accepts_records_of(&self, term: u64) -> bool {
        self.role == DatabaseRole::Replica && term == self.term && term >= self.fenced_below
    }

    /// The log record at `index`, from 0; `None` past the end of the log.
    pub fn record(&self, index: usize) -> Option<Arc<LogRecord>> {
        self.log.get(index).cloned()
    }

    /// Log records after the first `count`.
    pub fn records_after(&self, count: usize) -> Vec<Arc<LogRecord>> {
        self.log.iter().skip(count).cloned().collect()
    }

    /// Number of records in the log.
    pub fn log_length(&self) -> usize {
        self.log.len()
    }
}

/// Error 25006 for a write at a replica or a fenced primary.
pub(super) fn read_only_error() -> EngineError {
    EngineError { sqlstate: "25006", text: "this database does not accept writes".to_owned() }
}
