use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    control_state::{ControlCommand, ControlState},
    identity::HostId,
};

/// Persistent state of a voter besides its log (Raft's hard state).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Host that received this voter's vote in that term, if any.
    pub voted_for: Option<HostId>,
    /// The host may vote and counts towards a quorum. False on an empty disk
    /// until the host votes in forming the group or a leader admits it.
    pub eligible: bool,
    /// Random id of this disk, drawn when the disk was empty; 0 if not drawn yet.
    pub incarnation: u64,
    /// Index of the newest change of voters that this host knows to be committed; 0 if none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub committed_voters: u64,
}

fn is_zero(index: &u64) -> bool {
    *index == 0
}

/// A host that was added to the voters after it caught up from an empty disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmittedVoter {
    /// The added host.
    pub host: HostId,
    /// `HardState::incarnation` of the disk that caught up.
    pub incarnation: u64,
}

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A change of the replicated state.
    Command(ControlCommand),
    /// A change of the set of voters.
    Voters {
        /// Voters from this entry on, whether or not it is committed.
        voters: BTreeSet<HostId>,
        /// The host that this entry adds, if any.
        admitted: Option<AdmittedVoter>,
    },
}

impl EntryPayload {
    /// About the size of the entry in a message, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        match self {
            Self::Command(command) => command.approximate_bytes(),
            Self::Voters { .. } => ControlCommand::SMALL_BYTES,
        }
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Content of the entry.
    pub payload: EntryPayload,
}

/// Replicated state after a prefix of the log; replaces that prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// Index of the last entry of the prefix.
    pub index: u64,
    /// Term of the entry at `index`.
    pub term: u64,
    /// Voters as of `index`.
    pub voters: BTreeSet<HostId>,
    /// Replicated state as of `index`.
    pub state: ControlState,
}

impl StateSnapshot {
    /// The state before the first entry of a log whose first voters these are.
    pub fn initial(voters: BTreeSet<HostId>) -> Self {
        Self { index: 0, term: 0, voters, state: ControlState::default() }
    }
}

/// One record of a voter's journal; replaying all records in order restores
/// the hard state, the snapshot and the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalRecord {
    /// Replaces the hard state.
    Hard(HardState),
    /// Appends an entry after removing all entries at or after its index.
    Entry(LogEntry),
    /// Replaces the log up to the snapshot's index.
    Snapshot(Box<StateSnapshot>),
}
