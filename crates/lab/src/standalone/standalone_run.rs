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

/// What to run.
#[derive(Debug, Clone)]
pub struct StandalonePlan {
    /// Sizes and delays of the upstreams.
    pub deployment: Deployment,
    /// Operators' addresses of daemons that take the announcements.
    pub daemons: Vec<SocketAddr>,
    /// Where faults are set.
    pub control: SocketAddr,
    /// Seed of lag and jitter.
    pub seed: u64,
}

/// Runs the deployment's upstreams until the process is ended.
///
/// # Errors
/// `ClusterError` if a port cannot be opened.
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
        let stays = Arc::new(AtomicBool::new(false));
        tokio::spawn(announce_forever(database.clone(), plan.daemons.clone(), stays));
    }
    let listener = tokio::net::TcpListener::bind(plan.control).await.context(SystemSnafu)?;
    eprintln!("Faults are set on {}.", plan.control);
    axum::serve(listener, fault_routes(databases)).await.context(SystemSnafu)
}
