//! Stand-in upstreams as a process of their own, with a port for faults.

mod fault_routes;
mod standalone_run;

pub use fault_routes::{FaultRequest, fault_routes};
pub use standalone_run::{StandalonePlan, run_standalone};
