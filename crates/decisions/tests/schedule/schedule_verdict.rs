use std::collections::{BTreeMap, BTreeSet};

use hawthornstack_decisions::{identity::HostId, outcomes::Outcome};

use super::fake_database::FakeDatabase;

/// One operation of a caller.
#[derive(Debug, Clone)]
pub struct CallerOperation {
    pub session: usize,
    /// Number that a write appends to the log; `None` for a read.
    pub number: Option<u64>,
    pub sent_at: u64,
    pub answered_at: Option<u64>,
    pub outcome: Outcome,
    /// Highest number of the session that a read found.
    pub found: u64,
}

/// Violations that a schedule found, and counts of what it ran.
#[derive(Debug, Clone, Default)]
pub struct ScheduleVerdict {
    pub violations: Vec<String>,
    pub acknowledged: usize,
    pub primary_changes: u64,
    pub operations: usize,
    pub dispatches: usize,
}

impl ScheduleVerdict {
    pub fn record_violation(&mut self, text: String) {
        if self.violations.len() < 20 {
            self.violations.push(text);
        }
    }

    /// Checks the callers' operations against the log of the last primary.
    pub fn check_history(&mut self, operations: &[CallerOperation], primary: &FakeDatabase) {
        let mut count: BTreeMap<usize, usize> = BTreeMap::new();
        for entry in primary.log.iter().filter(|entry| entry.operation != usize::MAX) {
            *count.entry(entry.operation).or_default() += 1;
        }
        for (index, operation) in operations.iter().enumerate() {
            let copies = count.get(&index).copied().unwrap_or(0);
            if copies > 1 {
                self.record_violation(format!("write {index} is in the log {copies} times"));
            }
            match (operation.number, operation.outcome) {
                (Some(_), Outcome::Ran) if copies == 0 => {
                    self.record_violation(format!("write {index} was acknowledged and is lost"));
                }
                (Some(_), Outcome::DidNotRun) if copies > 0 => {
                    self.record_violation(format!(
                        "write {index} ran, its caller was told it did not"
                    ));
                }
                (None, Outcome::Ran) => self.check_read(operations, operation, index),
                _ => {}
            }
        }
        let ran = |o: &&CallerOperation| o.number.is_some() && o.outcome == Outcome::Ran;
        self.acknowledged = operations.iter().filter(ran).count();
        self.primary_changes = primary.term - 1;
        self.operations = operations.len();
    }

    fn check_read(&mut self, operations: &[CallerOperation], read: &CallerOperation, index: usize) {
        let due = operations
            .iter()
            .filter(|o| o.session == read.session && o.outcome == Outcome::Ran)
            .filter(|o| o.answered_at.is_some_and(|at| at <= read.sent_at))
            .filter_map(|o| o.number)
            .max()
            .unwrap_or(0);
        if read.found < due {
            self.record_violation(format!(
                "read {index} found {} but {due} was acknowledged",
                read.found
            ));
        }
    }

    /// Checks that each term has at most one leader.
    pub fn check_leader(
        &mut self,
        leaders: &mut BTreeMap<u64, BTreeSet<HostId>>,
        term: u64,
        host: HostId,
    ) {
        let hosts = leaders.entry(term).or_default();
        if hosts.insert(host) && hosts.len() > 1 {
            self.record_violation(format!("term {term} has the leaders {hosts:?}"));
        }
    }
}
