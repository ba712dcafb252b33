use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{OperatorAnswer, OperatorQuestion};
use crate::{
    agreement::AgreementMessage,
    clock::Moment,
    control_state::{ControlCommand, ControlState, HostRecord},
    directory::Announcement,
    identity::{DatabaseName, GroupName, HostId, RequestId, SessionId},
    positions::LogPosition,
    sessions::StoredPosition,
};

/// Asks the control leader for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Record of the requesting host, committed if it changed.
    pub record: HostRecord,
    /// Send time on the requesting host's clock, echoed in the grant.
    pub sent_at: Moment,
    /// Index of the last command that it has applied.
    pub applied: u64,
    /// It is shutting down: it finishes its requests and accepts no new ones.
    pub leaving: bool,
}

/// Grants a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// `sent_at` of the request; the lease starts at this time.
    pub sent_at: Moment,
    /// Length of the lease.
    pub duration: Duration,
    /// Index that the holder must have applied for the lease to be valid.
    pub required_index: u64,
}

/// Asks a position host for a session's position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionQuery {
    /// The request that waits for the position.
    pub request: RequestId,
    /// The session whose position is requested.
    pub session: SessionId,
    /// The group that the position belongs to.
    pub group: GroupName,
    /// Version of the set of hosts by which the position host was chosen.
    pub hosts_version: u64,
}

/// A position host's answer to a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionAnswer {
    /// The request that waits for the position.
    pub request: RequestId,
    /// The session's position; `None` means not known.
    #[serde(rename = "mark")]
    pub position: Option<LogPosition>,
}

/// Messages between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// An agreement message between voters.
    Agreement(AgreementMessage),
    /// To the control leader, or to a voter that may know the leader.
    LeaseRequest(LeaseRequest),
    /// From the control leader.
    LeaseGrant(LeaseGrant),
    /// Reply of a host that is not the leader: the leader that it knows of.
    LeaderIs(Option<HostId>),
    /// To a voter: send the commands after `applied`.
    Subscribe {
        /// Index of the last command that the sender has applied.
        applied: u64,
    },
    /// Commands that follow `first_index - 1`.
    Updates {
        /// Index of the first command.
        first_index: u64,
        /// Commands in order.
        commands: Vec<ControlCommand>,
    },
    /// The whole control state, for a subscriber that lacks more commands than
    /// are kept.
    State(Box<ControlState>),
    /// To the control leader: a forwarded announcement.
    Announced(Announcement),
    /// To the control leader: this gateway cannot use the primary of `term`.
    SuspectPrimary {
        /// The group.
        group: GroupName,
        /// The term.
        term: u64,
    },
    /// To the control leader: this gateway acknowledges no requests of terms
    /// below `term`.
    TermFenced {
        /// The group.
        group: GroupName,
        /// The term.
        term: u64,
    },
    /// To the control leader: members need a `Follow` order or a change of
    /// standing.
    MemberReport {
        /// The group.
        group: GroupName,
        /// Members other than the primary that are not replicas in its term.
        astray: Vec<DatabaseName>,
        /// Joining members that hold the primary's last reported position.
        caught_up: Vec<DatabaseName>,
        /// Draining members that may leave, as a majority without them holds the
        /// primary's last reported position.
        removable: Vec<DatabaseName>,
    },
    /// To a position host.
    #[serde(rename = "MarkQuery")]
    PositionQuery(PositionQuery),
    /// From a position host.
    #[serde(rename = "MarkAnswer")]
    PositionAnswer(PositionAnswer),
    /// To a position host: store this position.
    #[serde(rename = "MarkStore")]
    StorePosition {
        /// The request after which the position is stored.
        request: RequestId,
        /// The position to store.
        stored: StoredPosition,
        /// Version of the set of hosts by which the position host was chosen.
        hosts_version: u64,
    },
    /// To the control leader: a question of an operator of the sender.
    OperatorAsk {
        /// Number of the question on the sender.
        ticket: u64,
        /// The question.
        question: OperatorQuestion,
    },
    /// From the control leader: the answer to an operator's question.
    OperatorReply {
        /// Number of the question on the receiver.
        ticket: u64,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// From a position host: the position is stored.
    #[serde(rename = "MarkStored")]
    PositionStored {
        /// `request` of the `StorePosition` that this confirms.
        request: RequestId,
    },
}

impl PeerMessage {
    /// Kind of the message, as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Agreement(_) => "agreement",
            Self::LeaseRequest(_) | Self::LeaseGrant(_) | Self::LeaderIs(_) => "lease",
            Self::Subscribe { .. } | Self::Updates { .. } | Self::State(_) => "configuration",
            Self::Announced(_) => "announcement",
            Self::SuspectPrimary { .. } | Self::TermFenced { .. } => "failover",
            Self::MemberReport { .. } => "members",
            Self::OperatorAsk { .. } | Self::OperatorReply { .. } => "operators",
            Self::PositionQuery(_)
            | Self::PositionAnswer(_)
            | Self::StorePosition { .. }
            | Self::PositionStored { .. } => "marks",
        }
    }
}
