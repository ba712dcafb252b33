use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use hawthornstack_daemon::settings::{
    ControlSettings, DaemonSettings, FailoverSettings, GroupSettings, HostIdentity, ListenSettings,
    LogSettings, SessionSettings, VoterAddress,
};
use hawthornstack_decisions::{
    control_state::{Declaration, Intent, ServiceDeclaration},
    identity::{DataCentre, DatabaseName, GroupName, HostId},
};
use snafu::ResultExt;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::{
    ClusterError, OperatorClient,
    cluster_error::{SystemSnafu, UpstreamSnafu},
    running_daemon::RunningDaemon,
};
use crate::{
    deployments::{Deployment, DeploymentName},
    upstreams::{StandInDatabase, StandInGroup, StandInSettings, announce_forever, free_address},
};

/// Longest wait until all running daemons serve all groups.
const SERVING_TIMEOUT: Duration = Duration::from_secs(20);

/// Size and settings of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// Sizes and delays of the upstreams.
    pub deployment: Deployment,
    /// Number of daemons.
    pub daemons: u32,
    /// Number of daemons that vote; these are the first ones.
    pub voters: u32,
    /// Gateway hosts of each group.
    pub gateways_per_group: usize,
    /// Seed of the stand-in databases.
    pub seed: u64,
}

impl ClusterPlan {
    /// A single group with Lone Star's sizes; the first three daemons vote.
    pub fn one_group(daemons: u32, gateways_per_group: usize, lag: Duration, seed: u64) -> Self {
        let deployment =
            Deployment { instances: 1, lag, ..Deployment::named(DeploymentName::LoneStar) };
        Self { deployment, daemons, voters: daemons.min(3), gateways_per_group, seed }
    }
}

struct LabDaemon {
    settings: DaemonSettings,
    running: Option<RunningDaemon>,
}

/// A running cluster; it is stopped and its directory removed when it is dropped.
pub struct LabCluster {
    /// Plan that the cluster was started with.
    pub plan: ClusterPlan,
    /// Groups of stand-in databases, in the order of the instances.
    pub groups: Vec<Arc<StandInGroup>>,
    daemons: Vec<LabDaemon>,
    directory: PathBuf,
    cancel: CancellationToken,
}

impl LabCluster {
    /// Starts databases and daemons, declares the service, and waits until
    /// every daemon serves every group.
    ///
    /// # Errors
    /// `ClusterError` if a database or daemon fails to start, or not every
    /// daemon serves in time.
    pub async fn start(plan: ClusterPlan) -> Result<Self, ClusterError> {
        let directory =
            std::env::temp_dir().join(format!("hawthornstack-{:x}", rand::random::<u64>()));
        std::fs::create_dir_all(&directory).context(SystemSnafu)?;
        let settings = daemon_settings(&plan, &directory)?;
        let mut groups = Vec::new();
        for instance in 1..=plan.deployment.instances {
            let settings = stand_in_settings(&plan.deployment, instance)?;
            let seed = plan.seed + u64::from(instance) * 100;
            groups.push(StandInGroup::start(settings, seed).await.context(UpstreamSnafu)?);
        }
        let mut cluster =
            Self { plan, groups, daemons: Vec::new(), directory, cancel: CancellationToken::new() };
        for settings in settings {
            let running = Some(RunningDaemon::start(&settings).await?);
            cluster.daemons.push(LabDaemon { settings, running });
        }
        cluster.announce_all();
        cluster.operator().execute_intent(Intent::Declare(cluster.declaration())).await?;
        cluster.wait_until_serving().await?;
        Ok(cluster)
    }

    fn announce_all(&self) {
        for database in self.groups.iter().flat_map(|group| &group.databases) {
            self.announce(database.clone(), Arc::new(AtomicBool::new(false)));
        }
    }

    /// Announces a database to all daemons periodically until the cluster is
    /// dropped.
    pub fn announce(&self, database: Arc<StandInDatabase>, leaving: Arc<AtomicBool>) {
        let daemons = self.operator_addresses();
        let cancel = self.cancel.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = announce_forever(database, daemons, leaving) => {}
            }
        });
    }

    /// Declaration of the service, as an operator submits it.
    pub fn declaration(&self) -> Declaration {
        let deployment = &self.plan.deployment;
        let service = ServiceDeclaration {
            instances: deployment.instances,
            databases: deployment.databases,
            max_waiting: 1_000,
        };
        Declaration { services: BTreeMap::from([(Arc::from(deployment.service), service)]) }
    }

    /// Creates a client for the operators' interface of the daemons.
    pub fn operator(&self) -> OperatorClient {
        OperatorClient::new(self.operator_addresses())
    }

    /// Addresses of the operators' interface, by daemon.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.settings.listen.operators).collect()
    }

    /// Addresses for callers, by daemon.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.settings.listen.callers).collect()
    }

    /// Name of the group at `index` in `groups`.
    pub fn group_name(&self, index: usize) -> String {
        format!("{}.{}", self.plan.deployment.service, index + 1)
    }

    /// Waits until every running daemon holds a lease and sees every group in
    /// steady state.
    ///
    /// # Errors
    /// `ClusterError::Timeout` after 20 s.
    pub async fn wait_until_serving(&self) -> Result<(), ClusterError> {
        let started_at = Instant::now();
        while started_at.elapsed() < SERVING_TIMEOUT {
            if self.all_daemons_serve().await {
                return Ok(());
            }
            sleep(Duration::from_millis(30)).await;
        }
        Err(ClusterError::Timeout { what: "every daemon to serve".to_owned() })
    }

    async fn all_daemons_serve(&self) -> bool {
        let gateways = self.plan.gateways_per_group.min(self.plan.daemons as usize);
        for daemon in self.daemons.iter().filter(|daemon| daemon.running.is_some()) {
            let Some(status) = OperatorClient::status(daemon.settings.listen.operators).await
            else {
                return false;
            };
            let formed = status.groups.len() == self.groups.len();
            let steady = status.groups.iter().all(|group| {
                group.phase == "steady"
                    && group.homes.len() == gateways
                    && (!group.homes.contains(&status.host)
                        || group.members.iter().all(|member| !member.role.is_empty()))
            });
            if !(status.has_lease && formed && steady) {
                return false;
            }
        }
        true
    }

    /// Shuts a daemon down gracefully.
    pub async fn shut_down(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].running.take() {
            daemon.shut_down().await;
        }
    }

    /// Stops a daemon without a graceful shutdown.
    pub fn kill(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].running.take() {
            daemon.kill();
        }
    }

    /// Restarts a stopped daemon with its data directory.
    ///
    /// # Errors
    /// `ClusterError::Daemon` if every attempt fails.
    pub async fn restart(&mut self, index: usize) -> Result<(), ClusterError> {
        let daemon = &mut self.daemons[index];
        for _ in 0..50 {
            match RunningDaemon::start(&daemon.settings).await {
                Ok(running) => {
                    daemon.running = Some(running);
                    return Ok(());
                }
                // The listening ports of the stopped daemon may not be released yet.
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
        daemon.running = Some(RunningDaemon::start(&daemon.settings).await?);
        Ok(())
    }

    /// Restarts a stopped daemon with its data directory, as `other_build`, another
    /// build's `hawthornstackd`, if one is given.
    ///
    /// # Errors
    /// `ClusterError` if it does not start.
    pub async fn restart_with(
        &mut self,
        index: usize,
        other_build: Option<&Path>,
    ) -> Result<(), ClusterError> {
        let Some(program) = other_build else {
            return self.restart(index).await;
        };
        let daemon = &mut self.daemons[index];
        let settings_path = self.directory.join(format!("{}.yaml", daemon.settings.host.id));
        let running = RunningDaemon::start_program(program, &daemon.settings, &settings_path)?;
        daemon.running = Some(running);
        Ok(())
    }
}

impl Drop for LabCluster {
    fn drop(&mut self) {
        self.cancel.cancel();
        for daemon in &mut self.daemons {
            if let Some(daemon) = daemon.running.take() {
                daemon.kill();
            }
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn invalid(error: impl std::fmt::Display) -> ClusterError {
    ClusterError::Invalid { text: error.to_string() }
}

fn data_centre(deployment: &Deployment, number: u32) -> Result<DataCentre, ClusterError> {
    let name = format!("{}-{}", deployment.region, number % deployment.data_centres + 1);
    DataCentre::new(&name).map_err(invalid)
}

/// Settings of the databases of one instance.
pub(crate) fn stand_in_settings(
    deployment: &Deployment,
    instance: u32,
) -> Result<Vec<StandInSettings>, ClusterError> {
    let group = GroupName::new(&format!("{}.{instance}", deployment.service)).map_err(invalid)?;
    (1..=deployment.databases)
        .map(|number| {
            let name = format!("{}-{instance}-{number}", deployment.service);
            Ok(StandInSettings {
                database: DatabaseName::new(&name).map_err(invalid)?,
                group: group.clone(),
                data_centre: data_centre(deployment, instance + number)?,
                slots: deployment.slots,
                connections: deployment.connections,
                connection_cost: deployment.connection_cost,
                service_time: deployment.service_time,
                lag: deployment.lag,
                jitter: deployment.lag / 4,
            })
        })
        .collect()
}

fn daemon_settings(
    plan: &ClusterPlan,
    directory: &std::path::Path,
) -> Result<Vec<DaemonSettings>, ClusterError> {
    let mut listens = Vec::new();
    for _ in 0..plan.daemons {
        listens.push(ListenSettings {
            callers: free_address().context(SystemSnafu)?,
            peers: free_address().context(SystemSnafu)?,
            operators: free_address().context(SystemSnafu)?,
        });
    }
    let voters: Vec<VoterAddress> = (1..=plan.voters)
        .zip(&listens)
        .map(|(id, listen)| VoterAddress { id: HostId(id), peers: listen.peers })
        .collect();
    (1..=plan.daemons)
        .zip(listens)
        .map(|(id, listen)| {
            Ok(DaemonSettings {
                host: HostIdentity {
                    id: HostId(id),
                    data_centre: data_centre(&plan.deployment, id)?,
                },
                listen,
                control: ControlSettings {
                    voters: voters.clone(),
                    data: (id <= plan.voters).then(|| directory.join(format!("h{id}"))),
                    election_timeout: Duration::from_millis(300),
                    heartbeat: Duration::from_millis(50),
                    lease: Duration::from_millis(600),
                    renewal: Duration::from_millis(150),
                },
                failover: FailoverSettings::default(),
                groups: GroupSettings { homes: plan.gateways_per_group },
                sessions: SessionSettings { secret: Arc::from("a secret of the lab only") },
                logs: LogSettings::default(),
            })
        })
        .collect()
}
