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

/// Part of the accepted age that is kept for the way to the replica.
const AGE_MARGIN: Duration = Duration::from_millis(50);
/// Age of a mark at which replicas usually hold it. A replica that does not
/// refuses at once and is left out for a while.
const SETTLED_AGE: Duration = Duration::from_millis(80);
/// How much dearer a read is at the primary, which alone takes the writes.
const PRIMARY_WEIGHT: f64 = 1.5;
/// How much dearer a read is in another data centre.
const REMOTE_WEIGHT: f64 = 1.25;

/// Connections of one home: enough for a few open transactions beside the
/// statements that run.
const HOME_CONNECTIONS: u32 = 3;
/// Most homes of one database: every connection costs it a handshake, and few
/// hosts keep the same connections busier.
const MOST_HOMES: u32 = 8;
/// Most hosts that connect to one database without homes: twice as many
/// handshakes are cheaper than a second host on the way.
const MOST_DIRECT_HOSTS: u32 = 2 * MOST_HOMES;

/// How a host reaches a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DatabasePath {
    /// By connections of its own, at most about so many.
    Direct {
        /// The host's even share.
        connections: u32,
    },
    /// Through one of these hosts, the preferred one first.
    Gateways(Vec<HostId>),
}

/// Whether this host may use a service's primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrimaryAvailability {
    /// It may, in this term.
    Usable {
        /// The primary.
        record: InstanceRecord,
        /// The term; checked again when the answer comes.
        number: u64,
    },
    /// Not now: no lease, or the primary is being replaced.
    Unavailable,
}

/// What a read must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRequirement {
    /// Everything that was acknowledged: only the primary can tell.
    Latest,
    /// This position; `likely_replicated` if replicas that keep up hold it.
    Position {
        /// The position.
        position: LogPosition,
        /// It is older than the usual replication lag.
        likely_replicated: bool,
    },
}

/// Where a read goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadTarget {
    /// To the primary, if it may be used.
    Primary,
    /// To this replica, which must hold the position.
    Replica {
        /// The replica.
        record: InstanceRecord,
        /// The position.
        position: LogPosition,
    },
}

/// All that an entry host knows of services, and its right to serve.
#[derive(Debug)]
pub struct EntryView {
    data_centre: Arc<str>,
    directory: InstanceDirectory,
    routes: Option<Arc<RouteTable>>,
    by_database: HashMap<Arc<str>, Arc<RouteRule>>,
    terms: BTreeMap<Arc<str>, ServiceTerm>,
    marks: BTreeMap<Arc<str>, SampledPositions>,
    lease: HeldLease,
    applied: u64,
    entry_hosts: u32,
    homes: Vec<HostId>,
    /// What this host saw of the databases.
    pub loads: LoadTable,
}

impl EntryView {
    /// A host that knows nothing yet.
    pub fn new(data_centre: Arc<str>) -> Self {
        Self {
            data_centre,
            directory: InstanceDirectory::default(),
            routes: None,
            by_database: HashMap::new(),
            terms: BTreeMap::new(),
            marks: BTreeMap::new(),
            lease: HeldLease::default(),
            applied: 0,
            entry_hosts: 1,
            homes: Vec::new(),
            loads: LoadTable::default(),
        }
    }

    /// Takes the committed state; an older one changes nothing. Returns true
    /// if it was newer.
    pub fn apply_state(
        &mut self,
        index: u64,
        routes: Option<Arc<RouteTable>>,
        terms: Vec<ServiceTerm>,
    ) -> bool {
        if let Some(table) = routes.filter(|table| table.version > self.routes_version()) {
            self.by_database = table
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

    /// Extends the lease, counted from `sent_at`.
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

    /// Sets the entry hosts that may be gateways.
    pub fn set_entry_hosts(&mut self, hosts: Vec<HostId>) {
        self.homes = hosts;
    }

    /// How a host connects to a database, where `connections` may be opened by
    /// all hosts together.
    ///
    /// With too few connections for every host to have a gateway's number, or
    /// with more hosts than a database should have to accept handshakes from,
    /// some hosts are the database's gateways: they alone connect to it, and the
    /// others send their statements there.
    pub fn path_to(&self, me: HostId, instance: &str, connections: u32) -> DatabasePath {
        let hosts = self.entry_hosts;
        let for_all = connections >= HOME_CONNECTIONS * hosts && hosts <= MOST_DIRECT_HOSTS;
        if for_all || self.homes.is_empty() {
            return DatabasePath::Direct { connections: connections / hosts };
        }
        let homes = (connections / HOME_CONNECTIONS).clamp(1, MOST_HOMES);
        let mut ranked = rank_hosts(instance.as_bytes(), self.homes.iter().copied());
        ranked.truncate(homes as usize);
        if ranked.contains(&me) {
            return DatabasePath::Direct { connections: connections / homes };
        }
        // Each host has an order of its own, so that the homes share the work.
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

    /// Removes databases whose announcements stayed away for too long.
    pub fn remove_expired(&mut self, departures: &[InstanceDeparture]) {
        for departure in departures {
            self.directory.remove(departure);
        }
        self.prune_loads();
    }

    /// Index of control's log that is applied here.
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
        self.by_database.get(database).cloned()
    }

    /// Hosts that share the databases' connections.
    pub fn entry_hosts(&self) -> u32 {
        self.entry_hosts
    }

    /// True while the lease holds.
    pub fn has_lease(&self, now: Moment) -> bool {
        self.lease.is_valid(now, self.applied)
    }

    /// Time for which the lease still holds.
    pub fn lease_remaining(&self, now: Moment) -> Duration {
        self.lease.remaining(now, self.applied)
    }

    /// The primary's record and term, whether or not it may be used.
    pub fn term(&self, service: &str) -> Option<&ServiceTerm> {
        self.terms.get(service)
    }

    /// The database with this key, if it is still the newest start.
    pub fn instance(&self, key: &InstanceKey) -> Option<&InstanceRecord> {
        self.directory.get_by_key(key)
    }

    /// The newest start of a database by its id.
    pub fn instance_by_id(&self, id: &str) -> Option<&InstanceRecord> {
        self.directory.get(id)
    }

    /// Whether the service's primary may be used now.
    pub fn primary(&self, now: Moment, service: &str) -> PrimaryAvailability {
        if !self.has_lease(now) {
            return PrimaryAvailability::Unavailable;
        }
        let Some(term) = self.terms.get(service).filter(|term| term.is_steady()) else {
            return PrimaryAvailability::Unavailable;
        };
        match self.directory.get_by_key(&term.primary) {
            Some(record) => {
                PrimaryAvailability::Usable { record: record.clone(), number: term.number }
            }
            None => PrimaryAvailability::Unavailable,
        }
    }

    /// True if a write's answer from the primary of this term may be given.
    pub fn accepts_answer(&self, now: Moment, service: &str, number: u64) -> bool {
        self.has_lease(now)
            && self.terms.get(service).is_some_and(|term| term.accepts_answers(number))
    }

    /// Records a position that the primary reported, if the lease and the term
    /// still hold.
    pub fn record_primary_position(
        &mut self,
        now: Moment,
        service: &Arc<str>,
        number: u64,
        sent_at: Moment,
        position: LogPosition,
    ) {
        if self.accepts_answer(now, service, number) {
            self.marks.entry(service.clone()).or_default().record(sent_at, position);
        }
    }

    /// What a read of this route must see.
    pub fn read_requirement(
        &self,
        now: Moment,
        route: &RouteRule,
        last_commit: Option<LogPosition>,
    ) -> ReadRequirement {
        let (max_age, own) = match route.kind {
            RouteKind::Primary => return ReadRequirement::Latest,
            RouteKind::BoundedStaleness { max_age } => (max_age, None),
            RouteKind::ReadYourWrites { max_age } => (max_age, last_commit),
        };
        let marks = self.marks.get(&route.service);
        let mark =
            marks.and_then(|marks| marks.oldest_within(now, max_age.saturating_sub(AGE_MARGIN)));
        let Some((at, position)) = mark else {
            return ReadRequirement::Latest;
        };
        match own.filter(|own| *own > position) {
            Some(own) => ReadRequirement::Position { position: own, likely_replicated: false },
            None => {
                let settled = now.since(at) >= SETTLED_AGE;
                ReadRequirement::Position { position, likely_replicated: settled }
            }
        }
    }

    /// The best database for a read, leaving out those that were tried.
    pub fn read_target(
        &self,
        now: Moment,
        service: &str,
        need: ReadRequirement,
        tried: &[InstanceKey],
    ) -> ReadTarget {
        let ReadRequirement::Position { position, likely_replicated: settled } = need else {
            return ReadTarget::Primary;
        };
        let primary = match self.primary(now, service) {
            PrimaryAvailability::Usable { record, .. } => Some(record),
            PrimaryAvailability::Unavailable => None,
        };
        let replicas = self
            .directory
            .instances_of_service(service)
            .filter(|record| !record.draining && !tried.contains(&record.key))
            .filter(|record| primary.as_ref().is_none_or(|primary| primary.key != record.key));
        let best = replicas
            .filter_map(|record| {
                let load = self.loads.get(&record.key);
                let fits = load.is_usable(now) && load.may_hold(now, position, settled);
                fits.then(|| (self.cost(record, load.expected_ms(now)), record))
            })
            .min_by(|(a, _), (b, _)| a.total_cmp(b));
        let primary_cost = primary.filter(|record| !tried.contains(&record.key)).map(|record| {
            let load = self.loads.get(&record.key);
            PRIMARY_WEIGHT * self.cost(&record, load.expected_ms(now))
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
            false => expected_ms * REMOTE_WEIGHT,
        }
    }

    fn prune_loads(&mut self) {
        let directory = &self.directory;
        self.loads.retain(|key| directory.get_by_key(key).is_some());
    }
}
