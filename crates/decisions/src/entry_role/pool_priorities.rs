use std::{sync::Arc, time::Duration};

use super::{
    InflightWindow, QueueForecast, QueueTurns, QueuedStatement, RankedStatement, ResponseTrend,
    WorkspaceWork, forecast_wait, is_behind_backlog,
};
use crate::clock::Moment;

/// How a database's pool treats statements of several priorities. Without several
/// priorities the window and the refusals are unaffected.
#[derive(Debug, Default)]
pub struct PoolPriorities {
    most_urgent: Option<u32>,
    trend: ResponseTrend,
    turns: QueueTurns,
    work: WorkspaceWork,
}

impl PoolPriorities {
    /// Sets the most urgent priority, if the service's routes have several.
    pub fn set_most_urgent(&mut self, most_urgent: Option<u32>) {
        self.most_urgent = most_urgent;
    }

    /// True if the service's routes have several priorities.
    pub fn is_active(&self) -> bool {
        self.most_urgent.is_some()
    }

    /// True if a statement may start beside `running` ones. Windows above 1 leave one
    /// place to the most urgent priority.
    pub fn has_room(&self, window: &InflightWindow, running: usize, priority: u32) -> bool {
        running + self.reserved_places(window, priority) < window.limit()
    }

    fn reserved_places(&self, window: &InflightWindow, priority: u32) -> usize {
        let is_urgent = self.most_urgent.is_none_or(|urgent| priority <= urgent);
        usize::from(!is_urgent && window.limit() > 1)
    }

    /// Records an answer after `took` that came while `running` statements were in
    /// flight.
    pub fn record_answer(
        &mut self,
        window: &mut InflightWindow,
        running: usize,
        priority: u32,
        took: Duration,
    ) {
        self.trend.record(priority, took);
        if self.most_urgent.is_none() {
            return window.record_answer(running);
        }
        match self.trend.is_slow(priority) {
            true => window.record_slow_answer(),
            // Less urgent statements fill the window once only the reserved place is left.
            false => window.record_answer(running + self.reserved_places(window, priority)),
        }
    }

    /// Records the time that a workspace's statement took at the database.
    pub fn record_work(&mut self, now: Moment, workspace: Option<&Arc<str>>, took: Duration) {
        if let Some(workspace) = workspace.filter(|_| self.is_active()) {
            self.work.record(now, workspace, took);
        }
    }

    /// A statement with the recent work of its workspace, by which the queue is ordered.
    pub fn rank(
        &self,
        now: Moment,
        statement: QueuedStatement,
        workspace: Option<&Arc<str>>,
    ) -> RankedStatement {
        RankedStatement { statement, recent_work: self.work.recent(now, workspace) }
    }

    /// Index of the waiting statement that takes a free place, if one may.
    pub fn next_waiter(
        &mut self,
        window: &InflightWindow,
        running: usize,
        queue: &[RankedStatement],
        now: Moment,
    ) -> Option<usize> {
        if running >= window.limit() {
            return None;
        }
        let reserved_for = self.most_urgent.filter(|_| !self.has_room(window, running, u32::MAX));
        self.turns.next(queue, now, reserved_for)
    }

    /// Forecasts whether a statement that finds no room gets a place in time; `others`
    /// are the statements that wait. It may wait if there is room, or if too few answers
    /// are known for an estimate.
    #[expect(clippy::too_many_arguments, reason = "the queue's state belongs to the pool")]
    pub fn forecast(
        &self,
        window: &InflightWindow,
        running: usize,
        others: impl Iterator<Item = RankedStatement> + Clone,
        ranked: &RankedStatement,
        now: Moment,
        time_left: Duration,
        spread: u64,
    ) -> QueueForecast {
        let is_full = !self.has_room(window, running, ranked.statement.priority);
        if is_full && !self.is_active() && !is_behind_backlog(others.clone(), ranked, now) {
            return QueueForecast::Wait;
        }
        match self.trend.recent().filter(|_| is_full) {
            Some(response_time) => {
                let places = window.limit();
                forecast_wait(others, ranked, now, places, response_time, time_left, spread)
            }
            None => QueueForecast::Wait,
        }
    }
}

/// True if a transaction of this priority that has been idle for `idle` may be ended
/// before its limit, for a statement of priority `waiting` that gets no connection.
pub fn may_end_idle(idle: Duration, limit: Duration, priority: u32, waiting: Option<u32>) -> bool {
    idle * 2 > limit && waiting.is_some_and(|waiting| priority >= waiting)
}
