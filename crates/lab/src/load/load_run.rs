use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hawthornstack_decisions::outcomes::Outcome;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep_until};

use super::{LoadProfile, LoadReport, load_profile::LoadStatement};
use crate::{
    cluster::{CallFailure, ClusterError, ClusterPlan, LabCaller, LabCluster},
    deployments::Deployment,
};

/// User names of the callers; each offers the same load.
const CALLER_NAMES: [&str; 4] = ["agency-1", "agency-2", "agency-3", "agency-4"];
/// Latency up to which an answer counts as goodput; also the timeout that the
/// callers set.
const DEADLINE: Duration = Duration::from_millis(500);
/// Time that a statement occupies a slot, in place of the deployment's.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Rows that the statements read and update.
const ITEM_COUNT: u64 = 200;
/// Connections of each caller.
const CONNECTIONS_PER_CALLER: usize = 400;

/// Settings of a load run.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Sizes and delays of the upstreams.
    pub deployment: Deployment,
    /// Mix of statements.
    pub profile: LoadProfile,
    /// Multiple of the databases' capacity.
    pub factor: f64,
    /// Length of the run.
    pub length: Duration,
    /// Number of daemons.
    pub daemons: u32,
    /// Seed of the arrival times and the stand-in databases.
    pub seed: u64,
}

/// Request counters of one caller.
#[derive(Debug, Default)]
struct CallerCounts {
    sent: AtomicU64,
    in_time: AtomicU64,
    late: AtomicU64,
    refused: AtomicU64,
    unknown: AtomicU64,
}

/// Idle connections of one caller.
type IdleConnections = Arc<Mutex<Vec<LabCaller>>>;

/// Counters, latencies and idle connections of a run.
struct LoadState {
    counts: Arc<[CallerCounts; 4]>,
    latencies: Arc<Mutex<Histogram<u64>>>,
    idle: Vec<IdleConnections>,
}

fn request_error(failure: CallFailure) -> ClusterError {
    ClusterError::Request { text: failure.text }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends requests at their due times, whether or not earlier ones were
/// answered (open loop).
///
/// # Errors
/// `ClusterError` if the cluster does not start or its table cannot be created.
pub async fn run_load(plan: &LoadPlan) -> Result<LoadReport, ClusterError> {
    let deployment =
        Deployment { instances: 1, service_time: SERVICE_TIME, ..plan.deployment.clone() };
    let capacity = plan.profile.capacity(deployment.slots, deployment.databases, SERVICE_TIME);
    let cluster_plan = ClusterPlan {
        deployment,
        daemons: plan.daemons,
        voters: 3,
        gateways_per_group: 3,
        seed: plan.seed,
    };
    let cluster = LabCluster::start(cluster_plan).await?;
    let state = prepare_load(&cluster).await?;
    let offered = capacity * plan.factor;
    let started_at = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut due = started_at;
    let mut tasks = Vec::new();
    let mut request_number = 0_usize;
    while due.duration_since(started_at) < plan.length {
        // Poisson arrivals: the intervals are exponentially distributed.
        let interval = -rng.random_range(f64::EPSILON..1.0_f64).ln() / offered;
        due += Duration::from_secs_f64(interval);
        sleep_until(due).await;
        let caller = request_number % CALLER_NAMES.len();
        request_number += 1;
        let statement = plan.profile.choose_statement(&mut rng);
        let item = rng.random_range(0..ITEM_COUNT);
        tasks.push(tokio::spawn(send_request(state.request_context(caller), statement, item, due)));
    }
    for task in tasks {
        let _ = task.await;
    }
    Ok(build_report(plan, offered, &cluster, &state))
}

/// Creates the table and opens all connections.
async fn prepare_load(cluster: &LabCluster) -> Result<LoadState, ClusterError> {
    let group = cluster.group_name(0);
    let daemons = cluster.caller_addresses();
    let setup_caller = LabCaller::connect(daemons[0], &group, &[]).await.map_err(request_error)?;
    setup_caller
        .simple_query("CREATE TABLE items (item BIGINT PRIMARY KEY, value BIGINT)")
        .await
        .map_err(request_error)?;
    let rows: Vec<String> = (0..ITEM_COUNT).map(|item| format!("({item}, 0)")).collect();
    let insert = format!("INSERT INTO items VALUES {}", rows.join(", "));
    setup_caller.simple_query(&insert).await.map_err(request_error)?;
    let settings = [format!("hawthornstack.timeout={}ms", DEADLINE.as_millis())];
    let mut idle = Vec::new();
    for name in CALLER_NAMES {
        let mut callers = Vec::new();
        for number in 0..CONNECTIONS_PER_CALLER {
            let daemon = daemons[number % daemons.len()];
            let caller = LabCaller::connect_as(daemon, &group, name, &settings).await;
            callers.push(caller.map_err(request_error)?);
        }
        idle.push(Arc::new(Mutex::new(callers)));
    }
    let latencies = Histogram::new_with_bounds(1, 60_000_000, 3)
        .map_err(|error| ClusterError::Invalid { text: error.to_string() })?;
    Ok(LoadState { counts: Arc::default(), latencies: Arc::new(Mutex::new(latencies)), idle })
}

/// What one request needs: the counters of all callers, and the idle connections
/// of its own.
struct RequestContext {
    caller: usize,
    counts: Arc<[CallerCounts; 4]>,
    latencies: Arc<Mutex<Histogram<u64>>>,
    idle: IdleConnections,
}

impl LoadState {
    fn request_context(&self, caller: usize) -> RequestContext {
        RequestContext {
            caller,
            counts: self.counts.clone(),
            latencies: self.latencies.clone(),
            idle: self.idle[caller].clone(),
        }
    }
}

async fn send_request(context: RequestContext, statement: LoadStatement, item: u64, due: Instant) {
    let counts = &context.counts[context.caller];
    counts.sent.fetch_add(1, Ordering::Relaxed);
    let idle_connection = lock(&context.idle).pop();
    let Some(connection) = idle_connection else {
        // Every connection of this caller is busy.
        counts.late.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let result = connection.simple_query(&statement.sql(item)).await;
    let elapsed = due.elapsed();
    match &result {
        Ok(_) if elapsed <= DEADLINE => {
            counts.in_time.fetch_add(1, Ordering::Relaxed);
            lock(&context.latencies).saturating_record(elapsed.as_micros() as u64);
        }
        Ok(_) => {
            counts.late.fetch_add(1, Ordering::Relaxed);
        }
        Err(failure) if failure.outcome == Outcome::DidNotRun => {
            counts.refused.fetch_add(1, Ordering::Relaxed);
        }
        Err(_) => {
            counts.unknown.fetch_add(1, Ordering::Relaxed);
        }
    }
    if !result.is_err_and(|failure| failure.connection_lost) {
        lock(&context.idle).push(connection);
    }
}

fn build_report(
    plan: &LoadPlan,
    offered: f64,
    cluster: &LabCluster,
    state: &LoadState,
) -> LoadReport {
    let sum = |count: fn(&CallerCounts) -> &AtomicU64| -> u64 {
        state.counts.iter().map(|counts| count(counts).load(Ordering::Relaxed)).sum()
    };
    let databases = || cluster.groups.iter().flat_map(|group| &group.databases);
    let sum_databases = |count: fn(&crate::upstreams::DatabaseCounters) -> &AtomicU64| -> u64 {
        databases().map(|database| count(&database.counters).load(Ordering::Relaxed)).sum()
    };
    let in_time: Vec<f64> =
        state.counts.iter().map(|counts| counts.in_time.load(Ordering::Relaxed) as f64).collect();
    let best = in_time.iter().copied().fold(0.0, f64::max);
    let worst = in_time.iter().copied().fold(f64::INFINITY, f64::min);
    let replica_reads = sum_databases(|c| &c.replica_reads) as f64;
    let reads = replica_reads + sum_databases(|c| &c.primary_reads) as f64;
    let statements = reads + sum_databases(|c| &c.writes) as f64;
    let latencies = lock(&state.latencies);
    let millis = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    LoadReport {
        factor: plan.factor,
        offered_per_second: offered,
        goodput_per_second: sum(|c| &c.in_time) as f64 / plan.length.as_secs_f64(),
        sent: sum(|c| &c.sent),
        late: sum(|c| &c.late),
        refused: sum(|c| &c.refused),
        unknown: sum(|c| &c.unknown),
        p50_ms: millis(0.5),
        p99_ms: millis(0.99),
        replica_read_share: replica_reads / reads.max(1.0),
        best_to_worst: best / worst.max(1.0),
        opened_per_thousand: sum_databases(|c| &c.opened) as f64 * 1_000.0 / statements.max(1.0),
        connections_refused: sum_databases(|c| &c.refused),
    }
}
