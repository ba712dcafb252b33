use std::collections::{BTreeSet, VecDeque};

use super::{EntryPayload, LogEntry, StateSnapshot};
use crate::identity::HostId;

/// The log in memory: a snapshot's position and the entries after it.
#[derive(Debug, Clone)]
pub struct EntryLog {
    snapshot: StateSnapshot,
    entries: VecDeque<LogEntry>,
}

impl EntryLog {
    /// A log that begins after `snapshot`.
    pub fn new(snapshot: StateSnapshot) -> Self {
        Self { snapshot, entries: VecDeque::new() }
    }

    /// The snapshot before the first entry.
    pub fn snapshot(&self) -> &StateSnapshot {
        &self.snapshot
    }

    /// Entries kept in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if no entry is kept in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Last index, of an entry or of the snapshot.
    pub fn last_index(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Term of the last index.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of an index, if it is still known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// An entry by index.
    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Up to `limit` entries from `index` on.
    pub fn entries_from(&self, index: u64, limit: usize) -> Vec<LogEntry> {
        let skipped = index.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.iter().skip(skipped).take(limit).cloned().collect()
    }

    /// Adds an entry, dropping those at or after its index. An entry that does
    /// not follow the log is ignored.
    pub fn append(&mut self, entry: LogEntry) {
        if entry.index <= self.snapshot.index || entry.index > self.last_index() + 1 {
            return;
        }
        self.entries.truncate((entry.index - self.snapshot.index - 1) as usize);
        self.entries.push_back(entry);
    }

    /// Replaces the prefix up to the snapshot; later entries stay if they
    /// follow from it.
    pub fn install(&mut self, snapshot: StateSnapshot) {
        if snapshot.index <= self.snapshot.index {
            return;
        }
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            self.entries.drain(..(snapshot.index - self.snapshot.index) as usize);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }

    /// The voters after the last entry.
    pub fn voters(&self) -> &BTreeSet<HostId> {
        self.voters_before(u64::MAX)
    }

    /// The voters after the last entry before `index`.
    pub fn voters_before(&self, index: u64) -> &BTreeSet<HostId> {
        self.entries
            .iter()
            .rev()
            .filter(|entry| entry.index < index)
            .find_map(|entry| match &entry.payload {
                EntryPayload::Voters { voters, .. } => Some(voters),
                EntryPayload::Command(_) => None,
            })
            .unwrap_or(&self.snapshot.voters)
    }

    /// Index of the last change of voters, or the snapshot's index.
    pub fn last_voters_index(&self) -> u64 {
        self.entries
            .iter()
            .rev()
            .find(|entry| matches!(entry.payload, EntryPayload::Voters { .. }))
            .map_or(self.snapshot.index, |entry| entry.index)
    }
}
