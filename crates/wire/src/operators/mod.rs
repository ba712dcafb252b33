//! Operators' and upstreams' interface: JSON over HTTP.

mod messages;

pub use messages::{
    ConfirmRequest, ConfirmResponse, ErrorResponse, GroupStatus, HostStatus, MemberStatus,
    PlanRequest, PlanResponse, StatusResponse,
};

/// Path that takes announcements.
pub const ANNOUNCE_PATH: &str = "/v1/announcements";
/// Path that takes intents and answers with plans.
pub const PLAN_PATH: &str = "/v1/plans";
/// Path that takes confirmations.
pub const CONFIRM_PATH: &str = "/v1/confirmations";
/// Path that answers with the state of the system as seen by one host.
pub const STATUS_PATH: &str = "/v1/status";
/// Path that answers with the audit trail.
pub const AUDIT_PATH: &str = "/v1/audit";
/// Path that answers with metrics in the Prometheus text form.
pub const METRICS_PATH: &str = "/metrics";
/// Path that tells the balancer whether to send callers here.
pub const HEALTH_PATH: &str = "/health";
