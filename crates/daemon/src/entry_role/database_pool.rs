use std::{cell::RefCell, rc::Rc, time::Duration};

use hawthornstack_decisions::{
    entry_role::{InflightWindow, QueuedStatement, next_in_queue},
    identity::HostId,
    instances::InstanceRecord,
    positions::LogPosition,
};
use opentelemetry::KeyValue;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep_until, timeout_at},
};

use super::{
    entry_shared::EntryShared,
    upstream_link::{OpenError, UpstreamLink},
};
use crate::{clock::BootClock, links::host_address, metrics::HostMetrics};

/// Idle time after which a connection beyond the host's share is closed, so
/// that another host may open one.
const SURPLUS_IDLE: Duration = Duration::from_millis(800);
/// Time for which a host keeps a connection beyond its share, which it has after
/// others joined: long beside the handshake that it costs, short beside the time
/// that another host may wait.
const BORROWED_LIFETIME: Duration = Duration::from_millis(600);
/// Time before a host borrows again: several attempts of a host without any
/// connection.
const BORROW_PAUSE: Duration = Duration::from_millis(250);
/// Time before a database that took no more connections is tried again,
/// doubled with each further refusal.
const FULL_PAUSE: Duration = Duration::from_millis(30);
/// Most doublings of that time.
const FULL_DOUBLINGS: u32 = 2;
/// The same for a host that has a connection: it leaves the next place to
/// those that have none.
const FULL_PAUSE_WITH_LINK: Duration = Duration::from_millis(1_000);

/// Why no connection was had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AcquireError {
    /// The time was up.
    OutOfTime,
    /// The database cannot be reached.
    Unreachable,
    /// Another database stands at its address.
    Misrouted,
}

#[derive(Debug)]
enum PoolOffer {
    Link(Box<UpstreamLink>),
    /// A connection may be opened.
    Retry,
}

#[derive(Debug)]
struct PoolWaiter {
    statement: QueuedStatement,
    offer: oneshot::Sender<PoolOffer>,
}

#[derive(Debug)]
struct PoolState {
    idle: Vec<(UpstreamLink, Option<Instant>)>,
    open: usize,
    /// Connections that this host opens at most. All hosts together stay within
    /// what the database takes, but for the moment in which hosts come or go.
    share: usize,
    /// Connections in use outside transactions.
    running: usize,
    window: InflightWindow,
    /// In order of arrival.
    waiters: Vec<PoolWaiter>,
    full_until: Option<Instant>,
    refusals: u32,
}

/// Connections of this host to one start of a database.
#[derive(Debug)]
pub(super) struct DatabasePool {
    record: InstanceRecord,
    /// The host through which it is reached, if not directly.
    home: Option<HostId>,
    state: RefCell<PoolState>,
}

impl DatabasePool {
    pub(super) fn new(
        record: &InstanceRecord,
        home: Option<HostId>,
        hosts: u32,
        share: usize,
    ) -> Rc<Self> {
        let share = share.max(1);
        let state = PoolState {
            idle: Vec::new(),
            open: 0,
            share,
            running: 0,
            window: InflightWindow::new(record.slots, hosts, share),
            waiters: Vec::new(),
            full_until: None,
            refusals: 0,
        };
        Rc::new(Self { record: record.clone(), home, state: RefCell::new(state) })
    }

    pub(super) fn record(&self) -> &InstanceRecord {
        &self.record
    }

    pub(super) fn home(&self) -> Option<HostId> {
        self.home
    }

    /// Sets how many connections this host opens; at least one, so that what it
    /// has taken can run.
    pub(super) fn set_share(&self, share: usize) {
        let mut state = self.state.borrow_mut();
        state.share = share.max(1);
        state.window.set_max(share.max(1));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.state.borrow().open == 0
    }

    /// Takes an idle connection, opens one, or waits for one until `deadline`.
    pub(super) async fn acquire(
        self: &Rc<Self>,
        shared: &EntryShared,
        statement: QueuedStatement,
        deadline: Instant,
    ) -> Result<PooledLink, AcquireError> {
        loop {
            let has_room = self.has_room();
            if has_room && let Some(link) = self.take_idle() {
                return Ok(self.lend(Some(link)));
            }
            let may_open = if has_room { self.may_open() } else { Err(None) };
            let waits_until = match may_open {
                Ok(()) => match self.open(shared).await {
                    Ok(link) => return Ok(link),
                    Err(OpenError::Unreachable) => return Err(AcquireError::Unreachable),
                    Err(OpenError::Misrouted) => return Err(AcquireError::Misrouted),
                    Err(OpenError::Full) => Some(self.note_full()),
                },
                Err(full_until) => full_until,
            };
            if let Some(link) = self.wait(statement, waits_until, deadline).await? {
                return Ok(link);
            }
        }
    }

    /// True if the window lets another statement go to the database.
    fn has_room(&self) -> bool {
        let state = self.state.borrow();
        state.running < state.window.limit()
    }

    fn lend(self: &Rc<Self>, link: Option<UpstreamLink>) -> PooledLink {
        self.state.borrow_mut().running += 1;
        PooledLink { link, pool: self.clone(), opened_at: None, given_back: false, pinned: false }
    }

    /// Writes why a statement got no connection to the log.
    pub(super) fn log_exhausted(&self, id: &str) {
        let state = self.state.borrow();
        let full = state.full_until.is_some_and(|until| until > Instant::now());
        tracing::info!(
            target: "entry",
            request = id,
            instance = %self.record.key,
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

    /// Sets the gauges of this database.
    pub(super) fn measure(&self, metrics: &HostMetrics) {
        let state = self.state.borrow();
        let name = KeyValue::new("database", self.record.key.id.to_string());
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

    /// The database answered a statement, or had no room for it.
    pub(super) fn note_answer(&self, refused: bool) {
        let mut state = self.state.borrow_mut();
        let running = state.running;
        match refused {
            true => state.window.record_refusal(),
            false => state.window.record_answer(running),
        }
    }

    fn take_idle(&self) -> Option<UpstreamLink> {
        let mut state = self.state.borrow_mut();
        while let Some((link, _)) = state.idle.pop() {
            if link.is_quiet() {
                return Some(link);
            }
            state.open -= 1;
        }
        None
    }

    /// Whether a connection may be opened now; if not, when to try again
    /// without a connection being given back.
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

    async fn open(self: &Rc<Self>, shared: &EntryShared) -> Result<PooledLink, OpenError> {
        self.state.borrow_mut().open += 1;
        // Counts the connection also if the task ends while it is opened.
        let mut pooled = self.lend(None);
        let protocol = &*shared.upstreams;
        let address = match self.home {
            Some(home) => host_address(home, shared.settings.forward_port),
            None => self.record.address,
        };
        let name = &shared.settings.name;
        let (link, position) = UpstreamLink::open(protocol, &self.record, address, name).await?;
        pooled.link = Some(link);
        pooled.opened_at = position;
        self.state.borrow_mut().refusals = 0;
        Ok(pooled)
    }

    fn note_full(&self) -> Instant {
        let mut state = self.state.borrow_mut();
        let pause = match state.open {
            0 => FULL_PAUSE * 2u32.pow(state.refusals.min(FULL_DOUBLINGS)),
            _ => FULL_PAUSE_WITH_LINK,
        };
        let until = Instant::now() + pause;
        state.refusals += 1;
        state.full_until = Some(until);
        until
    }

    /// Waits for a connection that is given back; `None` if it is time to look
    /// again.
    async fn wait(
        self: &Rc<Self>,
        statement: QueuedStatement,
        until: Option<Instant>,
        deadline: Instant,
    ) -> Result<Option<PooledLink>, AcquireError> {
        let (offer, offered) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            state.waiters.retain(|waiter| !waiter.offer.is_closed());
            // A statement that waits again keeps its place.
            let place = state.waiters.partition_point(|w| w.statement.arrived <= statement.arrived);
            state.waiters.insert(place, PoolWaiter { statement, offer });
        }
        let wakes = async {
            match until {
                Some(until) => sleep_until(until).await,
                None => std::future::pending().await,
            }
        };
        let outcome = timeout_at(deadline, async {
            tokio::select! {
                biased;
                offer = offered => offer.ok(),
                () = wakes => None,
            }
        });
        match outcome.await {
            Err(_) => Err(AcquireError::OutOfTime),
            Ok(Some(PoolOffer::Link(link))) => Ok(Some(self.lend(Some(*link)))),
            Ok(_) => Ok(None),
        }
    }

    /// Hands a free connection to the waiter whose turn it is, or the news that
    /// there is room.
    fn serve_next(&self, link: Option<UpstreamLink>) {
        let now = BootClock.now();
        let mut state = self.state.borrow_mut();
        state.waiters.retain(|waiter| !waiter.offer.is_closed());
        let mut offer = match link {
            Some(link) => PoolOffer::Link(Box::new(link)),
            None => PoolOffer::Retry,
        };
        while state.running < state.window.limit() {
            let queue: Vec<QueuedStatement> = state.waiters.iter().map(|w| w.statement).collect();
            let Some(place) = next_in_queue(&queue, now, Duration::ZERO) else {
                break;
            };
            let waiter = state.waiters.remove(place);
            match waiter.offer.send(offer) {
                Ok(()) => return,
                Err(returned) => offer = returned,
            }
        }
        if let PoolOffer::Link(link) = offer {
            state.idle.push((*link, None));
        }
    }

    /// True if the connection is beyond this host's share and was kept long
    /// enough.
    fn is_overdue(&self, link: &UpstreamLink) -> bool {
        let state = self.state.borrow();
        state.open > state.share && link.opened.elapsed() >= BORROWED_LIFETIME
    }

    /// Leaves a borrowed place to hosts that may have none.
    fn return_borrowed(&self) {
        let mut state = self.state.borrow_mut();
        state.open -= 1;
        state.full_until = Some(Instant::now() + BORROW_PAUSE);
        drop(state);
        self.serve_next(None);
    }

    /// Closes idle connections beyond `share`, or all if the database is gone.
    pub(super) fn tend(&self, share: usize, gone: bool) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let open = state.open;
        let mut closed = 0;
        // The connection that was used last is at the end.
        state.idle.retain_mut(|(link, idle_since)| {
            let since = *idle_since.get_or_insert(now);
            let surplus = open - closed > share && now - since >= SURPLUS_IDLE;
            let keep = !gone && !surplus && link.is_quiet();
            closed += usize::from(!keep);
            keep
        });
        state.open -= closed;
    }
}

/// A connection that is in use; it is closed unless it is given back.
#[derive(Debug)]
pub(super) struct PooledLink {
    link: Option<UpstreamLink>,
    pool: Rc<DatabasePool>,
    /// Position of the database, if the connection was opened for this use.
    pub(super) opened_at: Option<LogPosition>,
    given_back: bool,
    pinned: bool,
}

impl PooledLink {
    /// The connection; `None` only while it is opened.
    pub(super) fn link(&mut self) -> Option<&mut UpstreamLink> {
        self.link.as_mut()
    }

    pub(super) fn record(&self) -> &InstanceRecord {
        self.pool.record()
    }

    /// The host through which the database is reached, if not directly.
    pub(super) fn home(&self) -> Option<HostId> {
        self.pool.home
    }

    /// The connection belongs to a transaction from now on: it no longer
    /// counts as running while the transaction waits.
    pub(super) fn pin(&mut self) {
        if !self.pinned {
            self.pinned = true;
            self.pool.state.borrow_mut().running -= 1;
            self.pool.serve_next(None);
        }
    }

    /// The database answered a statement, or had no room for it.
    pub(super) fn note_answer(&self, refused: bool) {
        self.pool.note_answer(refused);
    }

    /// Gives the connection back for other sessions.
    pub(super) fn release(mut self) {
        let Some(link) = self.link.take() else {
            return;
        };
        self.given_back = true;
        self.leave();
        match self.pool.is_overdue(&link) {
            true => self.pool.return_borrowed(),
            false => self.pool.serve_next(Some(link)),
        }
    }

    fn leave(&self) {
        if !self.pinned {
            self.pool.state.borrow_mut().running -= 1;
        }
    }
}

impl Drop for PooledLink {
    fn drop(&mut self) {
        if !self.given_back {
            self.leave();
            self.pool.state.borrow_mut().open -= 1;
            self.pool.serve_next(None);
        }
    }
}
