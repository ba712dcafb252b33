//! Stand-in upstreams in a separate process, with an HTTP port for fault
//! injection.

mod fault_routes;
mod standalone_run;

pub use fault_routes::{FaultRequest, fault_routes};
pub use standalone_run::{StandalonePlan, run_standalone};
