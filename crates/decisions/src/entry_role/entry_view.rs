use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{LoadTable, SampledPositions};
use crate::{
    clock::Moment,
    identity::HostId,
    instances::{InstanceDeparture, InstanceDirectory, InstanceKey, InstanceRecord},
    leases::HeldLease,
    positions::LogPosition,
    primaries::ServiceTerm,
    routes::{RouteKind, RouteRule, RouteTable},
    sessions::rank_hosts,
};

/// Subtracted from the maximum age of a read, for the time that the read takes to
/// reach a replica.
const TRANSIT_MARGIN: Duration = Duration::from_millis(50);
/// Age at which replicas usually hold a sampled position. A replica that lacks it
/// refuses the read at once and is then avoided for a while.
const LIKELY_REPLICATED_AGE: Duration = Duration::from_millis(80);
/// Cost factor of a read at the primary, since only the primary serves writes.
const PRIMARY_COST_FACTOR: f64 = 1.5;
/// Cost factor of a read in another data centre.
const REMOTE_COST_FACTOR: f64 = 1.25;

/// Connections that a database must have for each gateway: enough for a few open
/// transactions besides the statements that run.
const CONNECTIONS_PER_GATEWAY: u32 = 3;
/// Most gateways of one database. Each connection costs the database a handshake,
/// and fewer hosts use the same number of connections better.
const MAX_GATEWAYS: u32 = 8;
/// Most hosts that connect to one database directly. Up to twice as many handshakes
/// as with gateways cost less than forwarding through a second host.
const MAX_DIRECT_HOSTS: u32 = 2 * MAX_GATEWAYS;

/// How a host reaches a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DatabasePath {
    /// Over its own connections, at most about `connections` of them.
    Direct {
        /// The host's equal share.
        connections: u32,
    },
    /// Through one of these gateways, in order of preference.
    Gateways(Vec<HostId>),
}

/// Whether this host may use a service's primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrimaryAvailability {
    /// It may, in this term.
    Usable {
        /// The primary.
        record: InstanceRecord,
        /// Number of the term; checked again when the answer arrives.
        number: u64,
    },
    /// Not now: there is no lease, or the primary is being replaced.
    Unavailable,
    /// Not before another database joins: the primary is unknown or may not be used any
    /// more, and no database is known that could replace it.
    Missing,
}

/// What a read must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRequirement {
    /// Every acknowledged commit; only the primary guarantees that.
    Latest,
    /// Every commit up to this position.
    Position {
        /// The position.
        position: LogPosition,
        /// True if replicas without unusual lag hold the position.
        likely_replicated: bool,
    },
}

/// Database that a read is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadTarget {
    /// The primary, if it may be used.
    Primary,
    /// This replica, which must hold the position.
    Replica {
        /// The replica.
        record: InstanceRecord,
        /// The position.
        position: LogPosition,
    },
}

/// What an entry host knows about services, and the lease under which it serves.
#[derive(Debug)]
pub struct EntryView {
    data_centre: Arc<str>,
    directory: InstanceDirectory,
    routes: Option<Arc<RouteTable>>,
    routes_by_database: HashMap<Arc<str>, Arc<RouteRule>>,
    terms: BTreeMap<Arc<str>, ServiceTerm>,
    /// Number of each service's last term in which this host accepts no more answers.
    surrendered_terms: BTreeMap<Arc<str>, u64>,
    sampled_positions: BTreeMap<Arc<str>, SampledPositions>,
    lease: HeldLease,
    applied: u64,
    entry_hosts: u32,
    gateway_candidates: Vec<HostId>,
    /// Load and health of the databases, as observed by this host.
    pub loads: LoadTable,
}

impl EntryView {
    /// The view of a host that has received nothing yet.
    pub fn new(data_centre: Arc<str>) -> Self {
        Self {
            data_centre,
            directory: InstanceDirectory::default(),
            routes: None,
            routes_by_database: HashMap::new(),
            terms: BTreeMap::new(),
            surrendered_terms: BTreeMap::new(),
            sampled_positions: BTreeMap::new(),
            lease: HeldLease::default(),
            applied: 0,
            entry_hosts: 1,
            gateway_candidates: Vec::new(),
            loads: LoadTable::default(),
        }
    }

    /// Applies the committed state at `index` and returns true if it was newer
    /// than the applied one. Older terms or routes change nothing.
    pub fn apply_state(
        &mut self,
        index: u64,
        routes: Option<Arc<RouteTable>>,
        terms: Vec<ServiceTerm>,
    ) -> bool {
        if let Some(table) = routes.filter(|table| table.version > self.routes_version()) {
            self.routes_by_database = table
                .routes
                .iter()
                .rev()
                .map(|route| (route.database.clone(), Arc::new(route.clone())))
                .collect();
            self.routes = Some(table);
        }
        if index <= self.applied {
            return false;
        }
        self.applied = index;
        self.terms = terms.into_iter().map(|term| (term.service.clone(), term)).collect();
        true
    }

    /// Stops accepting answers to writes of a term.
    pub fn surrender_term(&mut self, service: &Arc<str>, number: u64) {
        self.surrendered_terms.insert(service.clone(), number);
    }

    /// Extends the lease; `duration` counts from `sent_at`, when it was requested.
    /// `entry_hosts` is the number of hosts that share the databases' connections.
    pub fn extend_lease(
        &mut self,
        sent_at: Moment,
        duration: Duration,
        required_index: u64,
        entry_hosts: u32,
    ) {
        self.lease.extend(sent_at, duration, required_index);
        self.entry_hosts = entry_hosts.max(1);
    }

    /// Sets the hosts among which the gateways are chosen.
    pub fn set_entry_hosts(&mut self, hosts: Vec<HostId>) {
        self.gateway_candidates = hosts;
    }

    /// How host `me` reaches the database with id `instance`, to which all hosts
    /// together may open `connections` connections.
    ///
    /// If there are too few connections to give every host as many as a gateway
    /// needs, or more hosts than a database should accept handshakes from, some
    /// hosts become the database's gateways: only they connect to it, and the
    /// others send their statements through them.
    pub fn path_to(&self, me: HostId, instance: &str, connections: u32) -> DatabasePath {
        let hosts = self.entry_hosts;
        let all_direct =
            connections >= CONNECTIONS_PER_GATEWAY * hosts && hosts <= MAX_DIRECT_HOSTS;
        if all_direct || self.gateway_candidates.is_empty() {
            return DatabasePath::Direct { connections: connections / hosts };
        }
        let count = (connections / CONNECTIONS_PER_GATEWAY).clamp(1, MAX_GATEWAYS);
        let mut ranked = rank_hosts(instance.as_bytes(), self.gateway_candidates.iter().copied());
        ranked.truncate(count as usize);
        if ranked.contains(&me) {
            return DatabasePath::Direct { connections: connections / count };
        }
        // Each host has its own order, so that the gateways share the load.
        let key = [instance.as_bytes(), &me.0.to_be_bytes()].concat();
        DatabasePath::Gateways(rank_hosts(&key, ranked))
    }

    /// Records announcements of databases.
    pub fn record_announcements(&mut self, now: Moment, records: &[InstanceRecord]) {
        for record in records {
            self.directory.record_announcement(now, record);
        }
        self.prune_loads();
    }

    /// Records that databases are gone.
    pub fn record_departures(&mut self, departures: &[InstanceDeparture]) {
        for departure in departures {
            self.directory.record_departure(departure);
        }
        self.prune_loads();
    }

    /// Removes databases that stopped announcing themselves.
    pub fn remove_expired(&mut self, departures: &[InstanceDeparture]) {
        for departure in departures {
            self.directory.remove(departure);
        }
        self.prune_loads();
    }

    /// Index of the control log up to which the state is applied here.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Version of the configuration in force, 0 without one.
    pub fn routes_version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |table| table.version)
    }

    /// The configuration in force.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.routes.as_ref()
    }

    /// The route of a database name.
    pub fn route(&self, database: &str) -> Option<Arc<RouteRule>> {
        self.routes_by_database.get(database).cloned()
    }

    /// Number of hosts that share the databases' connections.
    pub fn entry_hosts(&self) -> u32 {
        self.entry_hosts
    }

    /// True while the lease is valid.
    pub fn has_lease(&self, now: Moment) -> bool {
        self.lease.is_valid(now, self.applied)
    }

    /// Time until the lease expires.
    pub fn lease_remaining(&self, now: Moment) -> Duration {
        self.lease.remaining(now, self.applied)
    }

    /// The service's primary and its term, whether or not they may be used.
    pub fn term(&self, service: &str) -> Option<&ServiceTerm> {
        self.terms.get(service)
    }

    /// The database with this key, if that is still its newest start.
    pub fn instance(&self, key: &InstanceKey) -> Option<&InstanceRecord> {
        self.directory.get_by_key(key)
    }

    /// The newest start of the database with this id.
    pub fn instance_by_id(&self, id: &str) -> Option<&InstanceRecord> {
        self.directory.get(id)
    }

    /// Whether the service's primary may be used now.
    pub fn primary(&self, now: Moment, service: &str) -> PrimaryAvailability {
        if !self.has_lease(now) {
            return PrimaryAvailability::Unavailable;
        }
        let term = self.terms.get(service);
        if let Some(term) = term.filter(|term| term.is_steady())
            && let Some(record) = self.directory.get_by_key(&term.primary)
        {
            return PrimaryAvailability::Usable { record: record.clone(), number: term.number };
        }
        let has_candidate = self
            .directory
            .instances_of_service(service)
            .any(|record| term.is_none_or(|term| term.primary != record.key));
        match has_candidate {
            true => PrimaryAvailability::Unavailable,
            false => PrimaryAvailability::Missing,
        }
    }

    /// True if a write's answer from the primary of this term may be passed on to the
    /// caller.
    pub fn accepts_answer(&self, now: Moment, service: &str, number: u64) -> bool {
        self.has_lease(now)
            && self.surrendered_terms.get(service) != Some(&number)
            && self.terms.get(service).is_some_and(|term| term.accepts_answers(number))
    }

    /// Records a position that the primary reported, if the lease is valid and the
    /// term still accepts answers.
    pub fn record_primary_position(
        &mut self,
        now: Moment,
        service: &Arc<str>,
        number: u64,
        sent_at: Moment,
        position: LogPosition,
    ) {
        if self.accepts_answer(now, service, number) {
            self.sampled_positions.entry(service.clone()).or_default().record(sent_at, position);
        }
    }

    /// What a read of this route must see, given the position of the session's last
    /// commit.
    pub fn read_requirement(
        &self,
        now: Moment,
        route: &RouteRule,
        last_commit: Option<LogPosition>,
    ) -> ReadRequirement {
        let (max_age, own_commit) = match route.kind {
            RouteKind::Primary => return ReadRequirement::Latest,
            RouteKind::BoundedStaleness { max_age } => (max_age, None),
            RouteKind::ReadYourWrites { max_age } => (max_age, last_commit),
        };
        let samples = self.sampled_positions.get(&route.service);
        let sample = samples
            .and_then(|samples| samples.oldest_within(now, max_age.saturating_sub(TRANSIT_MARGIN)));
        let Some((at, position)) = sample else {
            return ReadRequirement::Latest;
        };
        match own_commit.filter(|own_commit| *own_commit > position) {
            Some(own_commit) => {
                ReadRequirement::Position { position: own_commit, likely_replicated: false }
            }
            None => {
                let likely_replicated = now.since(at) >= LIKELY_REPLICATED_AGE;
                ReadRequirement::Position { position, likely_replicated }
            }
        }
    }

    /// The database with the lowest cost for a read, except those already tried.
    pub fn read_target(
        &self,
        now: Moment,
        service: &str,
        requirement: ReadRequirement,
        tried: &[InstanceKey],
    ) -> ReadTarget {
        let ReadRequirement::Position { position, likely_replicated } = requirement else {
            return ReadTarget::Primary;
        };
        let primary = match self.primary(now, service) {
            PrimaryAvailability::Usable { record, .. } => Some(record),
            PrimaryAvailability::Unavailable | PrimaryAvailability::Missing => None,
        };
        let replicas = self
            .directory
            .instances_of_service(service)
            .filter(|record| !record.draining && !tried.contains(&record.key))
            .filter(|record| primary.as_ref().is_none_or(|primary| primary.key != record.key));
        let best = replicas
            .filter_map(|record| {
                let load = self.loads.get(&record.key);
                let is_eligible =
                    load.is_usable(now) && load.may_hold(now, position, likely_replicated);
                is_eligible.then(|| (self.cost(record, load.expected_ms(now)), record))
            })
            .min_by(|(a, _), (b, _)| a.total_cmp(b));
        let primary_cost = primary.filter(|record| !tried.contains(&record.key)).map(|record| {
            let load = self.loads.get(&record.key);
            PRIMARY_COST_FACTOR * self.cost(&record, load.expected_ms(now))
        });
        match (best, primary_cost) {
            (Some((cost, record)), primary) if primary.is_none_or(|primary| cost <= primary) => {
                ReadTarget::Replica { record: record.clone(), position }
            }
            _ => ReadTarget::Primary,
        }
    }

    fn cost(&self, record: &InstanceRecord, expected_ms: f64) -> f64 {
        match record.data_centre == self.data_centre {
            true => expected_ms,
            false => expected_ms * REMOTE_COST_FACTOR,
        }
    }

    fn prune_loads(&mut self) {
        let directory = &self.directory;
        self.loads.retain(|key| directory.get_by_key(key).is_some());
    }
}
