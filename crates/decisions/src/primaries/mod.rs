//! The primary database of each service, and changes of primary.

mod catch_up_probe;
mod log_reports;
mod service_term;
mod suspicion_poll;
mod term_change;

pub use catch_up_probe::CatchUpProbe;
pub use service_term::{LostDatabase, ServiceTerm, TermPhase};
pub use suspicion_poll::SuspicionPoll;
pub use term_change::{HolderView, InstanceStatus, SuccessionRules, TermChange, TermStep};
