use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{
    CallerAccess, DatabasePath, GatewayMap, KeyTable, LoadTable, ReadRequirement, ReadTarget,
    SampledPositions,
};
use crate::{
    clock::Moment,
    identity::{CallerKey, HostId},
    instances::{InstanceDeparture, InstanceDirectory, InstanceKey, InstanceRecord},
    leases::HeldLease,
    positions::LogPosition,
    primaries::ServiceTerm,
    routes::{RouteKind, RouteRule, RouteTable, ServiceRule},
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
/// Replicas whose costs differ by less than this factor take turns: costs are known
/// from few statements only, and hosts that all prefer the same replica overload it.
const SIMILAR_COST_FACTOR: f64 = 1.2;

/// Silence of all control hosts after which a host without a lease counts as cut off
/// from them. While it has no lease, it asks each of them twice a second.
const CONTROL_SILENCE: Duration = Duration::from_millis(1_200);

/// What the path to a service depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathInputs {
    gateways_version: u64,
    entry_hosts: u32,
    connections: u32,
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
    /// Not here: the lease has expired and no control host answers. Waiting does not help,
    /// while another host may have a lease.
    CutOff,
    /// Not before another database joins: the primary is unknown or may not be used any
    /// more, and no database is known that could replace it.
    Missing,
}

/// What an entry host knows about services, and the lease under which it serves.
#[derive(Debug)]
pub struct EntryView {
    data_centre: Arc<str>,
    directory: InstanceDirectory,
    routes: Option<Arc<RouteTable>>,
    routes_by_database: HashMap<Arc<str>, Arc<RouteRule>>,
    /// Keys of the configuration in force; `None` if callers need none.
    keys: Option<KeyTable>,
    /// Most urgent priority of the services whose routes have several.
    urgent_priorities: BTreeMap<Arc<str>, u32>,
    terms: BTreeMap<Arc<str>, ServiceTerm>,
    /// Number of each service's last term in which this host accepts no more answers.
    surrendered_terms: BTreeMap<Arc<str>, u64>,
    sampled_positions: BTreeMap<Arc<str>, SampledPositions>,
    lease: HeldLease,
    /// Time of the last message from any control host.
    control_heard_at: Option<Moment>,
    applied: u64,
    entry_hosts: u32,
    gateways: GatewayMap,
    /// Number of lists of gateways received so far.
    gateways_version: u64,
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
            keys: None,
            urgent_priorities: BTreeMap::new(),
            terms: BTreeMap::new(),
            surrendered_terms: BTreeMap::new(),
            sampled_positions: BTreeMap::new(),
            lease: HeldLease::default(),
            control_heard_at: None,
            applied: 0,
            entry_hosts: 1,
            gateways: GatewayMap::default(),
            gateways_version: 0,
            loads: LoadTable::default(),
        }
    }

    /// Applies the committed state at `index`, of which `terms` holds the changes since
    /// the index `since`, or all if that is 0; true if it is newer than the applied one.
    /// Changes nothing if this host has not applied the state at `since`. Older terms or
    /// routes change nothing.
    pub fn apply_state(
        &mut self,
        index: u64,
        since: u64,
        routes: Option<Arc<RouteTable>>,
        terms: Vec<ServiceTerm>,
    ) -> bool {
        if since > self.applied {
            return false;
        }
        let is_newer = |table: &Arc<RouteTable>| {
            self.routes.as_ref().is_none_or(|known| table.version > known.version)
        };
        if let Some(table) = routes.filter(is_newer) {
            self.routes_by_database = table
                .routes
                .iter()
                .rev()
                .map(|route| (route.database.clone(), Arc::new(route.clone())))
                .collect();
            self.keys = table.workspaces.as_deref().map(KeyTable::new);
            self.urgent_priorities = table.urgent_priorities();
            self.routes = Some(table);
        }
        if index <= self.applied {
            return false;
        }
        self.applied = index;
        if since == 0 {
            self.terms.clear();
        }
        self.terms.extend(terms.into_iter().map(|term| (term.service.clone(), term)));
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

    /// Time between renewals of the lease.
    pub fn renewal_interval(&self) -> Duration {
        self.lease.renewal_interval()
    }

    /// Records that a control host sent a message.
    pub fn record_control_message(&mut self, now: Moment) {
        self.control_heard_at = Some(now);
    }

    /// True if the lease has expired and no control host has sent anything for a while.
    /// A host that has just started and has heard none yet is not cut off.
    pub fn is_cut_off(&self, now: Moment) -> bool {
        !self.has_lease(now)
            && self.control_heard_at.is_some_and(|at| now.since(at) > CONTROL_SILENCE)
    }

    /// Sets the hosts among which the gateways are chosen.
    pub fn set_gateways(&mut self, gateways: GatewayMap) {
        self.gateways = gateways;
        self.gateways_version += 1;
    }

    /// What [`Self::path_to`] depends on besides the host and the service: a path is
    /// valid as long as this is the same.
    pub fn path_inputs(&self, connections: u32) -> PathInputs {
        PathInputs {
            gateways_version: self.gateways_version,
            entry_hosts: self.entry_hosts,
            connections,
        }
    }

    /// How host `me` reaches the databases of a service, to each of which all hosts
    /// together may open `connections` connections.
    pub fn path_to(&self, me: HostId, service: &str, connections: u32) -> DatabasePath {
        self.gateways.path_to(me, &self.data_centre, service, self.entry_hosts, connections)
    }

    /// The same for statements of one workspace.
    pub fn workspace_path(
        &self,
        me: HostId,
        service: &str,
        workspace: &str,
        connections: u32,
    ) -> DatabasePath {
        self.gateways.workspace_path(
            me,
            &self.data_centre,
            service,
            workspace,
            self.entry_hosts,
            connections,
        )
    }

    /// True if reads may be sent to a gateway that chooses the database.
    pub fn gateways_choose_databases(&self) -> bool {
        self.gateways.gateways_choose_databases()
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

    /// The declaration of a service in the configuration in force.
    pub fn service_rule(&self, service: &str) -> Option<&ServiceRule> {
        self.routes.as_ref()?.service(service)
    }

    /// The most urgent priority of a service; `None` if its routes all have the same.
    pub fn urgent_priority(&self, service: &str) -> Option<u32> {
        self.urgent_priorities.get(service).copied()
    }

    /// The route of a database name.
    pub fn route(&self, database: &str) -> Option<Arc<RouteRule>> {
        self.routes_by_database.get(database).cloned()
    }

    /// Whether a caller with this key may use a route now; without a route, whether it
    /// may use one that needs a key.
    ///
    /// A lease names the newest committed configuration, which must be applied here.
    /// So a host with a lease knows of every key that was removed a lease's length ago.
    pub fn caller_access(
        &self,
        now: Moment,
        route: Option<&RouteRule>,
        key: Option<&CallerKey>,
    ) -> CallerAccess {
        let needs_key = route.is_none_or(|route| !route.anonymous);
        let Some(keys) = self.keys.as_ref().filter(|_| needs_key) else {
            return CallerAccess::Open;
        };
        if !self.has_lease(now) {
            return match self.is_cut_off(now) {
                true => CallerAccess::CutOff,
                false => CallerAccess::Unproven,
            };
        }
        match key.and_then(|key| keys.workspace(key)) {
            Some(workspace) => CallerAccess::Member(workspace.clone()),
            None => CallerAccess::Refused,
        }
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

    /// Number of the service's term if this database is its primary and the term
    /// steady, whether or not this host has a lease.
    pub fn term_led_by(&self, service: &str, key: &InstanceKey) -> Option<u64> {
        let term = self.terms.get(service).filter(|term| term.is_steady())?;
        (term.primary == *key).then_some(term.number)
    }

    /// Whether the service's primary may be used now.
    pub fn primary(&self, now: Moment, service: &str) -> PrimaryAvailability {
        if !self.has_lease(now) {
            return match self.is_cut_off(now) {
                true => PrimaryAvailability::CutOff,
                false => PrimaryAvailability::Unavailable,
            };
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

    /// The database with the lowest cost for a read, except those already tried. Of
    /// replicas with a similar cost it is the one that this host has not used for
    /// longest.
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
            PrimaryAvailability::Unavailable
            | PrimaryAvailability::CutOff
            | PrimaryAvailability::Missing => None,
        };
        let replicas = self
            .directory
            .instances_of_service(service)
            .filter(|record| !record.draining && !tried.contains(&record.key))
            .filter(|record| primary.as_ref().is_none_or(|primary| primary.key != record.key));
        let eligible: Vec<(f64, u64, &InstanceRecord)> = replicas
            .filter_map(|record| {
                let load = self.loads.get(&record.key);
                let is_eligible =
                    load.is_usable(now) && load.may_hold(now, position, likely_replicated);
                let cost = || self.cost(record, load.expected_ms(now));
                is_eligible.then(|| (cost(), load.last_use, record))
            })
            .collect();
        let lowest = eligible.iter().map(|(cost, ..)| *cost).min_by(f64::total_cmp);
        let best = eligible
            .into_iter()
            .filter(|(cost, ..)| lowest.is_some_and(|lowest| *cost <= SIMILAR_COST_FACTOR * lowest))
            .min_by_key(|(_, last_use, _)| *last_use)
            .map(|(cost, _, record)| (cost, record));
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
