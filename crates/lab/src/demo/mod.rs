//! The demo: runs daemons, upstreams and callers in one process and injects faults.

mod demo_caller;
mod demo_report;
mod demo_run;

pub use demo_report::DemoReport;
pub use demo_run::{DemoPlan, run_demo};
