//! Daemons and stand-in upstreams in one process, for demos and experiments.

mod cluster_error;
mod lab_caller;
mod lab_cluster;
mod operator_client;
mod running_daemon;

pub use cluster_error::ClusterError;
pub(crate) use cluster_error::{SystemSnafu, UpstreamSnafu};
pub use lab_caller::{CallFailure, LabCaller, SimpleQueryResult};
pub(crate) use lab_cluster::stand_in_settings;
pub use lab_cluster::{ClusterPlan, LabCluster};
pub use operator_client::OperatorClient;
