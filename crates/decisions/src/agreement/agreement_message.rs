use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{LogEntry, StateSnapshot};
use crate::{clock::Moment, identity::HostId};

/// Asks for a vote, or whether one would be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Only ask; the voter's term does not change.
    pub pre_vote: bool,
    /// The candidate's disk is empty and no group of voters is known to it.
    pub forming: bool,
    /// Term that the candidate wants to lead.
    pub term: u64,
    /// Last index of the candidate's log.
    pub last_index: u64,
    /// Term of that entry.
    pub last_term: u64,
}

/// Answers a [`VoteRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Answers a pre-vote.
    pub pre_vote: bool,
    /// Term asked for, if granted; the voter's own term if not.
    pub term: u64,
    /// The vote is given.
    pub granted: bool,
}

/// Entries from the leader; without entries, a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendMessage {
    /// The leader's term.
    pub term: u64,
    /// Index before the first entry.
    pub previous_index: u64,
    /// Term of that entry.
    pub previous_term: u64,
    /// Entries in order.
    pub entries: Vec<LogEntry>,
    /// The leader's commit index.
    pub commit: u64,
    /// When the leader sent it, on its own clock; echoed in the reply.
    pub sent_at: Moment,
}

/// Answers an append or a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The voter's term.
    pub term: u64,
    /// The entries are in the log and synced.
    pub accepted: bool,
    /// If accepted, the last index known to match; else the last index that
    /// may match.
    pub match_index: u64,
    /// False if the voter's disk was empty and it may not count.
    pub eligible: bool,
    /// Number of the voter's disk.
    pub incarnation: u64,
    /// Echo of the leader's time.
    pub sent_at: Moment,
}

/// Answers a voter that has just started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InquiryReply {
    /// Echo of the question's number.
    pub number: u64,
    /// The host neither leads nor heard from a leader a moment ago.
    pub knows_no_leader: bool,
    /// The newest voters that it knows of.
    pub voters: BTreeSet<HostId>,
}

/// Messages between voters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgreementMessage {
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answers a vote.
    VoteReply(VoteReply),
    /// A voter that has just started asks whether anyone leads.
    Inquiry {
        /// Differs at every start.
        number: u64,
    },
    /// Answers an inquiry.
    InquiryReply(InquiryReply),
    /// Replicates entries.
    Append(AppendMessage),
    /// Answers an append or a snapshot.
    AppendReply(AppendReply),
    /// Replaces a log that is too far behind.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// The state and the log position that it stands for.
        snapshot: Box<StateSnapshot>,
        /// When the leader sent it, on its own clock.
        sent_at: Moment,
    },
}
