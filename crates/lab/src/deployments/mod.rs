//! Sizes and delays of the two users' deployments.

mod deployment;

pub use deployment::{Deployment, DeploymentName};
