use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{
        ConnectionChoice, ConnectionTable, HandshakeTime, InflightWindow, QueuedStatement,
    },
    identity::HostId,
};
use opentelemetry::KeyValue;
use tokio::time::Instant;

use super::{
    entry_shared::EntryShared,
    pool_overload::PoolOverload,
    pool_target::PoolTarget,
    pool_waiters::PoolWaiters,
    pooled_link::PooledLink,
    upstream_link::{OpenError, UpstreamLink},
};
use crate::{clock::BootClock, links::host_address, metrics::HostMetrics};

/// Age from which a released connection above the host's share is closed; the share
/// shrinks when other hosts join. Long compared with the handshake of a connection,
/// short compared with the time that another host may wait for one.
const SURPLUS_MAX_AGE: Duration = Duration::from_millis(600);

/// Why no connection was acquired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AcquireError {
    /// No connection became free before the deadline.
    OutOfTime,
    /// The database cannot be reached.
    Unreachable,
    /// The database at the address is not the expected one.
    Misrouted,
}

/// What a statement is granted: a connection, or the place of one that it opens.
#[derive(Debug)]
pub(super) struct ConnectionGrant {
    pooled: PooledLink,
    /// Connection of another workspace that must be closed before one is opened.
    replaced: Option<UpstreamLink>,
}

impl ConnectionGrant {
    /// Returns what was granted to the pool.
    pub(super) fn give_back(mut self) {
        match self.pooled.link() {
            Some(_) => self.pooled.release(),
            None => drop(self),
        }
    }
}

#[derive(Debug)]
pub(super) struct PoolState {
    pub(super) table: ConnectionTable<UpstreamLink>,
    /// Connections in use that are not pinned to a transaction.
    pub(super) running: usize,
    pub(super) window: InflightWindow,
    pub(super) overload: PoolOverload,
    pub(super) handshake: HandshakeTime,
    pub(super) waiters: PoolWaiters,
}

/// Connections of this host to one database instance, or to a gateway of a service;
/// a restarted database is a new instance with a pool of its own.
#[derive(Debug)]
pub(super) struct DatabasePool {
    target: PoolTarget,
    /// The gateway through which it is reached, if not directly.
    gateway: Option<HostId>,
    pub(super) state: RefCell<PoolState>,
}

impl DatabasePool {
    pub(super) fn new(
        target: PoolTarget,
        gateway: Option<HostId>,
        hosts: u32,
        share: usize,
    ) -> Rc<Self> {
        let share = share.max(1);
        let state = PoolState {
            table: ConnectionTable::new(share),
            running: 0,
            window: InflightWindow::new(target.slots(), hosts, share),
            overload: PoolOverload::default(),
            handshake: HandshakeTime::default(),
            waiters: PoolWaiters::default(),
        };
        Rc::new(Self { target, gateway, state: RefCell::new(state) })
    }

    pub(super) fn target(&self) -> &PoolTarget {
        &self.target
    }

    pub(super) fn gateway(&self) -> Option<HostId> {
        self.gateway
    }

    /// Sets the limit for the connections of this host; at least one, so that
    /// statements that it has accepted can run.
    pub(super) fn set_share(&self, share: usize) {
        let mut state = self.state.borrow_mut();
        state.table.set_share(share);
        state.window.set_max(share.max(1));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.state.borrow().table.open() == 0
    }

    /// Takes an idle connection, opens one, or waits for one until `deadline`. A
    /// connection to a database belongs to one workspace; those to gateways serve all.
    pub(super) async fn acquire(
        self: &Rc<Self>,
        shared: &EntryShared,
        statement: QueuedStatement,
        workspace: Option<&Arc<str>>,
        deadline: Instant,
    ) -> Result<PooledLink, AcquireError> {
        let workspace = workspace.filter(|_| self.gateway.is_none());
        loop {
            let grant = match self.try_grant(workspace, statement.priority, BootClock.now()) {
                Ok(grant) => Some(grant),
                Err(until) => self.wait_for_grant(statement, workspace, until, deadline).await?,
            };
            let Some(grant) = grant else {
                continue;
            };
            match self.connect(shared, grant, workspace).await {
                Ok(pooled) => return Ok(pooled),
                Err(OpenError::Unreachable) => return Err(AcquireError::Unreachable),
                Err(OpenError::Misrouted) => return Err(AcquireError::Misrouted),
                Err(OpenError::Full) => {}
            }
        }
    }

    /// Grants a connection, or the place of one, to a statement that need not wait; or
    /// returns when to try again even if no connection is released until then.
    pub(super) fn try_grant(
        self: &Rc<Self>,
        workspace: Option<&Arc<str>>,
        priority: u32,
        now: Moment,
    ) -> Result<ConnectionGrant, Option<Moment>> {
        let mut state = self.state.borrow_mut();
        if !state.has_capacity(priority) {
            return Err(None);
        }
        let (link, replaced) = loop {
            match state.table.choose(workspace, now) {
                ConnectionChoice::Reuse(index) => {
                    let link = state.table.take(index);
                    if link.is_reusable() {
                        break (Some(link), None);
                    }
                    state.table.count_closed(workspace);
                }
                ConnectionChoice::Open => {
                    state.table.count_opened(workspace);
                    break (None, None);
                }
                ConnectionChoice::Replace(index) => {
                    break (None, Some(state.table.take_replaced(index, workspace)));
                }
                ConnectionChoice::CloseIdle(index) => drop(state.table.take_closed(index)),
                ConnectionChoice::Wait { until } => return Err(until),
            }
        };
        state.running += 1;
        let pooled = PooledLink::new(self.clone(), link, workspace.cloned(), priority);
        Ok(ConnectionGrant { pooled, replaced })
    }

    /// Opens the connection for which a place was granted. Dropping this takes it off
    /// the counts, also if the task is cancelled while it is being opened.
    async fn connect(
        &self,
        shared: &EntryShared,
        grant: ConnectionGrant,
        workspace: Option<&Arc<str>>,
    ) -> Result<PooledLink, OpenError> {
        let ConnectionGrant { mut pooled, replaced } = grant;
        if pooled.link().is_some() {
            return Ok(pooled);
        }
        let replaces = replaced.is_some();
        if let Some(replaced) = replaced {
            shared.metrics.count_replaced();
            // The database counts a connection until it has read that it was closed.
            replaced.close().await;
        }
        let protocol = &*shared.upstreams;
        let address = match (self.gateway, self.target.record()) {
            (Some(gateway), _) => host_address(gateway, shared.settings.forward_port),
            (None, Some(record)) => record.address,
            (None, None) => return Err(OpenError::Unreachable),
        };
        let name = &shared.settings.name;
        let began = Instant::now();
        let opened = UpstreamLink::open(protocol, &self.target, address, name, workspace).await;
        match opened {
            Ok((link, position)) => {
                pooled.set_opened(link, position);
                let mut state = self.state.borrow_mut();
                state.handshake.record(began.elapsed());
                state.table.pauses_mut().record_opened();
                Ok(pooled)
            }
            Err(error) => {
                if error == OpenError::Full {
                    let mut state = self.state.borrow_mut();
                    state.table.pauses_mut().record_full(replaces, BootClock.now());
                }
                Err(error)
            }
        }
    }

    /// Logs the state of the pool when a statement got no connection in time.
    pub(super) fn log_exhausted(&self, id: &str) {
        let state = self.state.borrow();
        let pauses = state.table.pauses();
        let full = pauses.open_pause(true, BootClock.now()).is_some();
        tracing::info!(
            target: "entry",
            request = id,
            instance = %self.target.key(),
            open = state.table.open(),
            idle = state.table.idle().len(),
            running = state.running,
            window = state.window.limit(),
            waiting = state.waiters.len(),
            refusals = pauses.refusals(),
            full,
            "no connection in time"
        );
    }

    /// Updates the gauges of this database.
    pub(super) fn update_gauges(&self, metrics: &HostMetrics) {
        let state = self.state.borrow();
        let name =
            KeyValue::new("database", self.target.instance_id().unwrap_or("any").to_string());
        let (open, idle) = (state.table.open(), state.table.idle().len());
        let counts = [
            ("idle", idle),
            ("running", state.running),
            ("pinned", open.saturating_sub(idle + state.running)),
        ];
        for (label, count) in counts {
            let labels = [name.clone(), KeyValue::new("state", label)];
            metrics.set("hawthornstack_upstream_connections", count as f64, &labels);
        }
        metrics.set("hawthornstack_queued_statements", state.waiters.len() as f64, &[name]);
    }

    /// Adds the connections of each workspace to `counts`.
    pub(super) fn add_workspace_counts(&self, counts: &mut BTreeMap<Option<Arc<str>>, usize>) {
        for (workspace, count) in self.state.borrow().table.held_by_workspace() {
            *counts.entry(workspace.cloned()).or_default() += count;
        }
    }

    /// Records that a statement no longer takes up a part of the in-flight window.
    pub(super) fn subtract_running(&self) {
        self.state.borrow_mut().running -= 1;
    }

    /// Takes back a connection that a statement has released, and serves the
    /// statements that wait. One above the host's share is closed once it has reached
    /// `SURPLUS_MAX_AGE`, and none is opened for a while.
    pub(super) fn take_back(self: &Rc<Self>, link: UpstreamLink, workspace: Option<Arc<str>>) {
        let now = BootClock.now();
        let mut state = self.state.borrow_mut();
        let is_surplus = state.table.open() > state.table.share();
        if is_surplus && link.opened_at.elapsed() >= SURPLUS_MAX_AGE {
            drop(link);
            state.table.count_closed(workspace.as_ref());
            state.table.pauses_mut().record_surplus_closed(now);
        } else {
            state.table.add_idle(link, workspace, now);
        }
        drop(state);
        self.serve_waiters();
    }

    /// Takes a closed connection off the counts, and serves the statements that wait.
    pub(super) fn count_closed(self: &Rc<Self>, workspace: Option<&Arc<str>>) {
        self.state.borrow_mut().table.count_closed(workspace);
        self.serve_waiters();
    }

    /// Closes idle connections above the number to keep, or all if the database is
    /// gone, and serves the statements that wait.
    pub(super) fn close_idle(self: &Rc<Self>, gone: bool) {
        let mut state = self.state.borrow_mut();
        let mut closed = match gone {
            true => state.table.take_all_idle(),
            false => state.table.take_surplus(BootClock.now()),
        };
        closed.extend(state.table.take_broken(|link| !link.is_reusable()));
        drop(state);
        if !closed.is_empty() {
            drop(closed);
            self.serve_waiters();
        }
    }
}
