//! Injects faults into primaries of a running cluster and measures for how long
//! writes are interrupted.

mod fault_kind;
mod fault_run;

pub use fault_kind::FaultKind;
pub use fault_run::{FaultPlan, FaultRecord, FaultSummary, run_faults, summarize};
