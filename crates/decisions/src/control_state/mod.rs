//! The replicated control state and the commands that change it: services,
//! groups, hosts, routes, primaries, plans and the audit trail.

mod audit_record;
mod control_command;
mod declaration;
mod group_record;
mod host_record;
mod plan;
mod replicated_state;
mod service_terms;

pub use audit_record::{AuditRecord, verify_chain};
pub use control_command::ControlCommand;
pub use declaration::{Declaration, DeclarationError, ServiceDeclaration};
pub use group_record::{GroupPhase, GroupRecord, MemberRecord, MemberStanding};
pub use host_record::HostRecord;
pub use plan::{Intent, Plan, PlannedChange};
pub use replicated_state::{ConfirmationResult, ControlState};
