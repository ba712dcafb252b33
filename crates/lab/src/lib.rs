//! Stand-in upstreams, recorded histories and experiments for hawthornstack.

pub mod cluster;
pub mod demo;
pub mod deployments;
pub mod faults;
pub mod history;
pub mod latency;
pub mod load;
pub mod slopes;
pub mod standalone;
pub mod upstreams;
