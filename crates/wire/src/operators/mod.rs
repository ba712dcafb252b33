//! HTTP interface for operators, upstreams and the load balancer. Bodies are JSON
//! except for metrics.

mod messages;

pub use messages::{
    ConfirmRequest, ConfirmResponse, ErrorResponse, GroupStatus, HostStatus, MemberStatus,
    PlanRequest, PlanResponse, StatusResponse, WorkspaceStatus,
};

/// `POST`: announcement of a database.
pub const ANNOUNCE_PATH: &str = "/v1/announcements";
/// `POST`: an intent; the answer is a plan.
pub const PLAN_PATH: &str = "/v1/plans";
/// `POST`: confirmation of a plan.
pub const CONFIRM_PATH: &str = "/v1/confirmations";
/// `GET`: state of the system as seen by the answering host.
pub const STATUS_PATH: &str = "/v1/status";
/// `GET`: audit trail.
pub const AUDIT_PATH: &str = "/v1/audit";
/// `GET`: metrics in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";
/// `GET`: health check of the load balancer; 200 while the host accepts new
/// callers, otherwise 503.
pub const HEALTH_PATH: &str = "/health";
