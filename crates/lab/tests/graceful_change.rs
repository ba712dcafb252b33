//! Drains and restarts under load leave no request with an unknown outcome and
//! lose no write.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hawthornstack_decisions::{control_state::Intent, outcomes::Outcome};
use hawthornstack_lab::cluster::{ClusterPlan, LabCaller, LabCluster};
use tokio_util::sync::CancellationToken;

/// Polls for a change, 10 ms apart, before a test fails.
const MAX_POLLS: u32 = 3_000;

#[derive(Default)]
struct Counts {
    written: AtomicU64,
    refused: AtomicU64,
    unknown: AtomicU64,
}

async fn start() -> LabCluster {
    let plan = ClusterPlan::one_group(3, 3, Duration::from_millis(10), 11);
    let cluster = LabCluster::start(plan).await.unwrap();
    let address = cluster.caller_addresses()[0];
    let caller = LabCaller::connect(address, "shiftbook.1", &[]).await.unwrap();
    caller.simple_query("CREATE TABLE t (a BIGINT)").await.unwrap();
    cluster
}

/// Writes until cancelled. After a failed connection attempt or request, the
/// caller connects to the next daemon.
async fn write_until_cancelled(
    daemons: Vec<SocketAddr>,
    start: usize,
    counts: Arc<Counts>,
    cancel: CancellationToken,
) {
    let mut attempt = start;
    while !cancel.is_cancelled() {
        attempt += 1;
        let daemon = daemons[attempt % daemons.len()];
        let Ok(caller) = LabCaller::connect(daemon, "shiftbook.1", &[]).await else {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        while !cancel.is_cancelled() {
            match caller.simple_query("INSERT INTO t VALUES (1)").await {
                Ok(_) => counts.written.fetch_add(1, Ordering::Relaxed),
                Err(failure) if failure.outcome == Outcome::DidNotRun => {
                    counts.refused.fetch_add(1, Ordering::Relaxed);
                    break;
                }
                Err(failure) => {
                    println!("unknown outcome: {}", failure.text);
                    counts.unknown.fetch_add(1, Ordering::Relaxed);
                    break;
                }
            };
        }
    }
}

struct Writers {
    counts: Arc<Counts>,
    cancel: CancellationToken,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Writers {
    fn start(cluster: &LabCluster) -> Self {
        let counts = Arc::new(Counts::default());
        let cancel = CancellationToken::new();
        let daemons = cluster.caller_addresses();
        let tasks = (0..6)
            .map(|start| {
                tokio::spawn(write_until_cancelled(
                    daemons.clone(),
                    start,
                    counts.clone(),
                    cancel.clone(),
                ))
            })
            .collect();
        Self { counts, cancel, tasks }
    }

    async fn stop(self) -> Arc<Counts> {
        self.cancel.cancel();
        for task in self.tasks {
            task.await.unwrap();
        }
        self.counts
    }
}

async fn count_rows(cluster: &LabCluster) -> u64 {
    let address = cluster.caller_addresses()[0];
    let caller = LabCaller::connect(address, "shiftbook.1", &[]).await.unwrap();
    let found = caller.simple_query("SELECT count(*) FROM t").await.unwrap();
    found.row[0].as_deref().unwrap().parse().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart() {
    let mut cluster = start().await;
    let writers = Writers::start(&cluster);
    for daemon in 0..3 {
        cluster.shut_down(daemon).await;
        cluster.restart(daemon).await.unwrap();
        cluster.wait_until_serving().await.unwrap();
    }
    let counts = writers.stop().await;
    let written = counts.written.load(Ordering::Relaxed);
    assert!(written > 0);
    assert_eq!(counts.unknown.load(Ordering::Relaxed), 0, "requests had an unknown outcome");
    assert_eq!(count_rows(&cluster).await, written);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_of_primary() {
    let cluster = start().await;
    let writers = Writers::start(&cluster);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let old = cluster.groups[0].primary().unwrap();
    let drain = Intent::DrainDatabase(old.settings.database.clone());
    assert_eq!(cluster.operator().execute_intent(drain).await.unwrap().code, 0);
    let replaced = || cluster.groups[0].primary().is_some_and(|new| new.address != old.address);
    for _ in 0..MAX_POLLS {
        if replaced() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(replaced(), "a drained primary is replaced");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let counts = writers.stop().await;
    let written = counts.written.load(Ordering::Relaxed);
    assert!(written > 0);
    assert_eq!(counts.unknown.load(Ordering::Relaxed), 0, "requests had an unknown outcome");
    assert_eq!(counts.refused.load(Ordering::Relaxed), 0, "requests were refused");
    assert_eq!(count_rows(&cluster).await, written);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_of_host() {
    let cluster = start().await;
    let writers = Writers::start(&cluster);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let drain = Intent::DrainHost(hawthornstack_decisions::identity::HostId(2));
    assert_eq!(cluster.operator().execute_intent(drain).await.unwrap().code, 0);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let counts = writers.stop().await;
    assert_eq!(counts.unknown.load(Ordering::Relaxed), 0, "requests had an unknown outcome");
    let address = cluster.caller_addresses()[1];
    let served = || async {
        match LabCaller::connect(address, "shiftbook.1", &[]).await {
            Ok(caller) => caller.simple_query("SELECT 1").await.is_ok(),
            Err(_) => false,
        }
    };
    for _ in 0..MAX_POLLS {
        if !served().await {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(!served().await, "a drained host accepts no callers");
    assert_eq!(count_rows(&cluster).await, counts.written.load(Ordering::Relaxed));
}
