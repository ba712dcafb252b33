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
    upstreams::{Fault, ReceivedOrder, StandInGroup},
};

/// Number of concurrent writers.
const WRITERS: usize = 6;
/// Pause of a writer between two writes, and before it connects again.
const WRITE_PAUSE: Duration = Duration::from_millis(2);
/// Time without faults before an injection and after the recovery.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Time after a fault within which a new write must be acknowledged.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of a fault run.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Sizes and delays of the upstreams.
    pub deployment: Deployment,
    /// Number of rounds; each injects every kind of fault once.
    pub rounds: u32,
    /// Seed of the cluster.
    pub seed: u64,
}

/// Effects of one fault. Times are in milliseconds since its injection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FaultRecord {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Round, from 0.
    pub round: u32,
    /// Primary's term before the fault.
    pub term_before: u64,
    /// Primary's term after the recovery. A higher one means a failover.
    pub term_after: u64,
    /// First acknowledgement of a write sent after the fault.
    pub gap_ms: f64,
    /// First fence order that a database received: the failure was detected and the
    /// change of primary committed.
    pub detected_ms: Option<f64>,
    /// First promote order: gateway hosts were fenced and positions read.
    pub promoted_ms: Option<f64>,
}

/// Distribution of the write gaps after one kind of fault, in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FaultSummary {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Number of records.
    pub rounds: usize,
    /// Number of changes of primary.
    pub changes: usize,
    /// Shortest gap.
    pub min_ms: f64,
    /// Median gap.
    pub p50_ms: f64,
    /// 99th percentile of the gap.
    pub p99_ms: f64,
    /// Longest gap.
    pub max_ms: f64,
    /// Median time to the first fence order, where there was one.
    pub detected_ms: Option<f64>,
    /// Median time to the first promote order, where there was one.
    pub promoted_ms: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct AcknowledgedWrite {
    sent_at: Instant,
    answered_at: Instant,
}

type SharedWrites = Arc<Mutex<Vec<AcknowledgedWrite>>>;

/// Injects every kind of fault `plan.rounds` times, one at a time, into the primary
/// of a group under write load. Calls `on_record` after each fault.
///
/// # Errors
/// `ClusterError` if the cluster does not start, or if it does not recover from a
/// fault in time.
pub async fn run_faults(
    plan: &FaultPlan,
    mut on_record: impl FnMut(&FaultRecord),
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
            on_record(&record);
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
    let setup_caller = LabCaller::connect(daemons[0], &group, &[]).await;
    let setup_caller =
        setup_caller.map_err(|failure| ClusterError::Request { text: failure.text })?;
    let created =
        setup_caller.simple_query("CREATE TABLE marks (writer BIGINT, number BIGINT)").await;
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
                run_writer(&caller, writer, &writes, &cancel).await;
            }
        });
    }
    Ok(())
}

async fn run_writer(
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
    sleep(SETTLE_TIME).await;
    let group = &cluster.groups[0];
    let no_primary = || ClusterError::Timeout { what: "the election of a primary".to_owned() };
    let primary = group.primary().ok_or_else(no_primary)?;
    let term_before = primary.core().status().term;
    writes.lock().unwrap_or_else(PoisonError::into_inner).clear();
    let failed_at = Instant::now();
    primary.faults.set(kind.injected_fault());
    let recovery = tokio::spawn({
        let primary = primary.clone();
        async move {
            sleep(kind.duration()).await;
            primary.faults.set(Fault::None);
        }
    });
    let answered_at = wait_for_write_after(writes, failed_at).await?;
    let _ = recovery.await;
    sleep(SETTLE_TIME).await;
    let millis_since_fault = |at: Instant| at.duration_since(failed_at).as_secs_f64() * 1_000.0;
    Ok(FaultRecord {
        kind,
        round,
        term_before,
        term_after: group.primary().ok_or_else(no_primary)?.core().status().term,
        gap_ms: millis_since_fault(answered_at),
        detected_ms: find_first_order(group, "hawthornstack_fence", failed_at)
            .map(millis_since_fault),
        promoted_ms: find_first_order(group, "hawthornstack_promote", failed_at)
            .map(millis_since_fault),
    })
}

async fn wait_for_write_after(
    writes: &SharedWrites,
    failed_at: Instant,
) -> Result<Instant, ClusterError> {
    while failed_at.elapsed() < WRITE_TIMEOUT {
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

fn find_first_order(group: &StandInGroup, function: &str, after: Instant) -> Option<Instant> {
    let orders = group.databases.iter().flat_map(|database| {
        database.orders.lock().unwrap_or_else(PoisonError::into_inner).clone()
    });
    let matches = |order: &ReceivedOrder| order.function == function && order.received_at >= after;
    orders.filter(matches).map(|order| order.received_at).min()
}

/// Summarizes the records of each kind of fault that occurred.
pub fn summarize(records: &[FaultRecord]) -> Vec<FaultSummary> {
    FaultKind::ALL
        .into_iter()
        .filter_map(|kind| {
            summarize_kind(records.iter().filter(|r| r.kind == kind).collect(), kind)
        })
        .collect()
}

fn summarize_kind(records: Vec<&FaultRecord>, kind: FaultKind) -> Option<FaultSummary> {
    let gaps = sort_values(records.iter().map(|record| record.gap_ms));
    let detected = sort_values(records.iter().filter_map(|record| record.detected_ms));
    let promoted = sort_values(records.iter().filter_map(|record| record.promoted_ms));
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

fn sort_values(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

fn quantile(sorted: &[f64], fraction: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * fraction).round() as usize).copied()
}
