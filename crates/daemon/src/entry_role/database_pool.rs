use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    entry_role::{InflightWindow, QueuedStatement},
    identity::HostId,
    positions::LogPosition,
};
use opentelemetry::KeyValue;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep_until, timeout_at},
};

use super::{
    entry_shared::EntryShared,
    pool_overload::PoolOverload,
    pool_target::PoolTarget,
    upstream_link::{OpenError, UpstreamLink},
};
use crate::{clock::BootClock, links::host_address, metrics::HostMetrics};

/// Idle time after which a connection above the host's idle share is closed, so that
/// another host may open one.
const SURPLUS_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Age from which a released connection above the host's share is closed; the share
/// shrinks when other hosts join. Long compared with the handshake of a connection,
/// short compared with the time that another host may wait for one.
const SURPLUS_MAX_AGE: Duration = Duration::from_millis(600);
/// Pause before a host opens a connection again after it closed one above its
/// share: long enough for several attempts of a host that has no connection.
const SURPLUS_REOPEN_PAUSE: Duration = Duration::from_millis(250);
/// Pause before a host without a connection tries again to open one to a database
/// that is full; doubled with each further refusal.
const FULL_RETRY_PAUSE: Duration = Duration::from_millis(30);
/// Limit for the doublings of `FULL_RETRY_PAUSE`.
const MAX_FULL_PAUSE_DOUBLINGS: u32 = 2;
/// The same pause for a host that has a connection already: it leaves the next
/// free slot to hosts that have none.
const FULL_RETRY_PAUSE_WITH_LINK: Duration = Duration::from_millis(1_000);

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

#[derive(Debug)]
pub(super) enum PoolOffer {
    Link(Box<UpstreamLink>),
    /// The waiter should try again to take or open a connection.
    Retry,
}

#[derive(Debug)]
pub(super) struct PoolWaiter {
    pub(super) statement: QueuedStatement,
    /// Workspace to which its connection must belong.
    pub(super) workspace: Option<Arc<str>>,
    pub(super) offer: oneshot::Sender<PoolOffer>,
}

#[derive(Debug)]
pub(super) struct PoolState {
    /// Idle connections, the last used one at the end, and since when each is known
    /// to be idle.
    idle: Vec<(UpstreamLink, Option<Instant>)>,
    /// Connections that are open or being opened.
    pub(super) open: usize,
    /// Limit for the connections of this host. The shares of all hosts together
    /// stay within the connection limit of the database, except while hosts join or
    /// leave.
    pub(super) share: usize,
    /// Connections in use that are not pinned to a transaction.
    pub(super) running: usize,
    pub(super) window: InflightWindow,
    pub(super) overload: PoolOverload,
    /// Waiting statements in order of arrival.
    pub(super) waiters: Vec<PoolWaiter>,
    /// No connection is opened before this time.
    pub(super) full_until: Option<Instant>,
    /// Times that the database was full since a connection was last opened.
    refusals: u32,
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
            idle: Vec::new(),
            open: 0,
            share,
            running: 0,
            window: InflightWindow::new(target.slots(), hosts, share),
            overload: PoolOverload::default(),
            waiters: Vec::new(),
            full_until: None,
            refusals: 0,
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
        state.share = share.max(1);
        state.window.set_max(share.max(1));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.state.borrow().open == 0
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
            let has_capacity = self.has_capacity(statement.priority);
            if has_capacity && let Some(link) = self.take_idle(workspace) {
                return Ok(self.check_out(Some(link), statement.priority));
            }
            if has_capacity {
                self.close_idle_of_others(workspace);
            }
            let may_open = if has_capacity { self.may_open() } else { Err(None) };
            let retry_at = match may_open {
                Ok(()) => match self.open(shared, workspace, statement.priority).await {
                    Ok(link) => return Ok(link),
                    Err(OpenError::Unreachable) => return Err(AcquireError::Unreachable),
                    Err(OpenError::Misrouted) => return Err(AcquireError::Misrouted),
                    Err(OpenError::Full) => Some(self.record_full()),
                },
                Err(full_until) => full_until,
            };
            if let Some(link) =
                self.wait_for_offer(statement, workspace, retry_at, deadline).await?
            {
                return Ok(link);
            }
        }
    }

    fn check_out(self: &Rc<Self>, link: Option<UpstreamLink>, priority: u32) -> PooledLink {
        self.state.borrow_mut().running += 1;
        PooledLink {
            link,
            pool: self.clone(),
            priority,
            position_at_open: None,
            released: false,
            pinned: false,
        }
    }

    /// Logs the state of the pool when a statement got no connection in time.
    pub(super) fn log_exhausted(&self, id: &str) {
        let state = self.state.borrow();
        let full = state.full_until.is_some_and(|until| until > Instant::now());
        tracing::info!(
            target: "entry",
            request = id,
            instance = %self.target.key(),
            open = state.open,
            idle = state.idle.len(),
            running = state.running,
            window = state.window.limit(),
            waiting = state.waiters.len(),
            refusals = state.refusals,
            full,
            "no connection in time"
        );
    }

    /// Updates the gauges of this database.
    pub(super) fn update_gauges(&self, metrics: &HostMetrics) {
        let state = self.state.borrow();
        let name =
            KeyValue::new("database", self.target.instance_id().unwrap_or("any").to_string());
        let counts = [
            ("idle", state.idle.len()),
            ("running", state.running),
            ("pinned", state.open.saturating_sub(state.idle.len() + state.running)),
        ];
        for (label, count) in counts {
            let labels = [name.clone(), KeyValue::new("state", label)];
            metrics.set("hawthornstack_upstream_connections", count as f64, &labels);
        }
        metrics.set("hawthornstack_queued_statements", state.waiters.len() as f64, &[name]);
    }

    /// The idle connection of the workspace that was used last.
    fn take_idle(&self, workspace: Option<&Arc<str>>) -> Option<UpstreamLink> {
        let mut state = self.state.borrow_mut();
        while let Some(index) =
            state.idle.iter().rposition(|(link, _)| link.workspace.as_ref() == workspace)
        {
            let (link, _) = state.idle.remove(index);
            if link.is_reusable() {
                return Some(link);
            }
            state.open -= 1;
        }
        None
    }

    /// Closes the idle connection that is unused for longest if all connections of this
    /// host are open, so that one of another workspace can be opened.
    fn close_idle_of_others(&self, workspace: Option<&Arc<str>>) {
        let mut state = self.state.borrow_mut();
        let replaced = state.idle.iter().position(|(link, _)| link.workspace.as_ref() != workspace);
        if state.open >= state.share
            && let Some(index) = replaced
        {
            state.idle.remove(index);
            state.open -= 1;
        }
    }

    /// Whether a connection may be opened now; if not, when to try again even if
    /// none is released until then.
    fn may_open(&self) -> Result<(), Option<Instant>> {
        let state = self.state.borrow();
        if state.open >= state.share {
            return Err(None);
        }
        match state.full_until {
            Some(until) if until > Instant::now() => Err(Some(until)),
            _ => Ok(()),
        }
    }

    async fn open(
        self: &Rc<Self>,
        shared: &EntryShared,
        workspace: Option<&Arc<str>>,
        priority: u32,
    ) -> Result<PooledLink, OpenError> {
        self.state.borrow_mut().open += 1;
        // Dropping this takes the connection off the counts, also if the task is
        // cancelled while the connection is being opened.
        let mut pooled = self.check_out(None, priority);
        let protocol = &*shared.upstreams;
        let address = match (self.gateway, self.target.record()) {
            (Some(gateway), _) => host_address(gateway, shared.settings.forward_port),
            (None, Some(record)) => record.address,
            (None, None) => return Err(OpenError::Unreachable),
        };
        let name = &shared.settings.name;
        let (link, position) =
            UpstreamLink::open(protocol, &self.target, address, name, workspace).await?;
        pooled.link = Some(link);
        pooled.position_at_open = position;
        self.state.borrow_mut().refusals = 0;
        Ok(pooled)
    }

    /// Records that the database is full; returns when to try again.
    fn record_full(&self) -> Instant {
        let mut state = self.state.borrow_mut();
        let pause = match state.open {
            0 => FULL_RETRY_PAUSE * 2u32.pow(state.refusals.min(MAX_FULL_PAUSE_DOUBLINGS)),
            _ => FULL_RETRY_PAUSE_WITH_LINK,
        };
        let until = Instant::now() + pause;
        state.refusals += 1;
        state.full_until = Some(until);
        until
    }

    /// Waits for a released connection; `None` if the caller should try again to
    /// take or open one.
    async fn wait_for_offer(
        self: &Rc<Self>,
        statement: QueuedStatement,
        workspace: Option<&Arc<str>>,
        retry_at: Option<Instant>,
        deadline: Instant,
    ) -> Result<Option<PooledLink>, AcquireError> {
        let (offer, offered) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            state.waiters.retain(|waiter| !waiter.offer.is_closed());
            // A statement that waits again keeps its position in the queue.
            let index = state.waiters.partition_point(|w| w.statement.arrived <= statement.arrived);
            state
                .waiters
                .insert(index, PoolWaiter { statement, workspace: workspace.cloned(), offer });
        }
        let wait_for_retry = async {
            match retry_at {
                Some(retry_at) => sleep_until(retry_at).await,
                None => std::future::pending().await,
            }
        };
        let outcome = timeout_at(deadline, async {
            tokio::select! {
                biased;
                offer = offered => offer.ok(),
                () = wait_for_retry => None,
            }
        });
        match outcome.await {
            Err(_) => Err(AcquireError::OutOfTime),
            Ok(Some(PoolOffer::Link(link))) => {
                Ok(Some(self.check_out(Some(*link), statement.priority)))
            }
            Ok(_) => Ok(None),
        }
    }

    /// Hands a free connection to the next waiter, or tells it to try again if there
    /// is none to hand over. Without a waiter the connection becomes idle.
    fn offer_to_next_waiter(&self, link: Option<UpstreamLink>) {
        let now = BootClock.now();
        let mut state = self.state.borrow_mut();
        state.waiters.retain(|waiter| !waiter.offer.is_closed());
        let mut offer = match link {
            Some(link) => PoolOffer::Link(Box::new(link)),
            None => PoolOffer::Retry,
        };
        while let Some(index) = state.next_waiter(now) {
            let waiter = state.waiters.remove(index);
            if let PoolOffer::Link(link) = &offer
                && link.workspace != waiter.workspace
            {
                state.open -= 1;
                offer = PoolOffer::Retry;
            }
            match waiter.offer.send(offer) {
                Ok(()) => return,
                Err(returned) => offer = returned,
            }
        }
        if let PoolOffer::Link(link) = offer {
            state.idle.push((*link, None));
        }
    }

    /// True if this host has more connections than its share and this one has
    /// reached `SURPLUS_MAX_AGE`.
    fn is_expired_surplus(&self, link: &UpstreamLink) -> bool {
        let state = self.state.borrow();
        state.open > state.share && link.opened_at.elapsed() >= SURPLUS_MAX_AGE
    }

    /// Takes a closed surplus connection off the count and opens none for a while, so
    /// that a host without any can take the slot.
    fn release_surplus_slot(&self) {
        let mut state = self.state.borrow_mut();
        state.open -= 1;
        state.full_until = Some(Instant::now() + SURPLUS_REOPEN_PAUSE);
        drop(state);
        self.offer_to_next_waiter(None);
    }

    /// Closes connections that are idle for `SURPLUS_IDLE_TIMEOUT` while more than
    /// `idle_share` are open, or all idle ones if the database is gone.
    pub(super) fn close_idle(&self, idle_share: usize, gone: bool) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let open = state.open;
        let mut closed = 0;
        // Starts with the connection that has been unused for longest.
        state.idle.retain_mut(|(link, idle_since)| {
            let since = *idle_since.get_or_insert(now);
            let surplus = open - closed > idle_share && now - since >= SURPLUS_IDLE_TIMEOUT;
            let keep = !gone && !surplus && link.is_reusable();
            closed += usize::from(!keep);
            keep
        });
        state.open -= closed;
    }
}

/// A connection in use; dropping it without `release` closes it.
#[derive(Debug)]
pub(super) struct PooledLink {
    link: Option<UpstreamLink>,
    pool: Rc<DatabasePool>,
    /// Priority of the statement for which it was acquired.
    priority: u32,
    /// Position that the database reported, if the connection was opened for this
    /// use.
    pub(super) position_at_open: Option<LogPosition>,
    released: bool,
    pinned: bool,
}

impl PooledLink {
    /// The connection; `None` only while it is being opened.
    pub(super) fn link(&mut self) -> Option<&mut UpstreamLink> {
        self.link.as_mut()
    }

    pub(super) fn target(&self) -> &PoolTarget {
        self.pool.target()
    }

    /// The gateway through which the database is reached, if not directly.
    pub(super) fn gateway(&self) -> Option<HostId> {
        self.pool.gateway
    }

    /// Pins the connection to a transaction: it no longer counts as running, so that
    /// it takes up no part of the window while the transaction waits.
    pub(super) fn pin(&mut self) {
        if !self.pinned {
            self.pinned = true;
            self.pool.state.borrow_mut().running -= 1;
            self.pool.offer_to_next_waiter(None);
        }
    }

    pub(super) fn pool(&self) -> &DatabasePool {
        &self.pool
    }

    /// Records that the database answered a statement, or refused it as busy.
    pub(super) fn record_answer(&self, refused: bool, took: Duration) {
        let workspace = self.link.as_ref().and_then(|link| link.workspace.as_ref());
        self.pool.record_answer(refused, took, self.priority, workspace, self.pinned);
    }

    /// Returns the connection to the pool.
    pub(super) fn release(mut self) {
        let Some(link) = self.link.take() else {
            return;
        };
        self.released = true;
        self.decrement_running();
        match self.pool.is_expired_surplus(&link) {
            true => self.pool.release_surplus_slot(),
            false => self.pool.offer_to_next_waiter(Some(link)),
        }
    }

    fn decrement_running(&self) {
        if !self.pinned {
            self.pool.state.borrow_mut().running -= 1;
        }
    }
}

impl Drop for PooledLink {
    fn drop(&mut self) {
        if !self.released {
            self.decrement_running();
            self.pool.state.borrow_mut().open -= 1;
            self.pool.offer_to_next_waiter(None);
        }
    }
}
