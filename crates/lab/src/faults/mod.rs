//! Faults against real daemons, and the gap in writes that each leaves.

mod fault_kind;
mod fault_run;

pub use fault_kind::FaultKind;
pub use fault_run::{FaultPlan, FaultRecord, FaultSummary, run_faults, summarize};
