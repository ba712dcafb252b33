use hawthornstack_decisions::{
    directory::{DatabaseRole, DatabaseStatus},
    failover::DatabaseOrder,
    positions::{BranchHistory, BranchStart, LogPosition},
};

/// One write in a fake database's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FakeEntry {
    pub term: u64,
    pub operation: usize,
    pub session: usize,
    pub number: u64,
}

impl FakeEntry {
    /// The entry that a promotion appends.
    fn marker(term: u64) -> Self {
        Self { term, operation: usize::MAX, session: usize::MAX, number: 0 }
    }
}

/// A database that follows the contract of `docs/UPSTREAM.md`.
#[derive(Debug, Clone)]
pub struct FakeDatabase {
    pub role: DatabaseRole,
    pub term: u64,
    pub fenced_below: u64,
    pub history: BranchHistory,
    pub log: Vec<FakeEntry>,
    pub follows: Option<usize>,
    /// The process does not run.
    pub stopped: bool,
    /// Hosts get no answers from it.
    pub cut_from_hosts: bool,
    /// It does not replicate, from or to other databases.
    pub cut_from_group: bool,
}

impl FakeDatabase {
    pub fn new(index: usize) -> Self {
        let role = if index == 0 { DatabaseRole::Primary } else { DatabaseRole::Replica };
        Self {
            role,
            term: 1,
            fenced_below: 0,
            history: BranchHistory::new([BranchStart { term: 1, base_offset: 0 }]),
            log: Vec::new(),
            follows: (index != 0).then_some(0),
            stopped: false,
            cut_from_hosts: false,
            cut_from_group: false,
        }
    }

    pub fn position(&self) -> LogPosition {
        self.history.position_at(self.log.len() as u64)
    }

    pub fn status(&self) -> DatabaseStatus {
        DatabaseStatus {
            role: self.role,
            term: self.term,
            fenced_below: self.fenced_below,
            position: self.position(),
            history: self.history.clone(),
        }
    }

    pub fn accepts_writes(&self) -> bool {
        self.role == DatabaseRole::Primary && self.term >= self.fenced_below
    }

    pub fn answers(&self) -> bool {
        !self.stopped && !self.cut_from_hosts
    }

    pub fn replicates(&self) -> bool {
        !self.stopped && !self.cut_from_group
    }

    /// Highest number that a session wrote to the log.
    pub fn highest(&self, session: usize) -> u64 {
        let own = self.log.iter().filter(|entry| entry.session == session);
        own.map(|entry| entry.number).max().unwrap_or(0)
    }

    /// Follows `primary`, after truncating the entries that are not on its branch.
    pub fn follow(&mut self, primary_index: usize, primary: &FakeDatabase) {
        let shared = self.log.iter().zip(&primary.log).take_while(|(a, b)| a == b).count();
        self.log.truncate(shared);
        self.role = DatabaseRole::Replica;
        self.term = primary.term;
        self.fenced_below = primary.term;
        self.history = primary.history.clone();
        self.follows = Some(primary_index);
    }

    /// Applies an order other than `Follow`; `None` if it is refused.
    pub fn apply_order(&mut self, order: &DatabaseOrder, ignores_fences: bool) -> Option<()> {
        match order {
            DatabaseOrder::Report | DatabaseOrder::Follow { .. } => {}
            DatabaseOrder::Fence { term } => {
                self.fenced_below = self.fenced_below.max(*term);
            }
            DatabaseOrder::Promote { term } => {
                let again = self.role == DatabaseRole::Primary && self.term == *term;
                if !again {
                    if *term <= self.term || *term < self.fenced_below {
                        return None;
                    }
                    self.role = DatabaseRole::Primary;
                    self.term = *term;
                    self.fenced_below = *term;
                    self.follows = None;
                    let base_offset = self.log.len() as u64;
                    self.history.fork(*term, base_offset);
                    self.log.push(FakeEntry::marker(*term));
                }
            }
        }
        if ignores_fences {
            self.fenced_below = self.fenced_below.max(self.term);
        }
        Some(())
    }
}
