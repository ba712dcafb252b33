use std::{
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    time::Duration,
};

use rusqlite::types::Value;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::{DemoReport, demo_caller::DemoCaller};
use crate::{
    cluster::{CallFailure, ClusterError, ClusterPlan, LabCaller, LabCluster},
    deployments::Deployment,
    history::{FinalState, OperationKind, OperationResult, RecordedOperation, check_history},
    upstreams::{Fault, LoggedStatement, StandInGroup},
};

/// Callers that use each group.
const CALLERS_PER_GROUP: u32 = 6;
/// Time for replicas and restarted databases to catch up before the final
/// state is read.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Tables that the callers use.
const SCHEMA: [&str; 4] = [
    "CREATE TABLE ledger (session BIGINT, number BIGINT, PRIMARY KEY (session, number))",
    "CREATE TABLE claims (item BIGINT PRIMARY KEY, holder BIGINT)",
    "CREATE TABLE counter (value BIGINT)",
    "INSERT INTO counter (value) VALUES (0)",
];

/// Settings of a demo run.
#[derive(Debug, Clone)]
pub struct DemoPlan {
    /// Sizes and delays of the upstreams.
    pub deployment: Deployment,
    /// Seed of the callers and the stand-in databases.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// Print progress to standard error.
    pub verbose: bool,
    /// `hawthornstackd` of another build. Daemon h2 runs as it from the start on and
    /// returns to this build at the end; h3 runs as it after its drain.
    pub other_build: Option<PathBuf>,
}

type SharedHistory = Arc<Mutex<Vec<RecordedOperation>>>;

struct DemoRun {
    plan: DemoPlan,
    cluster: LabCluster,
    history: SharedHistory,
    started_at: Instant,
}

/// Runs the demo: callers switch between three daemons while one primary fails
/// and recovers, and one daemon drains and restarts.
///
/// # Errors
/// `ClusterError` if the cluster does not start, does not serve again after the
/// faults, or its final state cannot be read.
pub async fn run_demo(plan: DemoPlan) -> Result<DemoReport, ClusterError> {
    let cluster_plan = ClusterPlan {
        deployment: plan.deployment.clone(),
        daemons: 3,
        voters: 3,
        gateways_per_group: 3,
        seed: plan.seed,
    };
    let print_progress = |text: String| {
        if plan.verbose {
            eprintln!("{text}");
        }
    };
    print_progress(format!(
        "Starting 3 daemons and {} groups of {} databases ...",
        plan.deployment.instances, plan.deployment.databases
    ));
    let mut cluster = LabCluster::start(cluster_plan).await?;
    if let Some(program) = &plan.other_build {
        print_progress(format!("Daemon h2 restarts as {} ...", program.display()));
        cluster.shut_down(1).await;
        cluster.restart_with(1, Some(program)).await?;
        cluster.wait_until_serving().await?;
    }
    for group in 0..cluster.groups.len() {
        create_schema(&cluster, group).await?;
    }
    let mut run =
        DemoRun { plan, cluster, history: SharedHistory::default(), started_at: Instant::now() };
    run.run().await
}

async fn create_schema(cluster: &LabCluster, group: usize) -> Result<(), ClusterError> {
    let name = cluster.group_name(group);
    let request_error = |failure: CallFailure| ClusterError::Request { text: failure.text };
    let daemon = cluster.caller_addresses()[0];
    let caller = LabCaller::connect(daemon, &name, &[]).await.map_err(request_error)?;
    for sql in SCHEMA {
        caller.simple_query(sql).await.map_err(request_error)?;
    }
    Ok(())
}

impl DemoRun {
    fn print_progress(&self, text: &str) {
        if self.plan.verbose {
            eprintln!("{:6.1} s  {text}", self.started_at.elapsed().as_secs_f64());
        }
    }

    /// Sleeps until this share of the run has passed, 0 to 1.
    async fn sleep_until_share(&self, share: f64) {
        sleep_until(self.started_at + self.plan.length.mul_f64(share)).await;
    }

    async fn run(&mut self) -> Result<DemoReport, ClusterError> {
        let cancel = CancellationToken::new();
        let callers = self.start_callers(&cancel);
        self.print_progress(&format!(
            "{} callers claim {}s.",
            callers.len(),
            self.plan.deployment.claim_word
        ));

        self.sleep_until_share(0.25).await;
        let group = self.cluster.groups[0].clone();
        let failed_primary = group.primary();
        let failed_at = self.started_at.elapsed();
        if let Some(primary) = &failed_primary {
            self.print_progress(&format!("The primary {} fails.", primary.settings.database));
            primary.faults.set(Fault::Stopped);
        }
        self.sleep_until_share(0.5).await;
        if let Some(primary) = &failed_primary {
            self.print_progress(&format!("{} comes back.", primary.settings.database));
            primary.faults.set(Fault::None);
        }
        self.sleep_until_share(0.6).await;
        self.print_progress("Daemon h3 drains.");
        let drained_from = self.started_at.elapsed();
        self.cluster.shut_down(2).await;
        let drained_until = self.started_at.elapsed();
        self.print_progress("Daemon h3 has stopped.");
        self.sleep_until_share(0.85).await;
        self.cluster.restart_with(2, self.plan.other_build.as_deref()).await?;
        self.print_progress("Daemon h3 is back.");
        if self.plan.other_build.is_some() {
            // With h2 and h3 down at once, control would lose its quorum.
            self.cluster.wait_until_serving().await?;
            self.cluster.shut_down(1).await;
            self.cluster.restart(1).await?;
            self.print_progress("Daemon h2 is back as this build.");
        }

        self.sleep_until_share(1.0).await;
        cancel.cancel();
        for caller in callers {
            let _ = caller.await;
        }
        self.cluster.wait_until_serving().await?;
        sleep(SETTLE_TIME).await;
        self.build_report(failed_at, drained_from, drained_until)
    }

    fn start_callers(&self, cancel: &CancellationToken) -> Vec<tokio::task::JoinHandle<()>> {
        let groups = self.cluster.groups.len() as u32;
        (0..groups * CALLERS_PER_GROUP)
            .map(|session| {
                let group = (session % groups) as usize;
                let caller = DemoCaller {
                    session,
                    group,
                    group_name: self.cluster.group_name(group),
                    daemons: self.cluster.caller_addresses(),
                    history: self.history.clone(),
                    started_at: self.started_at,
                    cancel: cancel.clone(),
                    seed: self.plan.seed * 1_000 + u64::from(session),
                };
                tokio::spawn(caller.run())
            })
            .collect()
    }

    fn build_report(
        &self,
        failed_at: Duration,
        drained_from: Duration,
        drained_until: Duration,
    ) -> Result<DemoReport, ClusterError> {
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let final_states: Result<Vec<FinalState>, ClusterError> =
            self.cluster.groups.iter().map(|group| read_final_state(group)).collect();
        let gap = failover_gap(&history, failed_at);
        let mut not_run = Vec::new();
        if gap.is_none() {
            not_run
                .push("no write of the failed group was acknowledged after the fault".to_owned());
        }
        let during_drain = |operation: &&RecordedOperation| {
            operation.sent_at >= drained_from && operation.answered_at <= drained_until
        };
        let drain_failures = history.iter().filter(during_drain).filter(|operation| {
            matches!(operation.result, OperationResult::Unknown | OperationResult::DidNotRun)
        });
        Ok(DemoReport {
            replica_read_share: replica_share(&self.cluster.groups),
            failover_gap_ms: gap.map(|gap| gap.as_secs_f64() * 1_000.0),
            p50_ms: percentile(&history, 0.5),
            p99_ms: percentile(&history, 0.99),
            drain_failures: Some(drain_failures.count() as u64),
            connections_refused: refused_connections(&self.cluster.groups),
            not_run,
            history: check_history(&history, &final_states?),
        })
    }
}

/// Returns the time from the fault to the first acknowledgement of a write to
/// the failed group that was sent after the fault.
fn failover_gap(history: &[RecordedOperation], failed_at: Duration) -> Option<Duration> {
    history
        .iter()
        .filter(|operation| operation.group == 0 && operation.sent_at >= failed_at)
        .filter(|operation| !matches!(operation.kind, OperationKind::Read { .. }))
        .filter(|operation| {
            matches!(operation.result, OperationResult::Written | OperationResult::Claimed(_))
        })
        .map(|operation| operation.answered_at - failed_at)
        .min()
}

/// Request latency at this quantile, in milliseconds; `None` without requests.
fn percentile(history: &[RecordedOperation], quantile: f64) -> Option<f64> {
    let mut latencies: Vec<Duration> =
        history.iter().map(|operation| operation.answered_at - operation.sent_at).collect();
    latencies.sort_unstable();
    let last = latencies.len().checked_sub(1)?;
    let index = (last as f64 * quantile).round() as usize;
    Some(latencies[index].as_secs_f64() * 1_000.0)
}

fn replica_share(groups: &[Arc<StandInGroup>]) -> Option<f64> {
    let databases = || groups.iter().flat_map(|group| &group.databases);
    let replica: u64 = databases().map(|d| d.counters.replica_reads.load(Ordering::Relaxed)).sum();
    let primary: u64 = databases().map(|d| d.counters.primary_reads.load(Ordering::Relaxed)).sum();
    (replica + primary > 0).then(|| replica as f64 / (replica + primary) as f64)
}

fn refused_connections(groups: &[Arc<StandInGroup>]) -> u64 {
    let databases = groups.iter().flat_map(|group| &group.databases);
    databases.map(|database| database.counters.refused.load(Ordering::Relaxed)).sum()
}

/// Reads the committed tables of a group at its primary.
fn read_final_state(group: &StandInGroup) -> Result<FinalState, ClusterError> {
    let primary = group.primary().ok_or_else(|| ClusterError::Timeout {
        what: "a primary at the end of the run".to_owned(),
    })?;
    let core = primary.core();
    let rows = |sql: &str| {
        let statement = LoggedStatement { sql: sql.to_owned(), parameters: Vec::new() };
        let rows = core.committed().run(&statement);
        rows.map(|rows| rows.rows).map_err(|source| ClusterError::Upstream { source })
    };
    let integer = |value: &Value| match value {
        Value::Integer(integer) => *integer as u64,
        _ => 0,
    };
    let mut state = FinalState::default();
    for row in rows("SELECT session, number FROM ledger")? {
        state.entries.insert((integer(&row[0]) as u32, integer(&row[1])));
    }
    for row in rows("SELECT item, holder FROM claims")? {
        state.claims.insert(integer(&row[0]), integer(&row[1]) as u32);
    }
    for row in rows("SELECT value FROM counter")? {
        state.counter = integer(&row[0]);
    }
    Ok(state)
}
