use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{GroupRecord, HostRecord, MemberRecord, Plan};
use crate::{
    identity::{DatabaseName, GroupName, HostId},
    instances::{InstanceDeparture, InstanceKey, InstanceRecord},
    routes::RouteTable,
};

/// A change of the replicated configuration.
///
/// Each command states what it expects, and does nothing where that no longer
/// holds, so that repeats and races are harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// First entry of a leader's term.
    LeaderElected,
    /// A host is known to the system.
    HostJoined(HostRecord),
    /// A host is gone.
    HostLeft(HostId),
    /// A declared group has enough databases and starts.
    GroupFormed(GroupRecord),
    /// A database joins a group, not counting yet, or states a new address.
    MemberJoined(GroupName, MemberRecord),
    /// A joining database caught up and counts from now on.
    MemberCounts(GroupName, DatabaseName),
    /// A database said that it leaves and gets no new work.
    MemberDraining(GroupName, DatabaseName),
    /// A drained database is gone.
    MemberLeft(GroupName, DatabaseName),
    /// The gateways of a group change.
    #[serde(rename = "HomesAssigned")]
    GatewaysAssigned(GroupName, Vec<HostId>),
    /// The group's term is to be replaced.
    TermEnded {
        /// The group.
        group: GroupName,
        /// The highest term reserved so far.
        expected: u64,
        /// The change was asked for.
        planned: bool,
    },
    /// A database is to become primary of the reserved term.
    PrimaryChosen {
        /// The group.
        group: GroupName,
        /// The reserved term.
        next_term: u64,
        /// The database.
        chosen: DatabaseName,
    },
    /// The chosen database accepts writes in its term.
    TermStarted {
        /// The group.
        group: GroupName,
        /// The term.
        term: u64,
    },
    /// A plan that can be confirmed.
    PlanMade(Plan),
    /// An operator confirmed a plan.
    PlanConfirmed {
        /// Identity of the operator's request; a repeat gets the first answer.
        request: Arc<str>,
        /// The plan.
        plan: Arc<str>,
        /// Who confirmed.
        operator: Arc<str>,
        /// Wall-clock time, in milliseconds since 1970.
        at_unix_ms: u64,
    },
    /// An operator sent a whole configuration; the highest version wins.
    RoutesReplaced {
        /// The configuration.
        table: Arc<RouteTable>,
        /// Wall-clock time, in milliseconds since 1970.
        at_unix_ms: u64,
    },
    /// A database announced itself, or something about it changed; hosts that
    /// restart know by this where to look until it announces itself again.
    InstanceSeen(InstanceRecord),
    /// A database is gone.
    InstanceGone(InstanceDeparture),
    /// A host may hold leases from now on.
    HolderJoined(HostId),
    /// A host holds no lease and is forgotten.
    HolderLeft(HostId),
    /// The first primary of a service is known, or the primary started again.
    ServicePrimaryKnown {
        /// The service.
        service: Arc<str>,
        /// Its primary.
        primary: InstanceKey,
    },
    /// The service's primary is to be replaced.
    ServiceTermEnded {
        /// The service.
        service: Arc<str>,
        /// The term that ends.
        number: u64,
        /// The change was asked for.
        planned: bool,
    },
    /// A database is to lead the next term of a service.
    ServicePrimaryChosen {
        /// The service.
        service: Arc<str>,
        /// The term that ended.
        number: u64,
        /// The database.
        chosen: InstanceKey,
    },
    /// The chosen database leads.
    ServiceTermStarted {
        /// The service.
        service: Arc<str>,
        /// The term that ended.
        number: u64,
    },
}
