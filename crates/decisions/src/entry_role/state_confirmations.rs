use std::collections::BTreeSet;

/// States of the control log that an entry host has applied, and up to which of them
/// it may report so. The leader takes the report of a term's end as the promise that
/// no further write of the term is acknowledged.
#[derive(Debug, Default)]
pub struct StateConfirmations {
    applied: u64,
    waiting: BTreeSet<u64>,
}

impl StateConfirmations {
    /// Records that the state at `index` is applied; `waits` if it ends a term with
    /// writes that may still be acknowledged.
    pub fn record_applied(&mut self, index: u64, waits: bool) {
        self.applied = self.applied.max(index);
        if waits {
            self.waiting.insert(index);
        }
    }

    /// Records that no write of the terms that the state at `index` ended will be
    /// acknowledged any more.
    pub fn record_writes_ended(&mut self, index: u64) {
        self.waiting.remove(&index);
    }

    /// Index up to which all states may be reported as applied.
    pub fn confirmed(&self) -> u64 {
        self.waiting.first().map_or(self.applied, |first| first - 1)
    }
}
