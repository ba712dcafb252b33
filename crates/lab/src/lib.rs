//! Stand-in upstreams, histories and experiments for hawthornstack.

pub mod cluster;
pub mod demo;
pub mod deployments;
pub mod history;
pub mod upstreams;
