use std::collections::{BTreeSet, VecDeque};

use super::{EntryPayload, LogEntry, StateSnapshot};
use crate::identity::HostId;

/// The log in memory: a snapshot and the entries after it.
#[derive(Debug, Clone)]
pub struct EntryLog {
    snapshot: StateSnapshot,
    entries: VecDeque<LogEntry>,
    /// Indexes of the entries that change the voters.
    voter_changes: BTreeSet<u64>,
    /// About the size of the entries, in bytes.
    bytes: usize,
}

impl EntryLog {
    /// Creates a log without entries that starts after `snapshot`.
    pub fn new(snapshot: StateSnapshot) -> Self {
        Self { snapshot, entries: VecDeque::new(), voter_changes: BTreeSet::new(), bytes: 0 }
    }

    /// The snapshot before the first entry.
    pub fn snapshot(&self) -> &StateSnapshot {
        &self.snapshot
    }

    /// Number of entries in memory; those covered by the snapshot do not count.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if the log holds only the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// About the size of the entries in memory, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        self.bytes
    }

    /// Index of the last entry, or of the snapshot if there is none.
    pub fn last_index(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Term at `last_index`.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term at an index; `None` if the index is past the end or before the
    /// snapshot.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at an index, if it is in memory.
    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Clones entries, starting at `index`: up to `limit` of them that hold about
    /// `max_bytes` together, and at least one if there is any.
    pub fn entries_from(&self, index: u64, limit: usize, max_bytes: usize) -> Vec<LogEntry> {
        let skipped = index.saturating_sub(self.snapshot.index + 1) as usize;
        let mut bytes = 0;
        let fits = |entry: &&LogEntry| {
            let is_first = bytes == 0;
            bytes += entry.payload.approximate_bytes();
            is_first || bytes <= max_bytes
        };
        self.entries.iter().skip(skipped).take(limit).take_while(fits).cloned().collect()
    }

    /// Appends an entry after removing all entries at or after its index. An
    /// entry that the snapshot covers or that would leave a gap is ignored.
    pub fn append(&mut self, entry: LogEntry) {
        if entry.index <= self.snapshot.index || entry.index > self.last_index() + 1 {
            return;
        }
        let kept = (entry.index - self.snapshot.index - 1) as usize;
        self.bytes -= bytes_of(self.entries.drain(kept..));
        self.voter_changes.split_off(&entry.index);
        if matches!(entry.payload, EntryPayload::Voters { .. }) {
            self.voter_changes.insert(entry.index);
        }
        self.bytes += entry.payload.approximate_bytes();
        self.entries.push_back(entry);
    }

    /// Replaces the log up to the snapshot's index. Later entries are kept if
    /// the log has the snapshot's term at that index, and dropped otherwise.
    pub fn install(&mut self, snapshot: StateSnapshot) {
        if snapshot.index <= self.snapshot.index {
            return;
        }
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            let covered = (snapshot.index - self.snapshot.index) as usize;
            self.bytes -= bytes_of(self.entries.drain(..covered));
            self.voter_changes = self.voter_changes.split_off(&(snapshot.index + 1));
        } else {
            self.entries.clear();
            self.voter_changes.clear();
            self.bytes = 0;
        }
        self.snapshot = snapshot;
    }

    /// The set of voters as of the last entry.
    pub fn voters(&self) -> &BTreeSet<HostId> {
        self.voters_before(u64::MAX)
    }

    /// The set of voters as of the last entry before `index`.
    pub fn voters_before(&self, index: u64) -> &BTreeSet<HostId> {
        let change = self.voter_changes.range(..index).next_back();
        match change.and_then(|index| self.get(*index)).map(|entry| &entry.payload) {
            Some(EntryPayload::Voters { voters, .. }) => voters,
            _ => &self.snapshot.voters,
        }
    }

    /// Index of the last change of voters, or the snapshot's index.
    pub fn last_voter_change_index(&self) -> u64 {
        self.voter_changes.last().copied().unwrap_or(self.snapshot.index)
    }
}

fn bytes_of(entries: impl Iterator<Item = LogEntry>) -> usize {
    entries.map(|entry| entry.payload.approximate_bytes()).sum()
}
