use std::{net::SocketAddr, sync::Arc, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tokio::{sync::Mutex, time::Instant};

use crate::{
    cluster::{CallFailure, ClusterError, ClusterPlan, LabCaller, LabCluster},
    deployments::Deployment,
};

/// Statement that all callers send.
const READ_SQL: &str = "SELECT value FROM items WHERE item = 7";

/// Settings of a latency run.
#[derive(Debug, Clone)]
pub struct LatencyPlan {
    /// Sizes and delays of the upstreams.
    pub deployment: Deployment,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Length of each of the six measurements.
    pub length: Duration,
    /// Seed of the stand-in databases.
    pub seed: u64,
}

/// Throughput and latency of one path to the database.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PathFigures {
    /// Requests answered per second.
    pub per_second: f64,
    /// Median latency, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency, in microseconds.
    pub p99_us: u64,
}

/// Comparison of direct and proxied requests in one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Measured directly at the database.
    pub direct: PathFigures,
    /// Measured through one daemon, whose only database this is.
    pub proxied: PathFigures,
    /// Median latency through the daemon, divided by the direct one.
    pub p50_ratio: f64,
    /// Throughput through the daemon, divided by the direct one.
    pub throughput_ratio: f64,
}

/// Measures reads of the same database, alternating between direct connections
/// and connections through one daemon.
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
    let setup_caller = connect(daemon, &group).await?;
    for sql in ["CREATE TABLE items (item BIGINT, value BIGINT)", "INSERT INTO items VALUES (7, 1)"]
    {
        setup_caller.simple_query(sql).await.map_err(request_error)?;
    }
    let mut direct = Vec::new();
    let mut proxied = Vec::new();
    for _ in 0..3 {
        direct.push(measure_path(database, &group, plan).await?);
        proxied.push(measure_path(daemon, &group, plan).await?);
    }
    let direct = median_run(direct);
    let proxied = median_run(proxied);
    Ok(LatencyReport {
        callers: plan.callers,
        p50_ratio: proxied.p50_us as f64 / direct.p50_us as f64,
        throughput_ratio: proxied.per_second / direct.per_second,
        direct,
        proxied,
    })
}

fn request_error(failure: CallFailure) -> ClusterError {
    ClusterError::Request { text: failure.text }
}

async fn connect(address: SocketAddr, group: &str) -> Result<LabCaller, ClusterError> {
    LabCaller::connect(address, group, &[]).await.map_err(request_error)
}

/// Returns the measurement with the median throughput.
fn median_run(mut runs: Vec<PathFigures>) -> PathFigures {
    runs.sort_by(|a, b| a.per_second.total_cmp(&b.per_second));
    runs.swap_remove(runs.len() / 2)
}

async fn measure_path(
    address: SocketAddr,
    group: &str,
    plan: &LatencyPlan,
) -> Result<PathFigures, ClusterError> {
    let invalid =
        |error: hdrhistogram::CreationError| ClusterError::Invalid { text: error.to_string() };
    let latencies = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(invalid)?;
    let latencies = Arc::new(Mutex::new(latencies));
    let mut callers = Vec::new();
    for _ in 0..plan.callers {
        callers.push(connect(address, group).await?);
    }
    let started_at = Instant::now();
    let ends_at = started_at + plan.length;
    let tasks: Vec<_> = callers
        .into_iter()
        .map(|caller| tokio::spawn(send_reads_until(caller, ends_at, latencies.clone())))
        .collect();
    for task in tasks {
        task.await.map_err(|error| ClusterError::Invalid { text: error.to_string() })??;
    }
    let elapsed = started_at.elapsed().as_secs_f64();
    let latencies = latencies.lock().await;
    Ok(PathFigures {
        per_second: latencies.len() as f64 / elapsed,
        p50_us: latencies.value_at_quantile(0.5),
        p99_us: latencies.value_at_quantile(0.99),
    })
}

async fn send_reads_until(
    caller: LabCaller,
    ends_at: Instant,
    latencies: Arc<Mutex<Histogram<u64>>>,
) -> Result<(), ClusterError> {
    while Instant::now() < ends_at {
        let sent_at = Instant::now();
        caller.simple_query(READ_SQL).await.map_err(request_error)?;
        latencies.lock().await.saturating_record(sent_at.elapsed().as_micros() as u64);
    }
    Ok(())
}
