use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
};

use snafu::ResultExt;

use super::fault_routes;
use crate::{
    cluster::{ClusterError, SystemSnafu, UpstreamSnafu, stand_in_settings},
    deployments::Deployment,
    upstreams::{StandInGroup, announce_forever},
};

/// Settings of a standalone run.
#[derive(Debug, Clone)]
pub struct StandalonePlan {
    /// Sizes and delays of the upstreams.
    pub deployment: Deployment,
    /// Operator addresses of the daemons that the databases announce themselves to.
    pub daemons: Vec<SocketAddr>,
    /// Listening address of the fault port.
    pub fault_address: SocketAddr,
    /// Seed of the replication jitter.
    pub seed: u64,
}

/// Runs the deployment's upstreams until the process is ended.
///
/// # Errors
/// `ClusterError` if the deployment is not valid, or if a port or an SQL engine
/// cannot be opened.
pub async fn run_standalone(plan: &StandalonePlan) -> Result<(), ClusterError> {
    let mut databases = Vec::new();
    for instance in 1..=plan.deployment.instances {
        let settings = stand_in_settings(&plan.deployment, instance)?;
        let seed = plan.seed + u64::from(instance) * 100;
        let group = StandInGroup::start(settings, seed).await.context(UpstreamSnafu)?;
        databases.extend(group.databases.iter().cloned());
    }
    for database in &databases {
        eprintln!("{} listens on {}.", database.settings.database, database.address);
        let leaving = Arc::new(AtomicBool::new(false));
        tokio::spawn(announce_forever(database.clone(), plan.daemons.clone(), leaving));
    }
    let listener = tokio::net::TcpListener::bind(plan.fault_address).await.context(SystemSnafu)?;
    eprintln!("The fault port listens on {}.", plan.fault_address);
    axum::serve(listener, fault_routes(databases)).await.context(SystemSnafu)
}
