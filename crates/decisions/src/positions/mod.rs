//! Log positions, branches of the log, and which positions a database holds.

mod branch_history;
mod log_position;
mod primary_samples;

pub use branch_history::{BranchHistory, BranchStart};
pub use log_position::LogPosition;
pub use primary_samples::PrimarySamples;
