use std::{net::SocketAddr, sync::Arc, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tokio::{sync::Mutex, time::Instant};

use crate::{
    cluster::{CallFailure, ClusterError, ClusterPlan, LabCaller, LabCluster},
    deployments::Deployment,
};

/// Statement of all reads.
const READ: &str = "SELECT value FROM items WHERE item = 7";

/// What to run.
#[derive(Debug, Clone)]
pub struct LatencyPlan {
    /// Sizes and delays of the upstreams.
    pub deployment: Deployment,
    /// Concurrent callers.
    pub callers: usize,
    /// Length of each run.
    pub length: Duration,
    /// Seed of the stand-ins.
    pub seed: u64,
}

/// Figures of one path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PathFigures {
    /// Requests answered in a second.
    pub per_second: f64,
    /// Median time, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the time, in microseconds.
    pub p99_us: u64,
}

/// Direct and proxied, in one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// Concurrent callers.
    pub callers: usize,
    /// Straight to one database.
    pub direct: PathFigures,
    /// Through one daemon to the same database alone.
    pub proxied: PathFigures,
    /// Median proxied over direct.
    pub p50_ratio: f64,
    /// Throughput proxied over direct.
    pub throughput_ratio: f64,
}

/// Reads from the same database, straight and through one daemon, in turns.
///
/// # Errors
/// `ClusterError` if the cluster does not start or a request fails.
pub async fn run_latency(plan: &LatencyPlan) -> Result<LatencyReport, ClusterError> {
    let deployment = Deployment { instances: 1, databases: 1, ..plan.deployment.clone() };
    let cluster_plan =
        ClusterPlan { deployment, daemons: 1, voters: 1, gateways_per_group: 1, seed: plan.seed };
    let cluster = LabCluster::start(cluster_plan).await?;
    let group = cluster.group_name(0);
    let daemon = cluster.caller_addresses()[0];
    let database = cluster.groups[0].databases[0].address;
    let first = connect(daemon, &group).await?;
    for sql in ["CREATE TABLE items (item BIGINT, value BIGINT)", "INSERT INTO items VALUES (7, 1)"]
    {
        first.simple_query(sql).await.map_err(failed)?;
    }
    let mut direct = Vec::new();
    let mut proxied = Vec::new();
    for _ in 0..3 {
        direct.push(measure(database, &group, plan).await?);
        proxied.push(measure(daemon, &group, plan).await?);
    }
    let direct = median(direct);
    let proxied = median(proxied);
    Ok(LatencyReport {
        callers: plan.callers,
        p50_ratio: proxied.p50_us as f64 / direct.p50_us as f64,
        throughput_ratio: proxied.per_second / direct.per_second,
        direct,
        proxied,
    })
}

fn failed(failure: CallFailure) -> ClusterError {
    ClusterError::Request { text: failure.text }
}

async fn connect(address: SocketAddr, group: &str) -> Result<LabCaller, ClusterError> {
    LabCaller::connect(address, group, &[]).await.map_err(failed)
}

/// The run with the median throughput.
fn median(mut runs: Vec<PathFigures>) -> PathFigures {
    runs.sort_by(|a, b| a.per_second.total_cmp(&b.per_second));
    runs.swap_remove(runs.len() / 2)
}

async fn measure(
    address: SocketAddr,
    group: &str,
    plan: &LatencyPlan,
) -> Result<PathFigures, ClusterError> {
    let invalid =
        |error: hdrhistogram::CreationError| ClusterError::Invalid { text: error.to_string() };
    let times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(invalid)?;
    let times = Arc::new(Mutex::new(times));
    let mut callers = Vec::new();
    for _ in 0..plan.callers {
        callers.push(connect(address, group).await?);
    }
    let started_at = Instant::now();
    let ends_at = started_at + plan.length;
    let tasks: Vec<_> = callers
        .into_iter()
        .map(|caller| tokio::spawn(read_until(caller, ends_at, times.clone())))
        .collect();
    for task in tasks {
        task.await.map_err(|error| ClusterError::Invalid { text: error.to_string() })??;
    }
    let elapsed = started_at.elapsed().as_secs_f64();
    let times = times.lock().await;
    Ok(PathFigures {
        per_second: times.len() as f64 / elapsed,
        p50_us: times.value_at_quantile(0.5),
        p99_us: times.value_at_quantile(0.99),
    })
}

async fn read_until(
    caller: LabCaller,
    ends_at: Instant,
    times: Arc<Mutex<Histogram<u64>>>,
) -> Result<(), ClusterError> {
    while Instant::now() < ends_at {
        let sent_at = Instant::now();
        caller.simple_query(READ).await.map_err(failed)?;
        times.lock().await.saturating_record(sent_at.elapsed().as_micros() as u64);
    }
    Ok(())
}
