//! The two users' deployments, as sizes and delays.

mod deployment;

pub use deployment::{Deployment, DeploymentName};
