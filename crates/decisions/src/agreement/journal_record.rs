use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    control_state::{ControlCommand, ControlState},
    identity::HostId,
};

/// What a voter must remember over a restart besides its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// The host that got this voter's vote in that term.
    pub voted_for: Option<HostId>,
    /// The voter may vote and counts. False on an empty disk, until the voters
    /// form together or a leader takes it in again.
    pub eligible: bool,
    /// Number of this disk, drawn when it was empty.
    pub incarnation: u64,
}

/// A voter that was taken in with an empty disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmittedVoter {
    /// The host.
    pub host: HostId,
    /// The number of the disk that caught up.
    pub incarnation: u64,
}

/// What an entry of the log carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A change of the replicated configuration.
    Command(ControlCommand),
    /// A change of the voters.
    Voters {
        /// The voters from this entry on.
        voters: BTreeSet<HostId>,
        /// The one that this entry takes in.
        admitted: Option<AdmittedVoter>,
    },
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Place in the log, from 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// What it carries.
    pub payload: EntryPayload,
}

/// The state after a prefix of the log, in place of that prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// Last index of the prefix.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Voters at that index.
    pub voters: BTreeSet<HostId>,
    /// The configuration at that index.
    pub state: ControlState,
}

/// One record of a voter's journal; replaying all of them in order rebuilds
/// its memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalRecord {
    /// Replaces the remembered term and vote.
    Hard(HardState),
    /// Adds an entry; entries at or after its index are dropped first.
    Entry(LogEntry),
    /// Replaces the log up to the snapshot's index.
    Snapshot(Box<StateSnapshot>),
}
