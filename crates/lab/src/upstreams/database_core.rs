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
    /// Its statements in order.
    pub statements: Vec<LoggedStatement>,
    /// When it was committed at that primary.
    pub committed_at: Instant,
}

/// Data, log and role of one database. Committed data and the open write
/// transaction live in two engines, so that readers never see the latter.
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
    /// An empty database in term 1.
    ///
    /// # Errors
    /// `EngineError` if no engine can be opened.
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

    /// What it reports.
    pub fn status(&self) -> DatabaseStatus {
        DatabaseStatus {
            role: self.role,
            term: self.term,
            fenced_below: self.fenced_below,
            position: self.position(),
            history: self.history.clone(),
        }
    }

    /// End of its log.
    pub fn position(&self) -> LogPosition {
        self.history.position_at(self.log.len() as u64)
    }

    /// True if it is a primary whose term is not fenced.
    pub fn accepts_writes(&self) -> bool {
        self.role == DatabaseRole::Primary && self.term >= self.fenced_below
    }

    /// Its role.
    pub fn role(&self) -> DatabaseRole {
        self.role
    }

    /// The engine with committed data only.
    pub fn committed(&self) -> &SqlEngine {
        &self.committed
    }

    /// The engine with the open write transaction.
    pub fn working(&self) -> &SqlEngine {
        &self.working
    }

    /// Ends the open write transaction and appends it to the log.
    ///
    /// # Errors
    /// `EngineError` 25006 if writes are no longer accepted; the transaction
    /// is rolled back.
    pub fn commit(&mut self, statements: Vec<LoggedStatement>) -> Result<(), EngineError> {
        if !self.accepts_writes() && !statements.is_empty() {
            self.working.control("ROLLBACK")?;
            return Err(read_only());
        }
        self.working.control("COMMIT")?;
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

    /// Runs one write as a transaction of its own.
    ///
    /// # Errors
    /// `EngineError`; nothing of the write remains.
    pub fn write(&mut self, statement: LoggedStatement) -> Result<EngineRows, EngineError> {
        if !self.accepts_writes() {
            return Err(read_only());
        }
        self.working.control("BEGIN")?;
        match self.working.run(&statement) {
            Ok(rows) => self.commit(vec![statement]).map(|()| rows),
            Err(error) => {
                self.working.control("ROLLBACK")?;
                Err(error)
            }
        }
    }

    /// Refuses terms below `term` from now on.
    pub fn fence(&mut self, term: u64) {
        self.fenced_below = self.fenced_below.max(term);
    }

    /// Becomes primary of `term`.
    ///
    /// # Errors
    /// `EngineError` 55000 if a later term is known.
    pub fn promote(&mut self, term: u64) -> Result<(), EngineError> {
        if self.role == DatabaseRole::Primary && self.term == term {
            return Ok(());
        }
        if term <= self.term || term < self.fenced_below {
            return Err(EngineError { sqlstate: "55000", text: format!("term {term} is over") });
        }
        self.role = DatabaseRole::Primary;
        self.term = term;
        self.fenced_below = term;
        self.history.fork(term, self.log.len() as u64);
        // The first entry of the term, so that the term can be held by a
        // majority before any caller writes.
        let committed_at = Instant::now();
        self.log.push(Arc::new(LogRecord { term, statements: Vec::new(), committed_at }));
        Ok(())
    }

    /// Follows a primary with this log and history: drops what is not on its
    /// branch and becomes a replica of its term.
    ///
    /// # Errors
    /// `EngineError` 55000 if a later term is known; engine errors of the
    /// replay.
    pub fn follow(
        &mut self,
        term: u64,
        log: &[Arc<LogRecord>],
        history: BranchHistory,
    ) -> Result<(), EngineError> {
        if term < self.term || term < self.fenced_below {
            return Err(EngineError { sqlstate: "55000", text: format!("term {term} is over") });
        }
        let shared = self.log.iter().zip(log).take_while(|(a, b)| Arc::ptr_eq(a, b)).count();
        if shared < self.log.len() {
            self.log.truncate(shared);
            self.rebuild()?;
        }
        self.role = DatabaseRole::Replica;
        self.term = term;
        self.fenced_below = term;
        self.history = history;
        Ok(())
    }

    fn rebuild(&mut self) -> Result<(), EngineError> {
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

    /// Applies the next record of the primary's log.
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

    /// True if it takes log records of a primary of `term`.
    pub fn takes_records_of(&self, term: u64) -> bool {
        self.role == DatabaseRole::Replica && term == self.term && term >= self.fenced_below
    }

    /// The record after the first `count`.
    pub fn record(&self, count: usize) -> Option<Arc<LogRecord>> {
        self.log.get(count).cloned()
    }

    /// Records after the first `count`.
    pub fn records_after(&self, count: usize) -> Vec<Arc<LogRecord>> {
        self.log.iter().skip(count).cloned().collect()
    }

    /// Length of the log.
    pub fn log_length(&self) -> usize {
        self.log.len()
    }
}

/// The error of a database that does not accept writes.
pub(super) fn read_only() -> EngineError {
    EngineError { sqlstate: "25006", text: "this database does not accept writes".to_owned() }
}
