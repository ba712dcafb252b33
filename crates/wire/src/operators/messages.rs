use std::{net::SocketAddr, sync::Arc};

use hawthornstack_decisions::{
    control_state::{Intent, PlannedChange, ServiceDeclaration},
    identity::{DataCentre, DatabaseName, GroupName, HostId},
};
use serde::{Deserialize, Serialize};

/// Asks for a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRequest {
    /// What the operator wants.
    pub intent: Intent,
}

/// A plan to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanResponse {
    /// Identity of the plan, for its confirmation.
    pub id: Arc<str>,
    /// Configuration version that it was made on.
    pub base_version: u64,
    /// The steps, for programs.
    pub changes: Vec<PlannedChange>,
    /// The steps, one sentence each.
    pub steps: Vec<String>,
}

/// Confirms a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmRequest {
    /// Identity of this request; a repeat gets the first answer.
    pub request: Arc<str>,
    /// The plan.
    pub plan: Arc<str>,
    /// Who confirms.
    pub operator: Arc<str>,
}

/// How a confirmation ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmResponse {
    /// Number of the result code.
    pub code: u16,
    /// One sentence on it.
    pub text: String,
    /// Configuration version after it.
    pub version: u64,
    /// What changed since the plan's base, if it was refused for that.
    pub changed_since: Vec<String>,
}

/// A refused request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Number of the result code.
    pub code: u16,
    /// What is wrong.
    pub text: String,
    /// How to mend it.
    pub mend: String,
    /// Number of the host to ask instead, if known.
    pub leader: Option<HostId>,
}

/// One database of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub database: DatabaseName,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// How far it has come in its group.
    pub standing: String,
    /// `primary` or `replica`, as last reported here; empty if unknown.
    pub role: String,
    /// Last reported position, as `TERM/OFFSET`; empty if unknown.
    pub position: String,
    /// Connections in use by the answering host.
    pub in_use: u32,
}

/// One group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Its name.
    pub group: GroupName,
    /// Term in force.
    pub term: u64,
    /// Primary of that term.
    pub primary: DatabaseName,
    /// `steady`, `fencing` or `promoting`.
    pub phase: String,
    /// Hosts that hold its connections.
    pub homes: Vec<HostId>,
    /// Its databases.
    pub members: Vec<MemberStatus>,
    /// Requests that wait on the answering host.
    pub waiting: usize,
}

/// One host of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Its number.
    pub host: HostId,
    /// Where other hosts reach it.
    pub peer_address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// It takes no new callers.
    pub draining: bool,
}

/// The system as one host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The answering host.
    pub host: HostId,
    /// Control's leader, as far as known.
    pub leader: Option<HostId>,
    /// The answering host leads and can prove it.
    pub is_current_leader: bool,
    /// The answering host may serve.
    pub has_lease: bool,
    /// Configuration version in force on the answering host.
    pub version: u64,
    /// Log entries applied on the answering host.
    pub applied: u64,
    /// Services by name.
    pub services: Vec<(Arc<str>, ServiceDeclaration)>,
    /// Groups.
    pub groups: Vec<GroupStatus>,
    /// Hosts.
    pub hosts: Vec<HostStatus>,
}
