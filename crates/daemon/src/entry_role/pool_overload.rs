use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{
        PoolPriorities, QueueForecast, QueuedStatement, RankedStatement, ReleaseChoice,
        may_end_idle,
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

/// Reason of an early refusal.
pub(super) const OVERLOADED: &str = "the database is overloaded";

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
    /// True if a statement of this priority may be sent to the database now.
    pub(super) fn has_capacity(&self, priority: u32) -> bool {
        self.overload.priorities.has_room(&self.window, self.running, priority)
    }

    /// The waiting statement that takes a free place and a connection, if one may.
    pub(super) fn choose_waiter(&mut self, now: Moment) -> ReleaseChoice {
        let (waiters, handshake) = (self.waiters.statements(), self.handshake.expected());
        let priorities = &mut self.overload.priorities;
        if !priorities.is_active() {
            return match self.running < self.window.limit() {
                true => self.table.choose_waiter(waiters, handshake, now),
                false => ReleaseChoice::KeepIdle,
            };
        }
        let (window, running) = (&self.window, self.running);
        self.table.choose_waiter_by(waiters, handshake, now, |servable| {
            let queue: Vec<RankedStatement> = servable
                .iter()
                .map(|index| &waiters[*index])
                .map(|waiter| priorities.rank(now, waiter.statement, waiter.workspace.as_ref()))
                .collect();
            priorities.next_waiter(window, running, &queue, now)
        })
    }

    /// Priority of the most urgent statement that waits for a connection while none can
    /// be opened.
    fn blocked_priority(&self) -> Option<u32> {
        let is_paused = self.table.pauses().open_pause(true, BootClock.now()).is_some();
        if self.table.open() < self.table.share() && !is_paused {
            return None;
        }
        let priority = self.waiters.waiting().map(|waiter| waiter.statement.priority).min()?;
        self.has_capacity(priority).then_some(priority)
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
            // A gateway's refusal tells nothing about the room for other statements.
            return match self.gateway() {
                Some(_) => {}
                None => state.window.record_refusal(),
            };
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
        let rank = |statement, workspace| priorities.rank(now, statement, workspace);
        let others =
            state.waiters.waiting().map(|waiter| rank(waiter.statement, waiter.workspace.as_ref()));
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

/// Hint of a refusal that states when to try again, rounded up so that a caller does not
/// come back too early.
pub(super) fn retry_hint(reason: &str, retry_after: Duration) -> String {
    let milliseconds = retry_after.as_micros().div_ceil(1_000).max(1);
    format!("{reason}; try again in {milliseconds} ms")
}
