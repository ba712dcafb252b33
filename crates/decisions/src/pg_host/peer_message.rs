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

/// Asks control's leader for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Facts of the asking host.
    pub record: HostRecord,
    /// When it asked, on its own clock; echoed.
    pub sent_at: Moment,
    /// Commands that it has applied.
    pub applied: u64,
    /// It is shutting down: it serves what it has and takes nothing new.
    pub leaving: bool,
}

/// Grants a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Echo of the holder's time; the lease counts from there.
    pub sent_at: Moment,
    /// Length of the lease.
    pub duration: Duration,
    /// Commands that must be applied before the lease counts.
    pub required_index: u64,
}

/// Asks a position host for a session's position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionQuery {
    /// The request that waits for it.
    pub request: RequestId,
    /// The session.
    pub session: SessionId,
    /// The group.
    pub group: GroupName,
    /// Version of the set of hosts by which the position host was chosen.
    pub hosts_version: u64,
}

/// A position host's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionAnswer {
    /// The request that waits for it.
    pub request: RequestId,
    /// The position; `None` means not known.
    #[serde(rename = "mark")]
    pub position: Option<LogPosition>,
}

/// Messages between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Between voters.
    Agreement(AgreementMessage),
    /// To control's leader, or to any voter that may know it.
    LeaseRequest(LeaseRequest),
    /// From control's leader.
    LeaseGrant(LeaseGrant),
    /// The receiver asked a host that does not lead.
    LeaderIs(Option<HostId>),
    /// To a voter: send what follows this index.
    Subscribe {
        /// Commands applied so far.
        applied: u64,
    },
    /// Commands that follow `first_index - 1`.
    Updates {
        /// Index of the first command.
        first_index: u64,
        /// Commands in order.
        commands: Vec<ControlCommand>,
    },
    /// The whole configuration, for a host that is far behind.
    State(Box<ControlState>),
    /// An announcement on its way to control's leader.
    Announced(Announcement),
    /// To control's leader: this gateway cannot use the primary of `term`.
    SuspectPrimary {
        /// The group.
        group: GroupName,
        /// The term.
        term: u64,
    },
    /// To control's leader: this gateway acknowledges nothing below `term`.
    TermFenced {
        /// The group.
        group: GroupName,
        /// The term.
        term: u64,
    },
    /// To control's leader: a member does not follow the group's term, or has
    /// caught up and could count.
    MemberReport {
        /// The group.
        group: GroupName,
        /// The members that do not follow.
        astray: Vec<DatabaseName>,
        /// Joining members that hold what the primary had when asked.
        caught_up: Vec<DatabaseName>,
        /// Draining members without which a majority holds all that the
        /// primary had when asked.
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
        /// The request whose answer waits for it.
        request: RequestId,
        /// The position.
        stored: StoredPosition,
        /// Version of the set of hosts by which the position host was chosen.
        hosts_version: u64,
    },
    /// To control's leader: an operator of the sender asks.
    OperatorAsk {
        /// Number of the question on the sender.
        ticket: u64,
        /// The question.
        question: OperatorQuestion,
    },
    /// From control's leader.
    OperatorReply {
        /// Number of the question on the receiver.
        ticket: u64,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// From a position host: the position is stored.
    #[serde(rename = "MarkStored")]
    PositionStored {
        /// The request whose answer waits for it.
        request: RequestId,
    },
}

impl PeerMessage {
    /// Name of the kind of message, for metrics.
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
