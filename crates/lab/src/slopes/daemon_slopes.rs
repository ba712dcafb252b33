use std::{net::SocketAddr, time::Duration};

use hawthornstack_wire::operators::METRICS_PATH;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep},
};

use super::{
    process_usage::{cpu_seconds, resident_bytes},
    slope_line::{SlopeLine, SlopePoint},
};
use crate::{
    cluster::{CallFailure, ClusterError, ClusterPlan, LabCaller, LabCluster},
    deployments::{Deployment, DeploymentName},
};

/// Numbers of daemons in one process.
const DAEMON_COUNTS: [u32; 4] = [3, 6, 12, 24];
/// Numbers of groups that three daemons serve.
const GROUP_COUNTS: [u32; 4] = [1, 2, 4, 8];
/// Numbers of idle callers of one daemon.
const IDLE_CALLER_COUNTS: [u32; 4] = [500, 1_000, 2_000, 4_000];
/// Numbers of callers that send statements one after another; the size of a
/// measurement is their total rate.
const ACTIVE_CALLER_COUNTS: [usize; 3] = [1, 2, 4];
/// Length of a measurement without requests.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Length of a measurement with statements.
const LOAD_TIME: Duration = Duration::from_secs(2);

fn cluster_plan(daemons: u32, instances: u32, seed: u64) -> ClusterPlan {
    let deployment = Deployment { instances, ..Deployment::named(DeploymentName::Cascade) };
    let voters = if daemons < 3 { 1 } else { 3 };
    ClusterPlan { deployment, daemons, voters, gateways_per_group: 3.min(daemons as usize), seed }
}

fn request_error(failure: CallFailure) -> ClusterError {
    ClusterError::Request { text: failure.text }
}

/// Bytes that a daemon has exchanged with its peers so far, from its metrics
/// page; 0 if the page cannot be read.
async fn read_peer_bytes(operators: SocketAddr) -> f64 {
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

/// Resource usage of a cluster without requests.
struct IdleUsage {
    /// Mean traffic of the daemons that do not vote, in bytes per second.
    non_voter_rate: f64,
    /// Traffic of the busiest daemon, the leader, in bytes per second.
    leader_rate: f64,
    /// CPU time of the process, as a share of one core.
    cpu_share: f64,
}

async fn measure_idle_usage(plan: ClusterPlan) -> Result<IdleUsage, ClusterError> {
    let voters = plan.voters as usize;
    let cluster = LabCluster::start(plan).await?;
    sleep(Duration::from_secs(1)).await;
    let addresses = cluster.operator_addresses();
    let mut before = Vec::new();
    for address in &addresses {
        before.push(read_peer_bytes(*address).await);
    }
    let cpu_before = cpu_seconds();
    let started_at = Instant::now();
    sleep(IDLE_TIME).await;
    let elapsed = started_at.elapsed().as_secs_f64();
    let cpu_share = (cpu_seconds() - cpu_before) / elapsed;
    let mut rates = Vec::new();
    for (address, before) in addresses.iter().zip(before) {
        rates.push((read_peer_bytes(*address).await - before) / elapsed);
    }
    let non_voters = &rates[voters.min(rates.len())..];
    let non_voter_rate = match non_voters.is_empty() {
        true => 0.0,
        false => non_voters.iter().sum::<f64>() / non_voters.len() as f64,
    };
    let leader_rate = rates.iter().copied().fold(0.0, f64::max);
    Ok(IdleUsage { non_voter_rate, leader_rate, cpu_share })
}

async fn measure_idle_slopes(seed: u64) -> Result<Vec<SlopeLine>, ClusterError> {
    let mut non_voters = Vec::new();
    let mut leaders = Vec::new();
    let mut cpu = Vec::new();
    for daemons in DAEMON_COUNTS {
        let usage = measure_idle_usage(cluster_plan(daemons, 1, seed)).await?;
        let size = f64::from(daemons);
        if daemons > 3 {
            non_voters.push(SlopePoint { size, value: usage.non_voter_rate });
        }
        leaders.push(SlopePoint { size, value: usage.leader_rate });
        cpu.push(SlopePoint { size, value: usage.cpu_share * 100.0 });
    }
    let mut cpu_by_groups = Vec::new();
    for groups in GROUP_COUNTS {
        let usage = measure_idle_usage(cluster_plan(3, groups, seed)).await?;
        cpu_by_groups.push(SlopePoint { size: f64::from(groups), value: usage.cpu_share * 100.0 });
    }
    Ok(vec![
        SlopeLine::fit("control traffic of a non-voter at rest", "daemon", "bytes/s", non_voters),
        SlopeLine::fit("control traffic of the leader at rest", "daemon", "bytes/s", leaders),
        SlopeLine::fit("process at rest, all daemons", "daemon", "% of a core", cpu),
        SlopeLine::fit(
            "process at rest, 3 homes and 3 databases",
            "group",
            "% of a core",
            cpu_by_groups,
        ),
    ])
}

/// Opens a connection as a caller and waits until the daemon is ready for
/// queries.
async fn open_idle_connection(daemon: SocketAddr, group: &str) -> Result<TcpStream, ClusterError> {
    let system_error = |source: std::io::Error| ClusterError::System { source };
    let mut stream = TcpStream::connect(daemon).await.map_err(system_error)?;
    let body = format!("user\0lab\0database\0{group}\0\0");
    let mut packet = Vec::new();
    packet.extend_from_slice(&(body.len() as u32 + 8).to_be_bytes());
    packet.extend_from_slice(&196_608_u32.to_be_bytes());
    packet.extend_from_slice(body.as_bytes());
    stream.write_all(&packet).await.map_err(system_error)?;
    let mut answer = Vec::with_capacity(1_024);
    while !answer.ends_with(b"Z\0\0\0\x05I") {
        if stream.read_buf(&mut answer).await.map_err(system_error)? == 0 {
            return Err(ClusterError::Request {
                text: "the daemon closed the connection".to_owned(),
            });
        }
    }
    Ok(stream)
}

async fn measure_idle_callers(seed: u64) -> Result<SlopeLine, ClusterError> {
    let cluster = LabCluster::start(cluster_plan(1, 1, seed)).await?;
    let group = cluster.group_name(0);
    let daemon = cluster.caller_addresses()[0];
    let mut idle = Vec::new();
    let mut points = Vec::new();
    let before = resident_bytes();
    for count in IDLE_CALLER_COUNTS {
        while idle.len() < count as usize {
            idle.push(open_idle_connection(daemon, &group).await?);
        }
        sleep(Duration::from_millis(200)).await;
        let used = resident_bytes().saturating_sub(before);
        points.push(SlopePoint { size: f64::from(count), value: used as f64 });
    }
    Ok(SlopeLine::fit("memory of idle callers, both ends", "caller", "bytes", points))
}

/// Measures CPU time over the rate of statements, sent directly to a database
/// and through one daemon.
async fn measure_statement_slopes(seed: u64) -> Result<Vec<SlopeLine>, ClusterError> {
    let mut plan = cluster_plan(1, 1, seed);
    plan.deployment.databases = 1;
    plan.deployment.service_time = Duration::ZERO;
    let cluster = LabCluster::start(plan).await?;
    let group = cluster.group_name(0);
    let targets = [
        ("statement straight to a stand-in", cluster.groups[0].databases[0].address),
        ("statement through one daemon", cluster.caller_addresses()[0]),
    ];
    let mut lines = Vec::new();
    for (name, address) in targets {
        let mut points = Vec::new();
        for callers in ACTIVE_CALLER_COUNTS {
            points.push(measure_statements(address, &group, callers).await?);
        }
        lines.push(SlopeLine::fit(name, "statement/s", "us of a core a second", points));
    }
    Ok(lines)
}

async fn measure_statements(
    address: SocketAddr,
    group: &str,
    caller_count: usize,
) -> Result<SlopePoint, ClusterError> {
    let mut callers = Vec::new();
    for _ in 0..caller_count {
        callers.push(LabCaller::connect(address, group, &[]).await.map_err(request_error)?);
    }
    let cpu_before = cpu_seconds();
    let started_at = Instant::now();
    let ends_at = started_at + LOAD_TIME;
    let tasks: Vec<_> = callers
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
    for task in tasks {
        statements += task.await.unwrap_or(0);
    }
    let elapsed = started_at.elapsed().as_secs_f64();
    let cpu_micros = (cpu_seconds() - cpu_before) * 1e6 / elapsed;
    Ok(SlopePoint { size: f64::from(statements) / elapsed, value: cpu_micros })
}

pub(super) async fn measure_daemon_slopes(seed: u64) -> Result<Vec<SlopeLine>, ClusterError> {
    let mut lines = vec![measure_idle_callers(seed).await?];
    lines.extend(measure_statement_slopes(seed).await?);
    lines.extend(measure_idle_slopes(seed).await?);
    Ok(lines)
}
