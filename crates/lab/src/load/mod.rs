//! Open-loop load at a given multiple of the databases' capacity.

mod load_profile;
mod load_report;
mod load_run;

pub use load_profile::LoadProfile;
pub use load_report::LoadReport;
pub use load_run::{LoadPlan, run_load};
