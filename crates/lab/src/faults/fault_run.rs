use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::FaultKind;
use crate::{
    cluster::{ClusterError, ClusterPlan, LabCaller, LabCluster},
    deployments::Deployment,
    upstreams::{Fault, StandInGroup, TakenOrder},
};

/// Callers that write without pause.
const WRITERS: usize = 6;
/// Time between a writer's writes.
const WRITE_PAUSE: Duration = Duration::from_millis(2);
/// Time before each fault.
const QUIET_TIME: Duration = Duration::from_millis(700);
/// Longest wait for a write after a fault.
const GAP_LIMIT: Duration = Duration::from_secs(20);

/// What to run.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Sizes and delays of the upstreams.
    pub deployment: Deployment,
    /// Rounds of each kind of fault.
    pub rounds: u32,
    /// Seed of the stand-ins.
    pub seed: u64,
}

/// What followed one fault. Times in milliseconds from the fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FaultRecord {
    /// The fault.
    pub kind: FaultKind,
    /// Its number within the kind.
    pub round: u32,
    /// Term before it.
    pub term_before: u64,
    /// Term once writes ran again.
    pub term_after: u64,
    /// First write sent after the fault and acknowledged.
    pub gap_ms: f64,
    /// First fence that a database took: the failure was detected and the
    /// change committed.
    pub detected_ms: Option<f64>,
    /// The promotion: homes were fenced and positions read.
    pub promoted_ms: Option<f64>,
}

/// Distribution of the gaps of one kind, in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FaultSummary {
    /// The fault.
    pub kind: FaultKind,
    /// Rounds.
    pub rounds: usize,
    /// Changes of primary.
    pub changes: usize,
    /// Shortest gap.
    pub min_ms: f64,
    /// Median gap.
    pub p50_ms: f64,
    /// 99th percentile of the gap.
    pub p99_ms: f64,
    /// Longest gap.
    pub max_ms: f64,
    /// Median time to the first fence.
    pub detected_ms: Option<f64>,
    /// Median time to the promotion.
    pub promoted_ms: Option<f64>,
}

/// A write that was acknowledged.
#[derive(Debug, Clone, Copy)]
struct AcknowledgedWrite {
    sent_at: Instant,
    answered_at: Instant,
}

type SharedWrites = Arc<Mutex<Vec<AcknowledgedWrite>>>;

/// Runs every kind of fault the stated number of times, one at a time.
///
/// # Errors
/// `ClusterError` if the cluster does not start, or writes never run again.
pub async fn run_faults(
    plan: &FaultPlan,
    mut report: impl FnMut(&FaultRecord),
) -> Result<Vec<FaultRecord>, ClusterError> {
    let deployment = Deployment { instances: 1, ..plan.deployment.clone() };
    let cluster_plan =
        ClusterPlan { deployment, daemons: 3, voters: 3, gateways_per_group: 3, seed: plan.seed };
    let cluster = LabCluster::start(cluster_plan).await?;
    let writes = SharedWrites::default();
    let cancel = CancellationToken::new();
    start_writers(&cluster, &writes, &cancel).await?;
    let mut records = Vec::new();
    for round in 0..plan.rounds {
        for kind in FaultKind::ALL {
            let record = run_fault(&cluster, &writes, kind, round).await?;
            report(&record);
            records.push(record);
            cluster.wait_until_serving().await?;
        }
    }
    cancel.cancel();
    Ok(records)
}

async fn start_writers(
    cluster: &LabCluster,
    writes: &SharedWrites,
    cancel: &CancellationToken,
) -> Result<(), ClusterError> {
    let group = cluster.group_name(0);
    let daemons = cluster.caller_addresses();
    let first = LabCaller::connect(daemons[0], &group, &[]).await;
    let first = first.map_err(|failure| ClusterError::Request { text: failure.text })?;
    let created = first.simple_query("CREATE TABLE marks (writer BIGINT, number BIGINT)").await;
    created.map_err(|failure| ClusterError::Request { text: failure.text })?;
    for writer in 0..WRITERS {
        let daemon = daemons[writer % daemons.len()];
        let (group, writes, cancel) = (group.clone(), writes.clone(), cancel.clone());
        tokio::spawn(async move {
            while !cancel.is_cancelled() {
                let Ok(caller) = LabCaller::connect(daemon, &group, &[]).await else {
                    sleep(WRITE_PAUSE).await;
                    continue;
                };
                write_on(&caller, writer, &writes, &cancel).await;
            }
        });
    }
    Ok(())
}

async fn write_on(
    caller: &LabCaller,
    writer: usize,
    writes: &SharedWrites,
    cancel: &CancellationToken,
) {
    while !cancel.is_cancelled() {
        let sent_at = Instant::now();
        let written = caller.simple_query(&format!("INSERT INTO marks VALUES ({writer}, 1)")).await;
        match written {
            Ok(_) => {
                let write = AcknowledgedWrite { sent_at, answered_at: Instant::now() };
                writes.lock().unwrap_or_else(PoisonError::into_inner).push(write);
            }
            Err(failure) if failure.connection_lost => return,
            Err(_) => {}
        }
        sleep(WRITE_PAUSE).await;
    }
}

async fn run_fault(
    cluster: &LabCluster,
    writes: &SharedWrites,
    kind: FaultKind,
    round: u32,
) -> Result<FaultRecord, ClusterError> {
    sleep(QUIET_TIME).await;
    let group = &cluster.groups[0];
    let no_primary = || ClusterError::Timeout { what: "a primary".to_owned() };
    let primary = group.primary().ok_or_else(no_primary)?;
    let term_before = primary.core().status().term;
    writes.lock().unwrap_or_else(PoisonError::into_inner).clear();
    let failed_at = Instant::now();
    primary.faults.set(kind.fault());
    let healed = tokio::spawn({
        let primary = primary.clone();
        async move {
            sleep(kind.length()).await;
            primary.faults.set(Fault::None);
        }
    });
    let answered_at = first_write_after(writes, failed_at).await?;
    let _ = healed.await;
    sleep(QUIET_TIME).await;
    let since = |at: Instant| at.duration_since(failed_at).as_secs_f64() * 1_000.0;
    Ok(FaultRecord {
        kind,
        round,
        term_before,
        term_after: group.primary().ok_or_else(no_primary)?.core().status().term,
        gap_ms: since(answered_at),
        detected_ms: first_order(group, "hawthornstack_fence", failed_at).map(since),
        promoted_ms: first_order(group, "hawthornstack_promote", failed_at).map(since),
    })
}

async fn first_write_after(
    writes: &SharedWrites,
    failed_at: Instant,
) -> Result<Instant, ClusterError> {
    while failed_at.elapsed() < GAP_LIMIT {
        let first = {
            let writes = writes.lock().unwrap_or_else(PoisonError::into_inner);
            let later = writes.iter().filter(|write| write.sent_at >= failed_at);
            later.map(|write| write.answered_at).min()
        };
        if let Some(first) = first {
            return Ok(first);
        }
        sleep(Duration::from_millis(2)).await;
    }
    Err(ClusterError::Timeout { what: "a write after the fault".to_owned() })
}

fn first_order(group: &StandInGroup, function: &str, after: Instant) -> Option<Instant> {
    let orders = group.databases.iter().flat_map(|database| {
        database.orders.lock().unwrap_or_else(PoisonError::into_inner).clone()
    });
    let fits = |order: &TakenOrder| order.function == function && order.at >= after;
    orders.filter(fits).map(|order| order.at).min()
}

/// Distributions of the gaps, a line for each kind.
pub fn summarize(records: &[FaultRecord]) -> Vec<FaultSummary> {
    FaultKind::ALL
        .into_iter()
        .filter_map(|kind| {
            summarize_kind(records.iter().filter(|r| r.kind == kind).collect(), kind)
        })
        .collect()
}

fn summarize_kind(records: Vec<&FaultRecord>, kind: FaultKind) -> Option<FaultSummary> {
    let gaps = sorted(records.iter().map(|record| record.gap_ms));
    let detected = sorted(records.iter().filter_map(|record| record.detected_ms));
    let promoted = sorted(records.iter().filter_map(|record| record.promoted_ms));
    Some(FaultSummary {
        kind,
        rounds: records.len(),
        changes: records.iter().filter(|r| r.term_after > r.term_before).count(),
        min_ms: *gaps.first()?,
        p50_ms: quantile(&gaps, 0.5)?,
        p99_ms: quantile(&gaps, 0.99)?,
        max_ms: *gaps.last()?,
        detected_ms: quantile(&detected, 0.5),
        promoted_ms: quantile(&promoted, 0.5),
    })
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * share).round() as usize).copied()
}
