use serde::{Deserialize, Serialize};

use super::LogPosition;

/// Point at which a term's branch forks from the previous one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BranchStart {
    /// The term that begins at this point.
    pub term: u64,
    /// Offset of the last entry inherited from earlier terms.
    pub base_offset: u64,
}

/// The branches of which a database's log consists, one for each term, oldest first.
///
/// An offset alone does not identify an entry: after a change of primary, the new
/// term reuses the offsets of the old term's discarded tail.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BranchHistory {
    starts: Vec<BranchStart>,
}

impl BranchHistory {
    /// Builds a history from starts in order of their terms; duplicates and starts
    /// that are out of order are dropped.
    pub fn new(starts: impl IntoIterator<Item = BranchStart>) -> Self {
        let mut history = Self::default();
        for start in starts {
            history.begin(start);
        }
        history
    }

    /// Appends a term. Returns false and changes nothing if the term is not newer
    /// than the last one or begins before it.
    pub fn begin(&mut self, start: BranchStart) -> bool {
        let in_order = self
            .starts
            .last()
            .is_none_or(|last| last.term < start.term && last.base_offset <= start.base_offset);
        if in_order {
            self.starts.push(start);
        }
        in_order
    }

    /// Begins a new term after the entry at `base_offset`, the end of the log. Drops
    /// terms of which the log holds no entry: their branches continue in other logs,
    /// if at all.
    pub fn fork(&mut self, term: u64, base_offset: u64) {
        self.starts.retain(|start| start.base_offset < base_offset);
        self.starts.push(BranchStart { term, base_offset });
    }

    /// The starts, oldest first.
    pub fn starts(&self) -> &[BranchStart] {
        &self.starts
    }

    /// True if a log with this history that ends at `log_end` holds the entry at
    /// `position`.
    pub fn covers(&self, log_end: LogPosition, position: LogPosition) -> bool {
        if position.offset == 0 {
            return true;
        }
        let Some(index) = self.starts.iter().position(|start| start.term == position.term) else {
            return false;
        };
        let start = self.starts[index];
        let end = match self.starts.get(index + 1) {
            Some(next) => next.base_offset.min(log_end.offset),
            None => log_end.offset,
        };
        start.base_offset < position.offset && position.offset <= end
    }

    /// The position of the entry at `offset`. A log that follows a new term but lacks
    /// its entries still ends in an older term.
    pub fn position_at(&self, offset: u64) -> LogPosition {
        let written = self.starts.iter().rev().find(|start| start.base_offset < offset);
        LogPosition::new(written.map_or(0, |start| start.term), offset)
    }
}
