use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{
        PoolPriorities, QueueForecast, QueuedStatement, RankedStatement, may_end_idle,
        next_in_queue,
    },
};
use tokio::time::Instant;

use super::{
    database_pool::{DatabasePool, PoolState},
    entry_shared::EntryShared,
};
use crate::clock::BootClock;

/// Time without an early refusal after which a pool no longer counts as refusing; it
/// also bounds the log lines of a pool.
const REFUSING_TIME: Duration = Duration::from_secs(2);
/// Pause between two early ends of idle transactions of a pool: long enough for the
/// rollback, after which the connection is handed to a waiting statement.
const IDLE_END_PAUSE: Duration = Duration::from_millis(100);

/// Treatment of a pool's statements of several priorities, and what it has done lately.
#[derive(Debug, Default)]
pub(super) struct PoolOverload {
    pub(super) priorities: PoolPriorities,
    /// Time of the last early refusal; `None` if none since the pool stopped refusing.
    refused_at: Option<Instant>,
    /// Time of the last early end of an idle transaction.
    ended_idle_at: Option<Instant>,
}

impl PoolState {
    /// Index of the waiting statement that takes a free place, if one may.
    pub(super) fn next_waiter(&mut self, now: Moment) -> Option<usize> {
        if !self.overload.priorities.is_active() {
            let queue: Vec<QueuedStatement> = self.waiters.iter().map(|w| w.statement).collect();
            let has_room = self.running < self.window.limit();
            return next_in_queue(&queue, now, Duration::ZERO).filter(|_| has_room);
        }
        let priorities = &mut self.overload.priorities;
        let rank = |(statement, workspace): (QueuedStatement, Option<&Arc<str>>)| RankedStatement {
            statement,
            recent_work: priorities.recent_work(now, workspace),
        };
        let waiters = self.waiters.iter().map(|w| (w.statement, w.workspace.as_ref()));
        let queue: Vec<RankedStatement> = waiters.map(rank).collect();
        priorities.next_waiter(&self.window, self.running, &queue, now)
    }

    /// Priority of the most urgent statement that waits for a connection while none can
    /// be opened.
    fn blocked_priority(&self) -> Option<u32> {
        let is_full = self.full_until.is_some_and(|until| until > Instant::now());
        if self.open < self.share && !is_full {
            return None;
        }
        let priority = self
            .waiters
            .iter()
            .filter(|waiter| !waiter.offer.is_closed())
            .map(|waiter| waiter.statement.priority)
            .min()?;
        let priorities = &self.overload.priorities;
        priorities.has_room(&self.window, self.running, priority).then_some(priority)
    }
}

impl DatabasePool {
    /// Sets the most urgent priority of the service, if its routes have several. Only
    /// direct connections are subject to it: what a gateway answers tells little about
    /// the database's queue.
    pub(super) fn set_most_urgent(&self, most_urgent: Option<u32>) {
        let most_urgent = most_urgent.filter(|_| self.gateway().is_none());
        self.state.borrow_mut().overload.priorities.set_most_urgent(most_urgent);
    }

    /// True if a statement of this priority may be sent to the database now.
    pub(super) fn has_capacity(&self, priority: u32) -> bool {
        let state = self.state.borrow();
        state.overload.priorities.has_room(&state.window, state.running, priority)
    }

    /// Records that the database answered a statement after `took`, or refused it as
    /// busy. `pinned` if it belongs to an open transaction, which takes no place of the
    /// window.
    pub(super) fn record_answer(
        &self,
        refused: bool,
        took: Duration,
        priority: u32,
        workspace: Option<&Arc<str>>,
        pinned: bool,
    ) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let priorities = &mut state.overload.priorities;
        if refused {
            return state.window.record_refusal();
        }
        priorities.record_work(BootClock.now(), workspace, took);
        if !pinned || !priorities.is_active() {
            priorities.record_answer(&mut state.window, state.running, priority, took);
        }
    }

    /// Forecasts whether a statement gets a connection before `deadline`.
    pub(super) fn forecast(
        &self,
        now: Moment,
        statement: QueuedStatement,
        workspace: Option<&Arc<str>>,
        deadline: Instant,
    ) -> QueueForecast {
        let state = self.state.borrow();
        let time_left = deadline.saturating_duration_since(Instant::now());
        let priorities = &state.overload.priorities;
        let rank = |statement, workspace| RankedStatement {
            statement,
            recent_work: priorities.recent_work(now, workspace),
        };
        let waiting = state.waiters.iter().filter(|waiter| !waiter.offer.is_closed());
        let others = waiting.map(|waiter| rank(waiter.statement, waiter.workspace.as_ref()));
        // The low bits of the boot clock differ between statements and hosts.
        let spread = now.as_micros();
        let ranked = rank(statement, workspace);
        let (window, running) = (&state.window, state.running);
        priorities.forecast(window, running, others, &ranked, now, time_left, spread)
    }

    /// Counts an early refusal, and logs the first one of a time of refusals.
    pub(super) fn record_early_refusal(&self, shared: &EntryShared, priority: u32) {
        shared.metrics.count_early_refusal(priority);
        let mut state = self.state.borrow_mut();
        if state.overload.refused_at.replace(Instant::now()).is_none() {
            tracing::info!(
                target: "entry",
                instance = %self.target().key(),
                waiting = state.waiters.len(),
                running = state.running,
                window = state.window.limit(),
                priority,
                "refusing statements that cannot be served in time"
            );
        }
    }

    /// Logs the end of a time of early refusals.
    pub(super) fn check_refusals_ended(&self) {
        let mut state = self.state.borrow_mut();
        let refused_at = &mut state.overload.refused_at;
        if refused_at.take_if(|at| at.elapsed() >= REFUSING_TIME).is_some() {
            let instance = self.target().key();
            tracing::info!(target: "entry", %instance, "no more statements refused early");
        }
    }

    /// True if a transaction of this priority that has been idle for `idle` should be
    /// rolled back before its limit; one at a time.
    pub(super) fn claim_idle_end(&self, idle: Duration, limit: Duration, priority: u32) -> bool {
        let mut state = self.state.borrow_mut();
        let is_active = state.overload.priorities.is_active();
        let ended_at = state.overload.ended_idle_at;
        let may_end = is_active
            && ended_at.is_none_or(|at| at.elapsed() >= IDLE_END_PAUSE)
            && may_end_idle(idle, limit, priority, state.blocked_priority());
        if may_end {
            state.overload.ended_idle_at = Some(Instant::now());
        }
        may_end
    }
}

/// Hint of an early refusal.
pub(super) fn overload_hint(retry_after: Duration) -> String {
    let milliseconds = retry_after.as_millis().max(1);
    format!("the database is overloaded; try again in {milliseconds} ms")
}
