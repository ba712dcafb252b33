use std::{net::SocketAddr, sync::Arc};

use hawthornstack_decisions::{
    control_state::{Intent, PlannedChange, ServiceDeclaration},
    identity::{DataCentre, DatabaseName, GroupName, HostId},
    routes::UsageCap,
};
use serde::{Deserialize, Serialize};

/// Request for a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRequest {
    /// The change that the operator wants.
    pub intent: Intent,
}

/// A plan for the operator to review and confirm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanResponse {
    /// Id of the plan, for `ConfirmRequest`.
    pub id: Arc<str>,
    /// Configuration version that the plan was made for.
    pub base_version: u64,
    /// The planned changes, for programs.
    pub changes: Vec<PlannedChange>,
    /// The planned changes as text, one sentence each.
    pub steps: Vec<String>,
}

/// Request to apply a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmRequest {
    /// Idempotency key: a repeated request gets the result of the first one.
    pub request: Arc<str>,
    /// Id of the plan.
    pub plan: Arc<str>,
    /// Name of the operator, for the audit trail.
    pub operator: Arc<str>,
}

/// Result of a confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmResponse {
    /// Number of the result code.
    pub code: u16,
    /// Description of the result code, one sentence.
    pub text: String,
    /// Configuration version after the confirmation.
    pub version: u64,
    /// Changes since the plan's base version, one sentence each, if they are why
    /// it was refused.
    pub changed_since: Vec<String>,
}

/// Answer to a refused request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Number of the result code.
    pub code: u16,
    /// Why the request was refused, one sentence.
    pub text: String,
    /// How to fix it.
    pub mend: String,
    /// The host to send the request to instead, if known.
    pub leader: Option<HostId>,
}

/// Status of one database of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the database, unique in the system.
    pub database: DatabaseName,
    /// Address at which it accepts PostgreSQL connections.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its membership in the group: `joining`, `counting`, `draining` or `left`.
    pub standing: String,
    /// `primary` or `replica`, as last reported to the answering host; empty if
    /// unknown.
    pub role: String,
    /// Last reported position, as `TERM/OFFSET`; empty if unknown.
    pub position: String,
    /// Number of its connections that the answering host has in use.
    pub in_use: u32,
}

/// Status of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Name of the group.
    pub group: GroupName,
    /// Current term.
    pub term: u64,
    /// Primary of that term.
    pub primary: DatabaseName,
    /// `steady`, `fencing` or `promoting`.
    pub phase: String,
    /// Gateway hosts, which hold the connections to its databases.
    pub homes: Vec<HostId>,
    /// Its databases.
    pub members: Vec<MemberStatus>,
    /// Number of requests queued for the group on the answering host.
    pub waiting: usize,
}

/// Status of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Number of the host.
    pub host: HostId,
    /// Address at which it accepts connections from other hosts.
    pub peer_address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// True if the host accepts no new callers.
    pub draining: bool,
}

/// Status of one workspace of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Number of its keys.
    pub keys: usize,
    /// Limit for its operations; `None` if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap: Option<UsageCap>,
}

/// State of the system as seen by the answering host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The answering host.
    pub host: HostId,
    /// Leader of the control group, if known.
    pub leader: Option<HostId>,
    /// True if the answering host is the leader and can prove it.
    pub is_current_leader: bool,
    /// True if the answering host may serve requests.
    pub has_lease: bool,
    /// Configuration version in force on the answering host.
    pub version: u64,
    /// Number of log entries applied on the answering host.
    pub applied: u64,
    /// Declared services, by name.
    pub services: Vec<(Arc<str>, ServiceDeclaration)>,
    /// All groups.
    pub groups: Vec<GroupStatus>,
    /// All hosts.
    pub hosts: Vec<HostStatus>,
    /// Workspaces of the configuration, without their keys.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<WorkspaceStatus>,
}
