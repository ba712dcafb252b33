use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{LogEntry, StateSnapshot};
use crate::{clock::Moment, identity::HostId};

/// Requests a vote, or asks in a pre-vote whether it would be granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Pre-vote: the voter answers without changing its term or vote.
    pub pre_vote: bool,
    /// The candidate has an empty disk and knows of no existing group of voters.
    pub forming: bool,
    /// Term in which the candidate would lead.
    pub term: u64,
    /// Last log index of the candidate.
    pub last_index: u64,
    /// Term of the entry at `last_index`.
    pub last_term: u64,
}

/// Answers a [`VoteRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// The reply is to a pre-vote.
    pub pre_vote: bool,
    /// The requested term if granted, else the voter's current term.
    pub term: u64,
    /// The vote is granted; in a pre-vote, it would be.
    pub granted: bool,
    /// The host has no vote because its disk was empty. Unless this answers a pre-vote, it
    /// follows no leader of a term before `term` any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub empty_disk: bool,
}

/// Entries from the leader; a message without entries is a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendMessage {
    /// The leader's term.
    pub term: u64,
    /// Index of the entry before the first one in `entries`.
    pub previous_index: u64,
    /// Term of the entry at `previous_index`.
    pub previous_term: u64,
    /// Consecutive entries, lowest index first.
    pub entries: Vec<LogEntry>,
    /// The leader's commit index.
    pub commit: u64,
    /// Send time by the leader's clock; echoed in the reply.
    pub sent_at: Moment,
}

/// Answers an [`AppendMessage`] or a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The voter's term.
    pub term: u64,
    /// The entries are in the voter's log and synced.
    pub accepted: bool,
    /// If accepted, the last index known to match the leader's log; else the
    /// last index that may match.
    pub match_index: u64,
    /// False while the voter must not count because its disk was empty.
    pub eligible: bool,
    /// Random id of the voter's disk, see `HardState::incarnation`.
    pub incarnation: u64,
    /// The leader's send time, echoed.
    pub sent_at: Moment,
}

/// Answers the inquiry of a voter that has just started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InquiryReply {
    /// Number of the inquiry, echoed.
    pub number: u64,
    /// The host does not lead and has heard from no leader within the last
    /// election timeout.
    pub knows_no_leader: bool,
    /// Latest voters in the host's log, with those before a change that may be open.
    pub voters: BTreeSet<HostId>,
}

/// A message between voters, or between a leader and a learner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgreementMessage {
    /// Requests a vote or pre-vote.
    Vote(VoteRequest),
    /// Answers a vote request.
    VoteReply(VoteReply),
    /// A voter that has just started asks whether there is a leader.
    Inquiry {
        /// Random number, drawn at each start.
        number: u64,
    },
    /// Answers an inquiry.
    InquiryReply(InquiryReply),
    /// Replicates entries or sends a heartbeat.
    Append(AppendMessage),
    /// Answers an append or a snapshot.
    AppendReply(AppendReply),
    /// Replaces the log of a follower that needs entries which the leader has
    /// already compacted.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// Replicated state with its log position.
        snapshot: Box<StateSnapshot>,
        /// Send time by the leader's clock; echoed in the reply.
        sent_at: Moment,
    },
}
