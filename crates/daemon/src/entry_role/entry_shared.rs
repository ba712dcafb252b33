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
    entry_role::{
        DatabasePath, EntryView, GatewayLoad, LargestWorkspaces, PathInputs, choose_gateway,
    },
    identity::HostId,
    instances::{InstanceKey, InstanceRecord},
};
use opentelemetry::KeyValue;
use tokio::sync::{Notify, mpsc};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    EntrySettings,
    database_pool::DatabasePool,
    pool_target::{PoolKey, PoolTarget, TargetKey},
    refused_keys::RefusedKeys,
    request_trace::TraceBudget,
    usage_gate::UsageGate,
};
use crate::{
    clock::BootClock,
    edges::{CallerProtocol, UpstreamProtocol},
    metrics::HostMetrics,
};

/// Connections to each database that are left free for the control hosts' requests.
const RESERVED_CONNECTIONS: u32 = 1;
/// Connections of one host to one gateway for one database. Each transaction that
/// waits for its next statement occupies one of them.
const GATEWAY_LINKS: usize = 8;
/// Time for which an unreachable gateway is not chosen.
const GATEWAY_AVOIDANCE: Duration = Duration::from_millis(1_000);

/// Stage of a host's shutdown, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShutdownStage {
    /// Not shutting down.
    Serving,
    /// Reports not ready, but still serves callers that connect.
    Leaving,
    /// Closes sessions without a transaction between statements.
    ClosingIdle,
    /// Closes all sessions between statements.
    ClosingAll,
}

/// A service, and the workspace whose statements take the path, if they have one.
type PathKey = (Arc<str>, Option<Arc<str>>);

/// A path to a service, and what it was computed from.
type KnownPath = (PathInputs, Rc<DatabasePath>);

/// State shared by the tasks of an entry host, which all run on one thread.
pub(super) struct EntryShared {
    pub(super) settings: EntrySettings,
    pub(super) callers: Box<dyn CallerProtocol>,
    pub(super) upstreams: Box<dyn UpstreamProtocol>,
    pub(super) clock: BootClock,
    pub(super) view: RefCell<EntryView>,
    /// Notified when the view, the shutdown stage or the number of open writes
    /// changes.
    pub(super) changed: Notify,
    pub(super) stage: Cell<ShutdownStage>,
    pub(super) sessions: Cell<u32>,
    pub(super) reports: mpsc::UnboundedSender<EntryReport>,
    /// Services and terms whose primary is being probed.
    pub(super) probing: RefCell<BTreeSet<(Arc<str>, u64)>>,
    pub(super) cancel: CancellationToken,
    pub(super) tasks: TaskTracker,
    pub(super) metrics: HostMetrics,
    pub(super) traces: TraceBudget,
    pub(super) usage: UsageGate,
    pub(super) refused_keys: RefusedKeys,
    pools: RefCell<HashMap<PoolKey, Rc<DatabasePool>>>,
    /// Paths to services, for statements without a workspace and of each workspace.
    paths: RefCell<HashMap<PathKey, KnownPath>>,
    /// Gateways that could not be reached, and until when they are not chosen.
    avoided_gateways: RefCell<HashMap<HostId, Moment>>,
    gateway_loads: RefCell<HashMap<TargetKey, BTreeMap<HostId, GatewayLoad>>>,
    largest_workspaces: RefCell<LargestWorkspaces>,
    /// Number of open writes by service and term.
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
            usage: UsageGate::default(),
            refused_keys: RefusedKeys::default(),
            pools: RefCell::new(HashMap::new()),
            paths: RefCell::new(HashMap::new()),
            avoided_gateways: RefCell::new(HashMap::new()),
            gateway_loads: RefCell::new(HashMap::new()),
            largest_workspaces: RefCell::default(),
            writes: RefCell::new(BTreeMap::new()),
        }
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// True if the shutdown stage requires a session to close before its next
    /// statement; `is_idle` if it has no open transaction.
    pub(super) fn should_close_session(&self, is_idle: bool) -> bool {
        match self.stage.get() {
            ShutdownStage::Serving | ShutdownStage::Leaving => false,
            ShutdownStage::ClosingIdle => is_idle,
            ShutdownStage::ClosingAll => true,
        }
    }

    /// The pool of connections to a database, direct or through a gateway.
    pub(super) fn pool(
        &self,
        record: &InstanceRecord,
        workspace: Option<&Arc<str>>,
    ) -> Rc<DatabasePool> {
        let target = PoolTarget::Database(record.clone());
        match &*self.path_to(&record.service, workspace) {
            DatabasePath::Direct { connections } => {
                self.pool_via(target, None, *connections as usize)
            }
            DatabasePath::Gateways(gateways) => {
                let gateway = self.pick_gateway(&target, gateways);
                self.pool_via(target, gateway, GATEWAY_LINKS)
            }
        }
    }

    /// The pool of connections to a gateway that chooses the database for each read
    /// of a service; `None` if this host chooses it.
    pub(super) fn service_pool(
        &self,
        service: &Arc<str>,
        workspace: Option<&Arc<str>>,
    ) -> Option<Rc<DatabasePool>> {
        if !self.view.borrow().gateways_choose_databases() {
            return None;
        }
        let path = self.path_to(service, workspace);
        let DatabasePath::Gateways(gateways) = &*path else {
            return None;
        };
        let target = PoolTarget::Service(service.clone());
        let gateway = self.pick_gateway(&target, gateways)?;
        Some(self.pool_via(target, Some(gateway), GATEWAY_LINKS))
    }

    /// The pool of this host's direct connections to a database.
    pub(super) fn direct_pool(&self, record: &InstanceRecord) -> Rc<DatabasePool> {
        let target = PoolTarget::Database(record.clone());
        let share = self.connection_share(&target, None);
        self.pool_via(target, None, share)
    }

    fn pool_via(
        &self,
        target: PoolTarget,
        gateway: Option<HostId>,
        share: usize,
    ) -> Rc<DatabasePool> {
        let view = self.view.borrow();
        let most_urgent = view.urgent_priority(target.service());
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry((target.key(), gateway));
        let pool = pool.or_insert_with(|| {
            // All hosts that connect have about the same share.
            let hosts = connection_limit(&view, target.service()) / (share as u32).max(1);
            DatabasePool::new(target, gateway, hosts, share)
        });
        pool.set_share(share);
        pool.set_most_urgent(most_urgent);
        pool.clone()
    }

    fn pick_gateway(&self, target: &PoolTarget, gateways: &[HostId]) -> Option<HostId> {
        let (avoided_gateways, loads) =
            (self.avoided_gateways.borrow(), self.gateway_loads.borrow());
        let loads = loads.get(&target.key());
        let load_of = |gateway: &HostId| {
            let mut load = loads.and_then(|loads| loads.get(gateway)).copied().unwrap_or_default();
            avoided_gateways.get(gateway).into_iter().for_each(|until| load.avoid_until(*until));
            load
        };
        let candidate_loads: Vec<GatewayLoad> = gateways.iter().map(load_of).collect();
        choose_gateway(&candidate_loads, self.now()).map(|index| gateways[index])
    }

    /// Records the time of a gateway's answer for a target, or that it had no
    /// free connection.
    pub(super) fn record_gateway_answer(
        &self,
        target: &PoolTarget,
        gateway: HostId,
        took: Duration,
        busy: bool,
    ) {
        let mut loads = self.gateway_loads.borrow_mut();
        let load = loads.entry(target.key()).or_default().entry(gateway).or_default();
        match busy {
            true => load.record_no_connection(self.now()),
            false => load.record_answer(took),
        }
    }

    /// Excludes a gateway from the choice for `GATEWAY_AVOIDANCE`.
    pub(super) fn avoid_gateway(&self, gateway: HostId) {
        self.avoided_gateways.borrow_mut().insert(gateway, self.now() + GATEWAY_AVOIDANCE);
    }

    /// How this host reaches the databases of a service. Ranking all hosts for each
    /// statement would take longer than all else that a small host does for it.
    fn path_to(&self, service: &Arc<str>, workspace: Option<&Arc<str>>) -> Rc<DatabasePath> {
        let view = self.view.borrow();
        let limit = connection_limit(&view, service);
        let connections = limit.saturating_sub(RESERVED_CONNECTIONS).max(1);
        let inputs = view.path_inputs(connections);
        let mut paths = self.paths.borrow_mut();
        let key = (service.clone(), workspace.cloned());
        if let Some((known_inputs, path)) = paths.get(&key)
            && *known_inputs == inputs
        {
            return path.clone();
        }
        let host = self.settings.host;
        let path = Rc::new(match workspace {
            Some(workspace) => view.workspace_path(host, service, workspace, connections),
            None => view.path_to(host, service, connections),
        });
        paths.insert(key, (inputs, path.clone()));
        path
    }

    /// Updates the share of each pool, closes surplus idle connections and those
    /// to databases that are gone, and lowers the remembered latency of gateways.
    pub(super) fn trim_pools(&self) {
        let pools: Vec<Rc<DatabasePool>> = self.pools.borrow().values().cloned().collect();
        self.decay_gateway_loads();
        let view = self.view.borrow();
        self.paths.borrow_mut().retain(|(service, _), _| view.service_rule(service).is_some());
        drop(view);
        for pool in pools {
            let gone = !is_known(&self.view.borrow(), &pool.target().key());
            let share = self.connection_share(pool.target(), pool.gateway());
            pool.set_share(share);
            pool.check_refusals_ended();
            pool.close_idle(gone);
            if gone && pool.is_empty() {
                self.pools.borrow_mut().remove(&(pool.target().key(), pool.gateway()));
            }
        }
    }

    /// Removes gateway loads of databases that are gone, and lowers the remembered
    /// latency of the rest, so that a slow gateway is tried again.
    fn decay_gateway_loads(&self) {
        let view = self.view.borrow();
        let mut loads = self.gateway_loads.borrow_mut();
        loads.retain(|target, _| is_known(&view, target));
        loads.values_mut().flat_map(BTreeMap::values_mut).for_each(GatewayLoad::decay);
    }

    /// Number of connections that this host may open to a database, or to a
    /// gateway for it.
    fn connection_share(&self, target: &PoolTarget, gateway: Option<HostId>) -> usize {
        match (gateway, &*self.path_to(target.service(), None)) {
            (Some(_), _) => GATEWAY_LINKS,
            (None, DatabasePath::Direct { connections }) => *connections as usize,
            // This host is no longer a gateway: running statements finish, and no
            // further connections are opened.
            (None, DatabasePath::Gateways(_)) => 0,
        }
    }

    /// Updates the gauges of this host and its pools.
    pub(super) fn update_gauges(&self) {
        let now = self.now();
        let view = self.view.borrow();
        let metrics = &self.metrics;
        metrics.set("hawthornstack_sessions", f64::from(self.sessions.get()), &[]);
        let lease = view.lease_remaining(now).as_secs_f64();
        metrics.set("hawthornstack_lease_seconds", lease, &[]);
        metrics.set("hawthornstack_routes_version", view.routes_version() as f64, &[]);
        metrics.set("hawthornstack_applied_index", view.applied() as f64, &[]);
        let mut counts = BTreeMap::new();
        for pool in self.pools.borrow().values() {
            pool.update_gauges(metrics);
            if pool.gateway().is_none() {
                pool.add_workspace_counts(&mut counts);
            }
        }
        for (workspace, count) in self.largest_workspaces.borrow_mut().label_counts(&counts) {
            let label = [KeyValue::new("workspace", workspace)];
            metrics.set("hawthornstack_workspace_connections", count as f64, &label);
        }
    }

    /// Counts a write or transaction until the guard is dropped; a planned change
    /// of primary waits for it.
    pub(super) fn begin_write(self: &Rc<Self>, service: &Arc<str>, term_number: u64) -> WriteGuard {
        let key = (service.clone(), term_number);
        *self.writes.borrow_mut().entry(key.clone()).or_default() += 1;
        WriteGuard { shared: self.clone(), key }
    }

    /// Number of writes and transactions open in a term of a service.
    pub(super) fn open_writes(&self, service: &Arc<str>, term_number: u64) -> u32 {
        self.writes.borrow().get(&(service.clone(), term_number)).copied().unwrap_or(0)
    }
}

/// Connections that a database of the service accepts; at least one.
fn connection_limit(view: &EntryView, service: &str) -> u32 {
    view.service_rule(service).map_or(1, |rule| rule.max_connections).max(1)
}

/// True unless the database is gone or the service no longer configured.
fn is_known(view: &EntryView, target: &TargetKey) -> bool {
    match target {
        TargetKey::Database(key) => view.instance(key).is_some(),
        TargetKey::Service(service) => view.service_rule(service).is_some(),
    }
}

/// Counts one open write or transaction until it is dropped.
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

/// Counts a statement as outstanding at a database until it is dropped, also if the statement is
/// given up.
pub(super) struct LoadGuard {
    shared: Rc<EntryShared>,
    key: InstanceKey,
    /// Time that the answer took, if there was one.
    pub(super) latency: Option<Duration>,
}

impl LoadGuard {
    pub(super) fn start(shared: &Rc<EntryShared>, key: &InstanceKey) -> Self {
        shared.view.borrow_mut().loads.record_start(key);
        Self { shared: shared.clone(), key: key.clone(), latency: None }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.shared.view.borrow_mut().loads.record_finish(&self.key, self.latency);
    }
}
