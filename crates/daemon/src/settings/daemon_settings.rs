use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use hawthornstack_decisions::{
    control_state::HostRecord,
    identity::{DataCentre, HostId},
    pg_host::HostSettings,
};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{
    SettingsError,
    settings_error::{InvalidValueSnafu, MalformedSnafu, UnreadableSnafu},
};

/// Minimum number of renewal intervals in one lease.
const MIN_RENEWALS_PER_LEASE: u32 = 3;
/// Minimum number of heartbeat intervals in one election timeout.
const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;
/// Maximum number of voters in a deployment.
const MAX_VOTERS: usize = 7;

/// Identity and location of this host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostIdentity {
    /// Number of the host, unique in the deployment.
    pub id: HostId,
    /// Data centre in which the host is located.
    pub data_centre: DataCentre,
}

/// Addresses on which this host listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers, over the PostgreSQL protocol.
    pub callers: SocketAddr,
    /// Other hosts, over WebSocket.
    pub peers: SocketAddr,
    /// Operators, upstreams' announcements, metrics and the balancer's health check,
    /// over HTTP.
    pub operators: SocketAddr,
}

/// A host that votes on the replicated configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterAddress {
    /// Number of the host.
    pub id: HostId,
    /// Address on which it listens for other hosts.
    pub peers: SocketAddr,
}

/// Replication of the configuration: voters, timing and a voter's data folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Voters of the deployment; an odd number, `MAX_VOTERS` at most.
    pub voters: Vec<VoterAddress>,
    /// Folder of the journal; required on voters.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Shortest time without a message of the leader before a voter starts an election.
    #[serde(default = "default_election_timeout", with = "humantime_serde")]
    pub election_timeout: Duration,
    /// Interval between the leader's heartbeats.
    #[serde(default = "default_heartbeat", with = "humantime_serde")]
    pub heartbeat: Duration,
    /// Duration of a lease; a host serves callers only while it holds one.
    #[serde(default = "default_lease", with = "humantime_serde")]
    pub lease: Duration,
    /// Interval between renewals of the lease.
    #[serde(default = "default_renewal", with = "humantime_serde")]
    pub renewal: Duration,
}

/// When this host suspects a primary to have failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FailoverSettings {
    /// Longest time without a report of the primary.
    #[serde(with = "humantime_serde")]
    pub suspect_after: Duration,
    /// Longest time without progress of replication while replicas report.
    #[serde(with = "humantime_serde")]
    pub stall_after: Duration,
}

/// Assignment of groups to hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GroupSettings {
    /// Number of gateways of a group: hosts that hold connections to its databases.
    pub homes: usize,
}

/// Settings of session tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionSettings {
    /// Secret from which the key of session tokens is derived; the same on all
    /// hosts.
    pub secret: Arc<str>,
}

/// Log levels.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Level of the parts that `parts` does not name: `error`, `warn`, `info`, `debug`
    /// or `trace`; `info` if not given.
    pub level: Option<Arc<str>>,
    /// Levels by part, which is the target of its log lines.
    pub parts: BTreeMap<Arc<str>, Arc<str>>,
}

/// All settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Identity and location of this host.
    pub host: HostIdentity,
    /// Addresses on which this host listens.
    pub listen: ListenSettings,
    /// Replication of the configuration.
    pub control: ControlSettings,
    /// Detection of failed primaries.
    #[serde(default)]
    pub failover: FailoverSettings,
    /// Assignment of groups to hosts.
    #[serde(default)]
    pub groups: GroupSettings,
    /// Session tokens.
    pub sessions: SessionSettings,
    /// Log levels.
    #[serde(default)]
    pub logs: LogSettings,
}

fn default_election_timeout() -> Duration {
    Duration::from_millis(300)
}

fn default_heartbeat() -> Duration {
    Duration::from_millis(50)
}

fn default_lease() -> Duration {
    Duration::from_millis(600)
}

fn default_renewal() -> Duration {
    Duration::from_millis(150)
}

impl Default for FailoverSettings {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_millis(400),
            stall_after: Duration::from_millis(1_500),
        }
    }
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self { homes: 3 }
    }
}

impl DaemonSettings {
    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    /// `SettingsError` with the key or the line, and what to change.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text)
    }

    /// Parses and validates settings in YAML.
    ///
    /// # Errors
    /// `SettingsError` with the key or the line, and what to change.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_yaml_ng::from_str(text).context(MalformedSnafu)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        self.check_voters()?;
        self.check_timing()?;
        if self.groups.homes == 0 {
            return reject_value("groups.homes", "a group needs at least 1 home");
        }
        if self.sessions.secret.len() < 16 {
            return reject_value("sessions.secret", "give a secret of at least 16 characters");
        }
        Ok(())
    }

    fn check_voters(&self) -> Result<(), SettingsError> {
        let control = &self.control;
        let ids: BTreeSet<HostId> = control.voters.iter().map(|voter| voter.id).collect();
        if ids.len() != control.voters.len() {
            return reject_value("control.voters", "two voters have the same id");
        }
        if ids.len().is_multiple_of(2) || ids.len() > MAX_VOTERS {
            return reject_value("control.voters", "name 1, 3, 5 or 7 voters");
        }
        if ids.contains(&self.host.id) && control.data.is_none() {
            return reject_value("control.data", "this host votes and needs a data folder");
        }
        Ok(())
    }

    fn check_timing(&self) -> Result<(), SettingsError> {
        let control = &self.control;
        if control.renewal * MIN_RENEWALS_PER_LEASE > control.lease {
            return reject_value(
                "control.renewal",
                "three renewals must fit into control.lease; shorten it or lengthen the lease",
            );
        }
        if control.heartbeat * MIN_HEARTBEATS_PER_ELECTION > control.election_timeout {
            return reject_value(
                "control.heartbeat",
                "three heartbeats must fit into control.election_timeout",
            );
        }
        if self.failover.suspect_after < Duration::from_millis(250) {
            return reject_value(
                "failover.suspect_after",
                "give at least 250ms, so that a short pause does not replace a primary",
            );
        }
        Ok(())
    }

    /// True if this host is one of the voters.
    pub fn is_voter(&self) -> bool {
        self.control.voters.iter().any(|voter| voter.id == self.host.id)
    }

    /// Settings of the host's state machine; `seed` should differ at every start.
    pub fn host_settings(&self, seed: u64) -> HostSettings {
        HostSettings {
            record: HostRecord {
                id: self.host.id,
                peer_address: self.listen.peers,
                caller_address: self.listen.callers,
                data_centre: self.host.data_centre.clone(),
                draining: false,
            },
            voters: self.control.voters.iter().map(|voter| voter.id).collect(),
            lease_duration: self.control.lease,
            lease_renewal: self.control.renewal,
            suspect_after: self.failover.suspect_after,
            stall_after: self.failover.stall_after,
            gateways_per_group: self.groups.homes,
            election_timeout: self.control.election_timeout,
            heartbeat_interval: self.control.heartbeat,
            seed,
        }
    }
}

fn reject_value(key: &'static str, reason: &str) -> Result<(), SettingsError> {
    InvalidValueSnafu { key, reason }.fail()
}
