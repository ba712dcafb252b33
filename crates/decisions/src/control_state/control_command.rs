use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{GroupRecord, HostRecord, MemberRecord, Plan};
use crate::{
    identity::{DatabaseName, GroupName, HostId},
    instances::{InstanceDeparture, InstanceKey, InstanceRecord},
    routes::RouteTable,
};

/// A change of the replicated control state.
///
/// Each command states its preconditions and has no effect if they no longer
/// hold, so that repeated and concurrent commands are harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// A leader was elected; the first command of its term.
    LeaderElected,
    /// A host joins the system, or its record changes.
    HostJoined(HostRecord),
    /// A host is removed from the system.
    HostLeft(HostId),
    /// A declared group is formed, since it has enough databases.
    GroupFormed(GroupRecord),
    /// A database joins a group, or joins again after it left, possibly with a new
    /// address. It does not count for the majority yet.
    MemberJoined(GroupName, MemberRecord),
    /// A joining database has caught up and counts for the majority.
    MemberCounts(GroupName, DatabaseName),
    /// A database announced that it will leave and gets no new work.
    MemberDraining(GroupName, DatabaseName),
    /// A draining or joining database has left its group.
    MemberLeft(GroupName, DatabaseName),
    /// These hosts replace the gateways of a group.
    #[serde(rename = "HomesAssigned")]
    GatewaysAssigned(GroupName, Vec<HostId>),
    /// The group's term ends: a new primary is needed.
    TermEnded {
        /// The group.
        group: GroupName,
        /// Highest term reserved so far; a different one voids the command.
        expected: u64,
        /// The change is planned, as the primary drains; false after a failure.
        planned: bool,
    },
    /// A database was chosen to become primary of the reserved term.
    PrimaryChosen {
        /// The group.
        group: GroupName,
        /// Reserved term.
        next_term: u64,
        /// Chosen database.
        chosen: DatabaseName,
    },
    /// The chosen database accepts writes as primary of its term.
    TermStarted {
        /// The group.
        group: GroupName,
        /// Term that starts.
        term: u64,
    },
    /// A plan was made and can be confirmed.
    PlanMade(Plan),
    /// An operator confirmed a plan.
    PlanConfirmed {
        /// Id of the operator's request; a repeated request gets the first
        /// result again.
        request: Arc<str>,
        /// Id of the plan.
        plan: Arc<str>,
        /// Operator who confirmed.
        operator: Arc<str>,
        /// Wall-clock time, in milliseconds since 1970.
        at_unix_ms: u64,
    },
    /// An operator sent a whole route table; the highest version wins.
    RoutesReplaced {
        /// New route table.
        table: Arc<RouteTable>,
        /// Wall-clock time, in milliseconds since 1970.
        at_unix_ms: u64,
    },
    /// A database announced itself or changed its record. Hosts that restart use
    /// this record until the database announces itself again.
    InstanceSeen(InstanceRecord),
    /// A database has left.
    InstanceGone(InstanceDeparture),
    /// A host may be granted leases from now on.
    HolderJoined(HostId),
    /// A host holds no lease any more and is removed from the holders.
    HolderLeft(HostId),
    /// The first primary of a service is known, or its primary has restarted.
    ServicePrimaryKnown {
        /// The service.
        service: Arc<str>,
        /// Its primary.
        primary: InstanceKey,
    },
    /// A service's term ends: a new primary is needed.
    ServiceTermEnded {
        /// The service.
        service: Arc<str>,
        /// Number of the term that ends.
        number: u64,
        /// The change is planned, as the primary drains; false after a failure.
        planned: bool,
    },
    /// A database was chosen to become primary of a service's next term.
    ServicePrimaryChosen {
        /// The service.
        service: Arc<str>,
        /// Number of the term that ended.
        number: u64,
        /// Chosen database.
        chosen: InstanceKey,
        /// Term, as databases count them, above which it must lead.
        #[serde(default)]
        above_term: u64,
    },
    /// The chosen database is primary: the next term starts.
    ServiceTermStarted {
        /// The service.
        service: Arc<str>,
        /// Number of the term that ended.
        number: u64,
        /// The drain period of the chosen database is over: the term starts with a
        /// planned change, so that no host uses it. Older builds do not send it.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        drained: bool,
    },
    /// Enough replicas hold what these lost databases may have held alone.
    ServiceLossCovered {
        /// The service.
        service: Arc<str>,
        /// Number of the term.
        number: u64,
        /// The lost databases.
        lost: Vec<InstanceKey>,
    },
}

impl ControlCommand {
    /// About the size in a message of a command that is not a configuration, in bytes.
    pub const SMALL_BYTES: usize = 256;

    /// About the size of the command in a message, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        match self {
            Self::RoutesReplaced { table, .. } => Self::SMALL_BYTES + table.approximate_bytes(),
            _ => Self::SMALL_BYTES,
        }
    }
}
