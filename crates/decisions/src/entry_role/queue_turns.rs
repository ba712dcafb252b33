use std::time::Duration;

use super::{QueuedStatement, next_in_queue};
use crate::clock::Moment;

/// One place in this many goes to the oldest statement of any priority.
const OLDEST_TURN: u32 = 8;
/// Workspaces are served evenly once a statement has waited for its objective divided
/// by this number; before, the order of arrival is fair enough.
const FAIRNESS_DIVISOR: u32 = 4;

/// A waiting statement and how much its workspace used the database lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankedStatement {
    /// The statement.
    pub statement: QueuedStatement,
    /// Time at the database of its workspace's statements in about the last second.
    pub recent_work: Duration,
}

/// Order in which statements of several priorities get the places that become free.
#[derive(Debug, Clone, Copy, Default)]
pub struct QueueTurns {
    since_oldest: u32,
}

impl QueueTurns {
    /// Index of the statement to send next, as [`next_in_queue`] says, with two
    /// exceptions: one place in eight goes to the oldest statement that can still meet
    /// its objective, so that no priority waits without bound; and within a priority the
    /// workspace with the least recent work goes first once statements have waited for a
    /// quarter of their objective. `reserved_for` is set if the free place is left to this
    /// priority.
    pub fn next(
        &mut self,
        queue: &[RankedStatement],
        now: Moment,
        reserved_for: Option<u32>,
    ) -> Option<usize> {
        if let Some(priority) = reserved_for {
            return next_of(queue, now, |ranked| ranked.statement.priority <= priority);
        }
        if queue.is_empty() {
            return None;
        }
        self.since_oldest += 1;
        if self.since_oldest >= OLDEST_TURN {
            self.since_oldest = 0;
            let oldest = queue.iter().position(|ranked| is_in_time(ranked, now));
            if oldest.is_some() {
                return oldest;
            }
        }
        next_of(queue, now, |_| true)
    }
}

fn is_in_time(ranked: &RankedStatement, now: Moment) -> bool {
    ranked.statement.can_meet_objective(now, Duration::ZERO)
}

fn next_of(
    queue: &[RankedStatement],
    now: Moment,
    is_allowed: impl Fn(&RankedStatement) -> bool,
) -> Option<usize> {
    let first = select(queue, now, &is_allowed)?;
    let priority = queue[first].statement.priority;
    let is_peer = |ranked: &RankedStatement| {
        is_allowed(ranked) && is_in_time(ranked, now) && ranked.statement.priority == priority
    };
    if !is_in_time(&queue[first], now) {
        return Some(first);
    }
    let has_waited = queue.iter().filter(|ranked| is_peer(ranked)).any(|ranked| {
        let statement = &ranked.statement;
        now.since(statement.arrived) * FAIRNESS_DIVISOR > statement.objective
    });
    let least = queue.iter().filter(|ranked| is_peer(ranked)).map(|r| r.recent_work).min();
    match least.filter(|_| has_waited) {
        Some(least) => select(queue, now, |r| is_peer(r) && r.recent_work == least),
        None => Some(first),
    }
}

fn select(
    queue: &[RankedStatement],
    now: Moment,
    is_allowed: impl Fn(&RankedStatement) -> bool,
) -> Option<usize> {
    let allowed: Vec<usize> = (0..queue.len()).filter(|index| is_allowed(&queue[*index])).collect();
    let statements: Vec<QueuedStatement> =
        allowed.iter().map(|index| queue[*index].statement).collect();
    next_in_queue(&statements, now, Duration::ZERO).map(|index| allowed[index])
}
