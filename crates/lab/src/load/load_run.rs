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

/// Callers' names, each with the same load.
const CALLER_NAMES: [&str; 4] = ["agency-1", "agency-2", "agency-3", "agency-4"];
/// Time within which an answer is good.
const DEADLINE: Duration = Duration::from_millis(500);
/// Time that a statement holds its slot under load.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Rows that the statements use.
const ITEMS: u64 = 200;
/// Connections of each name.
const CONNECTIONS: usize = 400;

/// What to run.
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
    /// Daemons.
    pub daemons: u32,
    /// Seed of arrivals and stand-ins.
    pub seed: u64,
}

/// Counts of one caller's name.
#[derive(Debug, Default)]
struct NameCounts {
    sent: AtomicU64,
    good: AtomicU64,
    late: AtomicU64,
    refused: AtomicU64,
    unknown: AtomicU64,
}

/// Idle connections of one name.
type IdleCallers = Arc<Mutex<Vec<LabCaller>>>;

struct LoadTarget {
    counts: Arc<[NameCounts; 4]>,
    times: Arc<Mutex<Histogram<u64>>>,
    idle: Vec<IdleCallers>,
}

fn failed(failure: CallFailure) -> ClusterError {
    ClusterError::Request { text: failure.text }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends requests at their due times, whether or not earlier ones were
/// answered.
///
/// # Errors
/// `ClusterError` if the cluster does not start.
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
    let target = prepare(&cluster).await?;
    let offered = capacity * plan.factor;
    let started_at = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut due = started_at;
    let mut tasks = Vec::new();
    let mut turn = 0_usize;
    while due.duration_since(started_at) < plan.length {
        let gap = -rng.random_range(f64::EPSILON..1.0_f64).ln() / offered;
        due += Duration::from_secs_f64(gap);
        sleep_until(due).await;
        let name = turn % CALLER_NAMES.len();
        turn += 1;
        let statement = plan.profile.choose(&mut rng);
        let item = rng.random_range(0..ITEMS);
        tasks.push(tokio::spawn(send(target.share(name), statement, item, due)));
    }
    for task in tasks {
        let _ = task.await;
    }
    Ok(report(plan, offered, &cluster, &target))
}

async fn prepare(cluster: &LabCluster) -> Result<LoadTarget, ClusterError> {
    let group = cluster.group_name(0);
    let daemons = cluster.caller_addresses();
    let first = LabCaller::connect(daemons[0], &group, &[]).await.map_err(failed)?;
    first
        .simple_query("CREATE TABLE items (item BIGINT PRIMARY KEY, value BIGINT)")
        .await
        .map_err(failed)?;
    let rows: Vec<String> = (0..ITEMS).map(|item| format!("({item}, 0)")).collect();
    let insert = format!("INSERT INTO items VALUES {}", rows.join(", "));
    first.simple_query(&insert).await.map_err(failed)?;
    let settings = [format!("hawthornstack.timeout={}ms", DEADLINE.as_millis())];
    let mut idle = Vec::new();
    for name in CALLER_NAMES {
        let mut callers = Vec::new();
        for number in 0..CONNECTIONS {
            let daemon = daemons[number % daemons.len()];
            let caller = LabCaller::connect_as(daemon, &group, name, &settings).await;
            callers.push(caller.map_err(failed)?);
        }
        idle.push(Arc::new(Mutex::new(callers)));
    }
    let times = Histogram::new_with_bounds(1, 60_000_000, 3)
        .map_err(|error| ClusterError::Invalid { text: error.to_string() })?;
    Ok(LoadTarget { counts: Arc::default(), times: Arc::new(Mutex::new(times)), idle })
}

/// What one request needs.
struct LoadShare {
    name: usize,
    counts: Arc<[NameCounts; 4]>,
    times: Arc<Mutex<Histogram<u64>>>,
    idle: IdleCallers,
}

impl LoadTarget {
    fn share(&self, name: usize) -> LoadShare {
        LoadShare {
            name,
            counts: self.counts.clone(),
            times: self.times.clone(),
            idle: self.idle[name].clone(),
        }
    }
}

async fn send(share: LoadShare, statement: LoadStatement, item: u64, due: Instant) {
    let counts = &share.counts[share.name];
    counts.sent.fetch_add(1, Ordering::Relaxed);
    let taken = lock(&share.idle).pop();
    let Some(caller) = taken else {
        // Every connection of this name waits for an answer.
        counts.late.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let answered = caller.simple_query(&statement.sql(item)).await;
    let elapsed = due.elapsed();
    match &answered {
        Ok(_) if elapsed <= DEADLINE => {
            counts.good.fetch_add(1, Ordering::Relaxed);
            lock(&share.times).saturating_record(elapsed.as_micros() as u64);
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
    if !answered.is_err_and(|failure| failure.connection_lost) {
        lock(&share.idle).push(caller);
    }
}

fn report(plan: &LoadPlan, offered: f64, cluster: &LabCluster, target: &LoadTarget) -> LoadReport {
    let sum = |count: fn(&NameCounts) -> &AtomicU64| -> u64 {
        target.counts.iter().map(|counts| count(counts).load(Ordering::Relaxed)).sum()
    };
    let databases = || cluster.groups.iter().flat_map(|group| &group.databases);
    let counted = |count: fn(&crate::upstreams::DatabaseCounters) -> &AtomicU64| -> u64 {
        databases().map(|database| count(&database.counters).load(Ordering::Relaxed)).sum()
    };
    let good: Vec<f64> =
        target.counts.iter().map(|counts| counts.good.load(Ordering::Relaxed) as f64).collect();
    let best = good.iter().copied().fold(0.0, f64::max);
    let worst = good.iter().copied().fold(f64::INFINITY, f64::min);
    let replica = counted(|c| &c.replica_reads) as f64;
    let reads = replica + counted(|c| &c.primary_reads) as f64;
    let statements = reads + counted(|c| &c.writes) as f64;
    let times = lock(&target.times);
    let millis = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1_000.0;
    LoadReport {
        factor: plan.factor,
        offered_per_second: offered,
        goodput_per_second: sum(|c| &c.good) as f64 / plan.length.as_secs_f64(),
        sent: sum(|c| &c.sent),
        late: sum(|c| &c.late),
        refused: sum(|c| &c.refused),
        unknown: sum(|c| &c.unknown),
        p50_ms: millis(0.5),
        p99_ms: millis(0.99),
        replica_read_share: replica / reads.max(1.0),
        best_to_worst: best / worst.max(1.0),
        opened_per_thousand: counted(|c| &c.opened) as f64 * 1_000.0 / statements.max(1.0),
        connections_refused: counted(|c| &c.refused),
    }
}
