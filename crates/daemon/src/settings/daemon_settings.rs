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
    settings_error::{ImpossibleSnafu, MalformedSnafu, UnreadableSnafu},
};

/// Fewest renewals that must fit into one lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Fewest heartbeats that must fit into one election timeout.
const HEARTBEATS_PER_ELECTION: u32 = 3;
/// Most voters that a deployment may have.
const MAX_VOTERS: usize = 7;

/// Who this host is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostIdentity {
    /// Number, unique in the deployment.
    pub id: HostId,
    /// The data centre it stands in.
    pub data_centre: DataCentre,
}

/// Where this host listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers, by the PostgreSQL protocol.
    pub callers: SocketAddr,
    /// For other hosts.
    pub peers: SocketAddr,
    /// For operators, announcements, metrics and the balancer, by HTTP.
    pub operators: SocketAddr,
}

/// A host that votes in control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterAddress {
    /// Its number.
    pub id: HostId,
    /// Where it listens for other hosts.
    pub peers: SocketAddr,
}

/// Control: voters, times, and where a voter keeps its journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The voters of the deployment.
    pub voters: Vec<VoterAddress>,
    /// Data folder; needed on voters.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Shortest silence of the leader before an election.
    #[serde(default = "default_election_timeout", with = "humantime_serde")]
    pub election_timeout: Duration,
    /// Time between the leader's heartbeats.
    #[serde(default = "default_heartbeat", with = "humantime_serde")]
    pub heartbeat: Duration,
    /// Length of the lease that lets a host serve.
    #[serde(default = "default_lease", with = "humantime_serde")]
    pub lease: Duration,
    /// Time between renewals of the lease.
    #[serde(default = "default_renewal", with = "humantime_serde")]
    pub renewal: Duration,
}

/// When a primary is suspected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FailoverSettings {
    /// Silence of a primary before this host suspects it.
    #[serde(with = "humantime_serde")]
    pub suspect_after: Duration,
    /// Time without progress of replication before this host suspects it.
    #[serde(with = "humantime_serde")]
    pub stall_after: Duration,
}

/// How groups are spread over hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GroupSettings {
    /// Hosts that hold connections to one group.
    pub homes: usize,
}

/// Session tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionSettings {
    /// Secret from which the key of session tokens is derived; the same on all
    /// hosts.
    pub secret: Arc<str>,
}

/// What is logged.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Level of all parts: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Option<Arc<str>>,
    /// Levels of single parts by name.
    pub parts: BTreeMap<Arc<str>, Arc<str>>,
}

/// All settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Who this host is.
    pub host: HostIdentity,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Control.
    pub control: ControlSettings,
    /// Change of primary.
    #[serde(default)]
    pub failover: FailoverSettings,
    /// Groups.
    #[serde(default)]
    pub groups: GroupSettings,
    /// Sessions.
    pub sessions: SessionSettings,
    /// Logs.
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
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// `SettingsError` with the place, the reason and the mend.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text)
    }

    /// Reads and checks settings from their text.
    ///
    /// # Errors
    /// `SettingsError` with the place, the reason and the mend.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_yaml_ng::from_str(text).context(MalformedSnafu)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        self.check_voters()?;
        self.check_times()?;
        if self.groups.homes == 0 {
            return impossible("groups.homes", "a group needs at least 1 home");
        }
        if self.sessions.secret.len() < 16 {
            return impossible("sessions.secret", "give a secret of at least 16 characters");
        }
        Ok(())
    }

    fn check_voters(&self) -> Result<(), SettingsError> {
        let control = &self.control;
        let ids: BTreeSet<HostId> = control.voters.iter().map(|voter| voter.id).collect();
        if ids.len() != control.voters.len() {
            return impossible("control.voters", "two voters have the same id");
        }
        if ids.len().is_multiple_of(2) || ids.len() > MAX_VOTERS {
            return impossible("control.voters", "name 1, 3, 5 or 7 voters");
        }
        if ids.contains(&self.host.id) && control.data.is_none() {
            return impossible("control.data", "this host votes and needs a data folder");
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), SettingsError> {
        let control = &self.control;
        if control.renewal * RENEWALS_PER_LEASE > control.lease {
            return impossible(
                "control.renewal",
                "three renewals must fit into control.lease; shorten it or lengthen the lease",
            );
        }
        if control.heartbeat * HEARTBEATS_PER_ELECTION > control.election_timeout {
            return impossible(
                "control.heartbeat",
                "three heartbeats must fit into control.election_timeout",
            );
        }
        if self.failover.suspect_after < Duration::from_millis(250) {
            return impossible(
                "failover.suspect_after",
                "give at least 250ms, so that a short pause does not replace a primary",
            );
        }
        Ok(())
    }

    /// True if this host votes in control.
    pub fn is_voter(&self) -> bool {
        self.control.voters.iter().any(|voter| voter.id == self.host.id)
    }

    /// The part that the decisions need.
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

fn impossible(key: &'static str, reason: &str) -> Result<(), SettingsError> {
    ImpossibleSnafu { key, reason }.fail()
}
