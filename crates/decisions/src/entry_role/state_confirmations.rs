use std::collections::BTreeMap;

/// States of the control log that an entry host has applied, and up to which of them
/// it may report so. The leader takes the report of a term's end as the promise that
/// no further write of the term is acknowledged.
#[derive(Debug, Default)]
pub struct StateConfirmations {
    applied: u64,
    /// Indexes at which terms with open writes ended, by that of the state which said so.
    waiting: BTreeMap<u64, u64>,
}

impl StateConfirmations {
    /// Records that the state at `index` is applied. `ended_at` is the index at which the
    /// first of those terms ended whose writes may still be acknowledged; a state also holds
    /// what was committed after that.
    pub fn record_applied(&mut self, index: u64, ended_at: Option<u64>) {
        self.applied = self.applied.max(index);
        if let Some(ended_at) = ended_at {
            self.waiting.insert(index, ended_at);
        }
    }

    /// Records that no write of the terms that the state at `index` ended will be
    /// acknowledged any more.
    pub fn record_writes_ended(&mut self, index: u64) {
        self.waiting.remove(&index);
    }

    /// Index up to which all states may be reported as applied.
    pub fn confirmed(&self) -> u64 {
        self.waiting.values().min().map_or(self.applied, |first| first.saturating_sub(1))
    }
}
