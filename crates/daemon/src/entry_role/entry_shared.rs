use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use hawthornstack_decisions::{
    clock::Moment,
    control_role::EntryReport,
    entry_role::{DatabasePath, EntryView, GatewayLoad, choose_gateway},
    identity::HostId,
    instances::{InstanceKey, InstanceRecord},
};
use tokio::sync::{Notify, mpsc};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{EntrySettings, database_pool::DatabasePool, request_trace::TraceBudget};
use crate::{
    clock::BootClock,
    edges::{CallerProtocol, UpstreamProtocol},
    metrics::HostMetrics,
};

/// Connections to a database that are left to control's questions.
const SPARE_CONNECTIONS: u32 = 1;
/// Part of its share that a host keeps open while idle. Databases hold the
/// connections of hosts that lost power for seconds, and the rest of their
/// places is all that the hosts have when they are back.
const IDLE_PART: usize = 4;

/// Links of one host to one home for one database: transactions that wait for
/// their next statement hold one each.
const HOME_LINKS: usize = 8;
/// Time for which a home that could not be reached is passed over.
const HOME_AVOIDANCE: Duration = Duration::from_millis(1_000);

/// How far a host is on its way to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShutdownStage {
    /// It serves.
    Serving,
    /// It says that it takes no new callers, and serves those that come.
    Leaving,
    /// Sessions without a transaction are closed between statements.
    ClosingIdle,
    /// All sessions are closed between statements.
    ClosingAll,
}

/// A database and the home through which it is reached, if any.
type PoolKey = (InstanceKey, Option<HostId>);

/// What the tasks of an entry host share; all run on one thread.
pub(super) struct EntryShared {
    pub(super) settings: EntrySettings,
    pub(super) callers: Box<dyn CallerProtocol>,
    pub(super) upstreams: Box<dyn UpstreamProtocol>,
    pub(super) clock: BootClock,
    pub(super) view: RefCell<EntryView>,
    /// Wakes tasks that wait for a lease, a primary or a database.
    pub(super) changed: Notify,
    pub(super) stage: Cell<ShutdownStage>,
    pub(super) sessions: Cell<u32>,
    pub(super) reports: mpsc::UnboundedSender<EntryReport>,
    pub(super) probing: RefCell<BTreeSet<(Arc<str>, u64)>>,
    pub(super) cancel: CancellationToken,
    pub(super) tasks: TaskTracker,
    pub(super) metrics: HostMetrics,
    pub(super) traces: TraceBudget,
    pools: RefCell<HashMap<PoolKey, Rc<DatabasePool>>>,
    /// Homes that could not be reached, and until when they are passed over.
    avoided: RefCell<HashMap<HostId, Moment>>,
    home_loads: RefCell<HashMap<InstanceKey, BTreeMap<HostId, GatewayLoad>>>,
    writes: RefCell<BTreeMap<(Arc<str>, u64), u32>>,
}

impl EntryShared {
    pub(super) fn new(
        settings: EntrySettings,
        callers: Box<dyn CallerProtocol>,
        upstreams: Box<dyn UpstreamProtocol>,
        reports: mpsc::UnboundedSender<EntryReport>,
        metrics: HostMetrics,
        cancel: CancellationToken,
    ) -> Self {
        let view = RefCell::new(EntryView::new(settings.data_centre.clone()));
        Self {
            settings,
            callers,
            upstreams,
            clock: BootClock,
            view,
            changed: Notify::new(),
            stage: Cell::new(ShutdownStage::Serving),
            sessions: Cell::new(0),
            reports,
            probing: RefCell::new(BTreeSet::new()),
            cancel,
            tasks: TaskTracker::new(),
            metrics,
            traces: TraceBudget::default(),
            pools: RefCell::new(HashMap::new()),
            avoided: RefCell::new(HashMap::new()),
            home_loads: RefCell::new(HashMap::new()),
            writes: RefCell::new(BTreeMap::new()),
        }
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// True if a session, idle or in a transaction, is closed before its next
    /// statement.
    pub(super) fn closes_session(&self, is_idle: bool) -> bool {
        match self.stage.get() {
            ShutdownStage::Serving | ShutdownStage::Leaving => false,
            ShutdownStage::ClosingIdle => is_idle,
            ShutdownStage::ClosingAll => true,
        }
    }

    /// The pool of connections to a database, direct or through a home.
    pub(super) fn pool(&self, record: &InstanceRecord) -> Rc<DatabasePool> {
        match self.path_to(record) {
            DatabasePath::Direct { connections } => {
                self.pool_by(record, None, connections as usize)
            }
            DatabasePath::Gateways(homes) => {
                self.pool_by(record, self.usable_home(record, &homes), HOME_LINKS)
            }
        }
    }

    /// The pool of this host's own connections to a database.
    pub(super) fn direct_pool(&self, record: &InstanceRecord) -> Rc<DatabasePool> {
        self.pool_by(record, None, self.connection_share(record, None))
    }

    fn pool_by(
        &self,
        record: &InstanceRecord,
        home: Option<HostId>,
        share: usize,
    ) -> Rc<DatabasePool> {
        let hosts = self.view.borrow().entry_hosts();
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry((record.key.clone(), home));
        let pool = pool.or_insert_with(|| DatabasePool::new(record, home, hosts, share));
        pool.set_share(share);
        pool.clone()
    }

    fn usable_home(&self, record: &InstanceRecord, homes: &[HostId]) -> Option<HostId> {
        let (avoided, loads) = (self.avoided.borrow(), self.home_loads.borrow());
        let loads = loads.get(&record.key);
        let load_of = |home: &HostId| {
            let mut load = loads.and_then(|loads| loads.get(home)).copied().unwrap_or_default();
            avoided.get(home).into_iter().for_each(|until| load.avoid_until(*until));
            load
        };
        let known: Vec<GatewayLoad> = homes.iter().map(load_of).collect();
        choose_gateway(&known, self.now()).map(|place| homes[place])
    }

    /// Notes how a home answered for a database, or that it had no connection
    /// free.
    pub(super) fn note_home(&self, key: &InstanceKey, home: HostId, took: Duration, busy: bool) {
        let mut loads = self.home_loads.borrow_mut();
        let load = loads.entry(key.clone()).or_default().entry(home).or_default();
        match busy {
            true => load.record_no_connection(self.now()),
            false => load.record_answer(took),
        }
    }

    /// Passes over a home for a while.
    pub(super) fn avoid_home(&self, home: HostId) {
        self.avoided.borrow_mut().insert(home, self.now() + HOME_AVOIDANCE);
    }

    fn path_to(&self, record: &InstanceRecord) -> DatabasePath {
        let view = self.view.borrow();
        let rule = view.routes().and_then(|table| table.service(&record.service));
        let limit = rule.map_or(1, |rule| rule.max_connections).max(1);
        let connections = limit.saturating_sub(SPARE_CONNECTIONS).max(1);
        view.path_to(self.settings.me, &record.key.id, connections)
    }

    /// Closes what is idle beyond this host's share, and the connections to
    /// databases that are gone.
    pub(super) fn tend_pools(&self) {
        let pools: Vec<Rc<DatabasePool>> = self.pools.borrow().values().cloned().collect();
        self.fade_homes();
        for pool in pools {
            let gone = self.view.borrow().instance(&pool.record().key).is_none();
            let share = self.connection_share(pool.record(), pool.home());
            pool.set_share(share);
            pool.tend((share / IDLE_PART).max(1), gone);
            if gone && pool.is_empty() {
                self.pools.borrow_mut().remove(&(pool.record().key.clone(), pool.home()));
            }
        }
    }

    /// Forgets homes of databases that are gone, and slowly how slow they were.
    fn fade_homes(&self) {
        let view = self.view.borrow();
        let mut loads = self.home_loads.borrow_mut();
        loads.retain(|key, _| view.instance(key).is_some());
        loads.values_mut().flat_map(BTreeMap::values_mut).for_each(GatewayLoad::decay);
    }

    /// This host's even share of a database's connections, or of a home's.
    fn connection_share(&self, record: &InstanceRecord, home: Option<HostId>) -> usize {
        match (home, self.path_to(record)) {
            (Some(_), _) => HOME_LINKS,
            (None, DatabasePath::Direct { connections }) => connections as usize,
            // No longer a home: what runs ends, nothing is opened beside it.
            (None, DatabasePath::Gateways(_)) => 0,
        }
    }

    /// Sets the gauges.
    pub(super) fn measure(&self) {
        let now = self.now();
        let view = self.view.borrow();
        let metrics = &self.metrics;
        metrics.set("hawthornstack_sessions", f64::from(self.sessions.get()), &[]);
        let lease = view.lease_remaining(now).as_secs_f64();
        metrics.set("hawthornstack_lease_seconds", lease, &[]);
        metrics.set("hawthornstack_routes_version", view.routes_version() as f64, &[]);
        metrics.set("hawthornstack_applied_index", view.applied() as f64, &[]);
        for pool in self.pools.borrow().values() {
            pool.measure(metrics);
        }
    }

    /// Counts a write or transaction that a planned change of primary waits
    /// for.
    pub(super) fn begin_write(self: &Rc<Self>, service: &Arc<str>, number: u64) -> WriteGuard {
        let key = (service.clone(), number);
        *self.writes.borrow_mut().entry(key.clone()).or_default() += 1;
        WriteGuard { shared: self.clone(), key }
    }

    pub(super) fn open_writes(&self, service: &Arc<str>, number: u64) -> u32 {
        self.writes.borrow().get(&(service.clone(), number)).copied().unwrap_or(0)
    }
}

/// Counts one open write for as long as it lives.
pub(super) struct WriteGuard {
    shared: Rc<EntryShared>,
    key: (Arc<str>, u64),
}

impl Drop for WriteGuard {
    fn drop(&mut self) {
        let mut writes = self.shared.writes.borrow_mut();
        if let Some(count) = writes.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                writes.remove(&self.key);
                drop(writes);
                self.shared.changed.notify_waiters();
            }
        }
    }
}
