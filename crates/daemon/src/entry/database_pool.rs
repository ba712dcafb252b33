use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use hawthornstack_decisions::instances::InstanceRecord;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep_until, timeout_at},
};

use super::{
    entry_shared::EntryShared,
    upstream_link::{OpenError, UpstreamLink},
};

/// Idle time after which a connection beyond the host's share is closed, so
/// that another host may open one.
const SURPLUS_IDLE: Duration = Duration::from_millis(800);
/// Time before a database that took no more connections is tried again.
const FULL_PAUSE: Duration = Duration::from_millis(40);

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
    priority: u32,
    offer: oneshot::Sender<PoolOffer>,
}

#[derive(Debug, Default)]
struct PoolState {
    idle: Vec<(UpstreamLink, Option<Instant>)>,
    open: usize,
    waiters: VecDeque<PoolWaiter>,
    full_until: Option<Instant>,
}

/// Connections of this host to one start of a database.
#[derive(Debug)]
pub(super) struct DatabasePool {
    record: InstanceRecord,
    state: RefCell<PoolState>,
}

impl DatabasePool {
    pub(super) fn new(record: &InstanceRecord) -> Rc<Self> {
        Rc::new(Self { record: record.clone(), state: RefCell::default() })
    }

    pub(super) fn record(&self) -> &InstanceRecord {
        &self.record
    }

    pub(super) fn is_empty(&self) -> bool {
        self.state.borrow().open == 0
    }

    /// Takes an idle connection, opens one, or waits for one until `deadline`.
    pub(super) async fn acquire(
        self: &Rc<Self>,
        shared: &EntryShared,
        priority: u32,
        deadline: Instant,
    ) -> Result<PooledLink, AcquireError> {
        loop {
            if let Some(link) = self.take_idle() {
                return Ok(PooledLink { link: Some(link), pool: self.clone(), given_back: false });
            }
            let limit = shared.connection_limit(&self.record);
            let waits_until = match self.may_open(limit) {
                Ok(()) => match self.open(shared).await {
                    Ok(link) => return Ok(link),
                    Err(OpenError::Unreachable) => return Err(AcquireError::Unreachable),
                    Err(OpenError::Misrouted) => return Err(AcquireError::Misrouted),
                    Err(OpenError::Full) => Some(self.note_full()),
                },
                Err(full_until) => full_until,
            };
            if let Some(link) = self.wait(priority, waits_until, deadline).await? {
                return Ok(link);
            }
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
    fn may_open(&self, limit: usize) -> Result<(), Option<Instant>> {
        let state = self.state.borrow();
        if state.open >= limit {
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
        let mut pooled = PooledLink { link: None, pool: self.clone(), given_back: false };
        let protocol = &*shared.upstreams;
        pooled.link =
            Some(UpstreamLink::open(protocol, &self.record, &shared.settings.name).await?);
        Ok(pooled)
    }

    fn note_full(&self) -> Instant {
        let until = Instant::now() + FULL_PAUSE;
        self.state.borrow_mut().full_until = Some(until);
        until
    }

    /// Waits for a connection that is given back; `None` if it is time to look
    /// again.
    async fn wait(
        self: &Rc<Self>,
        priority: u32,
        until: Option<Instant>,
        deadline: Instant,
    ) -> Result<Option<PooledLink>, AcquireError> {
        let (offer, offered) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            state.waiters.retain(|waiter| !waiter.offer.is_closed());
            let place = state.waiters.iter().position(|waiter| waiter.priority > priority);
            let place = place.unwrap_or(state.waiters.len());
            state.waiters.insert(place, PoolWaiter { priority, offer });
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
            Ok(Some(PoolOffer::Link(link))) => {
                Ok(Some(PooledLink { link: Some(*link), pool: self.clone(), given_back: false }))
            }
            Ok(_) => Ok(None),
        }
    }

    fn give_back(&self, link: UpstreamLink) {
        let mut state = self.state.borrow_mut();
        let mut link = Box::new(link);
        while let Some(waiter) = state.waiters.pop_front() {
            match waiter.offer.send(PoolOffer::Link(link)) {
                Ok(()) => return,
                Err(PoolOffer::Link(returned)) => link = returned,
                Err(PoolOffer::Retry) => return,
            }
        }
        state.idle.push((*link, None));
    }

    fn discard(&self) {
        let mut state = self.state.borrow_mut();
        state.open -= 1;
        while let Some(waiter) = state.waiters.pop_front() {
            if waiter.offer.send(PoolOffer::Retry).is_ok() {
                return;
            }
        }
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
    given_back: bool,
}

impl PooledLink {
    /// The connection; `None` only while it is opened.
    pub(super) fn link(&mut self) -> Option<&mut UpstreamLink> {
        self.link.as_mut()
    }

    pub(super) fn record(&self) -> &InstanceRecord {
        self.pool.record()
    }

    /// Gives the connection back for other sessions.
    pub(super) fn release(mut self) {
        if let Some(link) = self.link.take() {
            self.given_back = true;
            self.pool.give_back(link);
        }
    }
}

impl Drop for PooledLink {
    fn drop(&mut self) {
        if !self.given_back {
            self.pool.discard();
        }
    }
}
