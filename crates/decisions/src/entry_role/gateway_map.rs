use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{identity::HostId, sessions::rank_hosts};

/// Connections that a database must have for each gateway: enough for a few open
/// transactions besides the statements that run.
const CONNECTIONS_PER_GATEWAY: u32 = 3;
/// The same where it allows as many gateways in each data centre: a statement that
/// stays in its data centre up to the gateway is worth more than a spare connection.
const MIN_CONNECTIONS_PER_GATEWAY: u32 = 2;
/// Number of gateways of a service that is aimed at. Each connection costs the database
/// a handshake, and fewer hosts use the same number of connections better.
const TARGET_GATEWAYS: u32 = 8;
/// Most hosts that connect to one database directly. Up to twice as many handshakes
/// as with gateways cost less than forwarding through a second host.
const MAX_DIRECT_HOSTS: u32 = 2 * TARGET_GATEWAYS;

/// The entry hosts of one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreHosts {
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Its entry hosts that may be gateways.
    pub hosts: Vec<HostId>,
}

/// How a host reaches the databases of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DatabasePath {
    /// Over its own connections, at most about `connections` of them to each database.
    Direct {
        /// The host's equal share.
        connections: u32,
    },
    /// Through one of these gateways, in order of preference.
    Gateways(Vec<HostId>),
}

/// Entry hosts by data centre, among which the gateways of services are chosen.
///
/// All databases of a service have the same gateways. Each of them thus sees the
/// service's primary and its replicas, and can choose the database for a read.
#[derive(Debug, Clone, Default)]
pub struct GatewayMap {
    sites: Vec<DataCentreHosts>,
    choose_databases: bool,
}

impl GatewayMap {
    /// Hosts whose data centres are not known, as older control hosts send them.
    pub fn without_places(hosts: Vec<HostId>) -> Self {
        let sites = match hosts.is_empty() {
            true => Vec::new(),
            false => vec![DataCentreHosts { data_centre: Arc::from(""), hosts }],
        };
        Self { sites, choose_databases: false }
    }

    /// Hosts by data centre; each of them can choose the database for a read.
    pub fn by_data_centre(mut sites: Vec<DataCentreHosts>) -> Self {
        sites.retain(|site| !site.hosts.is_empty());
        Self { sites, choose_databases: true }
    }

    /// True if reads may be sent to a gateway that chooses the database.
    pub fn gateways_choose_databases(&self) -> bool {
        self.choose_databases
    }

    /// How host `me` in `data_centre` reaches the databases of a service, to each of
    /// which `entry_hosts` hosts together may open `connections` connections.
    ///
    /// If there are too few connections to give every host as many as a gateway
    /// needs, or more hosts than a database should accept handshakes from, some
    /// hosts become the service's gateways: only they connect to its databases, and
    /// the others send their statements through them.
    pub fn path_to(
        &self,
        me: HostId,
        data_centre: &str,
        service: &str,
        entry_hosts: u32,
        connections: u32,
    ) -> DatabasePath {
        if self.all_connect(entry_hosts, connections) {
            return DatabasePath::Direct { connections: connections / entry_hosts.max(1) };
        }
        let chosen = self.gateways(service, connections);
        let count: usize = chosen.iter().map(|site| site.hosts.len()).sum();
        if chosen.iter().any(|site| site.hosts.contains(&me)) {
            return DatabasePath::Direct { connections: connections / (count as u32).max(1) };
        }
        // Each host has its own order, so that the gateways share the load. Those in
        // its data centre come first.
        let key = [service.as_bytes(), &me.0.to_be_bytes()].concat();
        DatabasePath::Gateways(rank_near_first(chosen, data_centre, &key))
    }

    /// How host `me` reaches the databases of a service for statements of one
    /// workspace.
    ///
    /// A connection belongs to one workspace. All hosts of a data centre send the
    /// statements of a workspace to the same gateway, so that its connections are used
    /// again, which saves a handshake for most statements.
    pub fn workspace_path(
        &self,
        me: HostId,
        data_centre: &str,
        service: &str,
        workspace: &str,
        entry_hosts: u32,
        connections: u32,
    ) -> DatabasePath {
        let direct = self.path_to(me, data_centre, service, entry_hosts, connections);
        if self.all_connect(entry_hosts, connections) {
            return direct;
        }
        let key = [service.as_bytes(), b"/", workspace.as_bytes()].concat();
        let chosen = self.gateways(service, connections);
        let ranked = rank_near_first(chosen, data_centre, &key);
        match (ranked.first() == Some(&me), direct) {
            (true, direct @ DatabasePath::Direct { .. }) => direct,
            _ => DatabasePath::Gateways(ranked.into_iter().filter(|host| *host != me).collect()),
        }
    }

    /// True if every host connects to the databases itself.
    fn all_connect(&self, entry_hosts: u32, connections: u32) -> bool {
        let suffices = connections >= CONNECTIONS_PER_GATEWAY * entry_hosts;
        self.sites.is_empty() || suffices && entry_hosts <= MAX_DIRECT_HOSTS
    }

    /// The gateways of a service: as many in each data centre if the connections
    /// suffice, or else the best ones of all hosts.
    fn gateways(&self, service: &str, connections: u32) -> Vec<DataCentreHosts> {
        let count = (connections / CONNECTIONS_PER_GATEWAY).clamp(1, TARGET_GATEWAYS);
        let sites = self.sites.len() as u32;
        let per_site = count.div_ceil(sites);
        let spread = per_site * sites * MIN_CONNECTIONS_PER_GATEWAY <= connections;
        if spread || sites == 1 {
            let limit = if sites == 1 { count } else { per_site } as usize;
            return self.sites.iter().map(|site| best_hosts(site, service, limit)).collect();
        }
        let all = self.sites.iter().flat_map(|site| site.hosts.iter().copied());
        let mut best = rank_hosts(service.as_bytes(), all);
        best.truncate(count as usize);
        let keep_best = |site: &DataCentreHosts| DataCentreHosts {
            data_centre: site.data_centre.clone(),
            hosts: site.hosts.iter().copied().filter(|host| best.contains(host)).collect(),
        };
        self.sites.iter().map(keep_best).collect()
    }
}

/// The best hosts of a data centre for a service, `limit` at most.
fn best_hosts(site: &DataCentreHosts, service: &str, limit: usize) -> DataCentreHosts {
    let mut hosts = rank_hosts(service.as_bytes(), site.hosts.iter().copied());
    hosts.truncate(limit);
    DataCentreHosts { data_centre: site.data_centre.clone(), hosts }
}

/// Gateways in the order in which a host asks them: those in its own data centre
/// first, then the others, each by their rank for `key`.
fn rank_near_first(gateways: Vec<DataCentreHosts>, data_centre: &str, key: &[u8]) -> Vec<HostId> {
    let (near, far): (Vec<_>, Vec<_>) =
        gateways.into_iter().partition(|site| *site.data_centre == *data_centre);
    let rank = |sites: Vec<DataCentreHosts>| {
        rank_hosts(key, sites.into_iter().flat_map(|site| site.hosts))
    };
    let mut ranked = rank(near);
    ranked.extend(rank(far));
    ranked
}
