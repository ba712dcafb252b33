//! The primary database of each service, and changes of primary.

mod service_term;
mod suspicion_poll;
mod term_change;

pub use service_term::{ServiceTerm, TermPhase};
pub use suspicion_poll::SuspicionPoll;
pub use term_change::{HolderView, InstanceStatus, SuccessionRules, TermChange, TermStep};
