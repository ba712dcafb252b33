use std::{net::SocketAddr, time::Duration};

use hawthornstack_wire::operators::METRICS_PATH;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep},
};

use super::{
    process_usage::{processor_seconds, resident_bytes},
    slope_line::{SlopeLine, SlopePoint},
};
use crate::{
    cluster::{CallFailure, ClusterError, ClusterPlan, LabCaller, LabCluster},
    deployments::{Deployment, DeploymentName},
};

/// Daemons in one process.
const DAEMON_COUNTS: [u32; 4] = [3, 6, 12, 24];
/// Groups before three daemons.
const GROUP_COUNTS: [u32; 4] = [1, 2, 4, 8];
/// Idle callers of one daemon.
const CALLER_COUNTS: [u32; 4] = [500, 1_000, 2_000, 4_000];
/// Statements in a second, all callers together.
const STATEMENT_TASKS: [usize; 3] = [1, 2, 4];
/// Length of a measurement at rest.
const REST_TIME: Duration = Duration::from_secs(4);
/// Length of a measurement under load.
const LOAD_TIME: Duration = Duration::from_secs(2);

fn plan(daemons: u32, instances: u32, seed: u64) -> ClusterPlan {
    let deployment = Deployment { instances, ..Deployment::named(DeploymentName::Cascade) };
    let voters = if daemons < 3 { 1 } else { 3 };
    ClusterPlan { deployment, daemons, voters, gateways_per_group: 3.min(daemons as usize), seed }
}

fn failed(failure: CallFailure) -> ClusterError {
    ClusterError::Request { text: failure.text }
}

/// Bytes that a daemon sent and received so far, from its metrics page.
async fn control_bytes(operators: SocketAddr) -> f64 {
    let url = format!("http://{operators}{METRICS_PATH}");
    let page = tokio::task::spawn_blocking(move || {
        ureq::get(&url).call().ok()?.body_mut().read_to_string().ok()
    });
    let page = page.await.ok().flatten().unwrap_or_default();
    page.lines()
        .filter(|line| line.starts_with("hawthornstack_peer_bytes"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// What a cluster uses at rest.
struct RestFigures {
    /// Bytes a second of daemons that do not vote, on average.
    follower_bytes: f64,
    /// Bytes a second of the busiest daemon, the leader.
    leader_bytes: f64,
    /// Processor time of the process, as a share of one core.
    processor: f64,
}

async fn measure_rest(plan: ClusterPlan) -> Result<RestFigures, ClusterError> {
    let voters = plan.voters as usize;
    let cluster = LabCluster::start(plan).await?;
    sleep(Duration::from_secs(1)).await;
    let addresses = cluster.operator_addresses();
    let mut before = Vec::new();
    for address in &addresses {
        before.push(control_bytes(*address).await);
    }
    let processor_before = processor_seconds();
    let started_at = Instant::now();
    sleep(REST_TIME).await;
    let elapsed = started_at.elapsed().as_secs_f64();
    let processor = (processor_seconds() - processor_before) / elapsed;
    let mut rates = Vec::new();
    for (address, before) in addresses.iter().zip(before) {
        rates.push((control_bytes(*address).await - before) / elapsed);
    }
    let others = &rates[voters.min(rates.len())..];
    let follower_bytes = match others.is_empty() {
        true => 0.0,
        false => others.iter().sum::<f64>() / others.len() as f64,
    };
    let leader_bytes = rates.iter().copied().fold(0.0, f64::max);
    Ok(RestFigures { follower_bytes, leader_bytes, processor })
}

async fn rest_slopes(seed: u64) -> Result<Vec<SlopeLine>, ClusterError> {
    let mut followers = Vec::new();
    let mut leaders = Vec::new();
    let mut processors = Vec::new();
    for daemons in DAEMON_COUNTS {
        let figures = measure_rest(plan(daemons, 1, seed)).await?;
        let size = f64::from(daemons);
        if daemons > 3 {
            followers.push(SlopePoint { size, value: figures.follower_bytes });
        }
        leaders.push(SlopePoint { size, value: figures.leader_bytes });
        processors.push(SlopePoint { size, value: figures.processor * 100.0 });
    }
    let mut homes = Vec::new();
    for groups in GROUP_COUNTS {
        let figures = measure_rest(plan(3, groups, seed)).await?;
        homes.push(SlopePoint { size: f64::from(groups), value: figures.processor * 100.0 });
    }
    Ok(vec![
        SlopeLine::fit("control traffic of a non-voter at rest", "daemon", "bytes/s", followers),
        SlopeLine::fit("control traffic of the leader at rest", "daemon", "bytes/s", leaders),
        SlopeLine::fit("process at rest, all daemons", "daemon", "% of a core", processors),
        SlopeLine::fit("process at rest, 3 homes and 3 databases", "group", "% of a core", homes),
    ])
}

/// Opens a caller's connection that then stays idle.
async fn open_idle(daemon: SocketAddr, group: &str) -> Result<TcpStream, ClusterError> {
    let system = |source: std::io::Error| ClusterError::System { source };
    let mut stream = TcpStream::connect(daemon).await.map_err(system)?;
    let body = format!("user\0lab\0database\0{group}\0\0");
    let mut packet = Vec::new();
    packet.extend_from_slice(&(body.len() as u32 + 8).to_be_bytes());
    packet.extend_from_slice(&196_608_u32.to_be_bytes());
    packet.extend_from_slice(body.as_bytes());
    stream.write_all(&packet).await.map_err(system)?;
    let mut answer = Vec::with_capacity(1_024);
    while !answer.ends_with(b"Z\0\0\0\x05I") {
        if stream.read_buf(&mut answer).await.map_err(system)? == 0 {
            return Err(ClusterError::Request { text: "the daemon closed".to_owned() });
        }
    }
    Ok(stream)
}

async fn caller_slope(seed: u64) -> Result<SlopeLine, ClusterError> {
    let cluster = LabCluster::start(plan(1, 1, seed)).await?;
    let group = cluster.group_name(0);
    let daemon = cluster.caller_addresses()[0];
    let mut idle = Vec::new();
    let mut points = Vec::new();
    let before = resident_bytes();
    for count in CALLER_COUNTS {
        while idle.len() < count as usize {
            idle.push(open_idle(daemon, &group).await?);
        }
        sleep(Duration::from_millis(200)).await;
        let used = resident_bytes().saturating_sub(before);
        points.push(SlopePoint { size: f64::from(count), value: used as f64 });
    }
    Ok(SlopeLine::fit("memory of idle callers, both ends", "caller", "bytes", points))
}

/// Processor time against statements, straight and through one daemon.
async fn statement_slopes(seed: u64) -> Result<Vec<SlopeLine>, ClusterError> {
    let mut deployment = plan(1, 1, seed);
    deployment.deployment.databases = 1;
    deployment.deployment.service_time = Duration::ZERO;
    let cluster = LabCluster::start(deployment).await?;
    let group = cluster.group_name(0);
    let targets = [
        ("statement straight to a stand-in", cluster.groups[0].databases[0].address),
        ("statement through one daemon", cluster.caller_addresses()[0]),
    ];
    let mut lines = Vec::new();
    for (name, address) in targets {
        let mut points = Vec::new();
        for tasks in STATEMENT_TASKS {
            points.push(measure_load(address, &group, tasks).await?);
        }
        lines.push(SlopeLine::fit(name, "statement/s", "us of a core a second", points));
    }
    Ok(lines)
}

async fn measure_load(
    address: SocketAddr,
    group: &str,
    tasks: usize,
) -> Result<SlopePoint, ClusterError> {
    let mut callers = Vec::new();
    for _ in 0..tasks {
        callers.push(LabCaller::connect(address, group, &[]).await.map_err(failed)?);
    }
    let before = processor_seconds();
    let started_at = Instant::now();
    let ends_at = started_at + LOAD_TIME;
    let running: Vec<_> = callers
        .into_iter()
        .map(|caller| {
            tokio::spawn(async move {
                let mut count = 0_u32;
                while Instant::now() < ends_at && caller.simple_query("SELECT 1").await.is_ok() {
                    count += 1;
                }
                count
            })
        })
        .collect();
    let mut statements = 0;
    for task in running {
        statements += task.await.unwrap_or(0);
    }
    let elapsed = started_at.elapsed().as_secs_f64();
    let used = (processor_seconds() - before) * 1e6 / elapsed;
    Ok(SlopePoint { size: f64::from(statements) / elapsed, value: used })
}

pub(super) async fn daemon_slopes(seed: u64) -> Result<Vec<SlopeLine>, ClusterError> {
    let mut lines = vec![caller_slope(seed).await?];
    lines.extend(statement_slopes(seed).await?);
    lines.extend(rest_slopes(seed).await?);
    Ok(lines)
}
