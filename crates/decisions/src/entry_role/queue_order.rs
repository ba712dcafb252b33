use std::time::Duration;

use crate::clock::Moment;

/// Properties of a waiting statement that determine its order in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedStatement {
    /// Time at which it was queued.
    pub arrived: Moment,
    /// Target time from arrival to answer.
    pub objective: Duration,
    /// 0 is the most urgent.
    pub priority: u32,
}

impl QueuedStatement {
    pub(super) fn can_meet_objective(&self, now: Moment, expected: Duration) -> bool {
        now.since(self.arrived) + expected <= self.objective
    }
}

/// Index of the waiting statement to send next; the queue is in order of arrival
/// and a statement takes about `expected`.
///
/// Statements that can still meet their objective go first, by priority and
/// then in order of arrival. Once the oldest of them has used half of its
/// objective, statements arrive faster than they are answered. Then the newest
/// goes first, since in order of arrival all would be answered just too late.
/// Statements that can no longer meet their objective go when no other one waits,
/// the newest first.
pub fn next_in_queue(queue: &[QueuedStatement], now: Moment, expected: Duration) -> Option<usize> {
    let in_time = queue.iter().enumerate().filter(|(_, s)| s.can_meet_objective(now, expected));
    let urgent = in_time.clone().map(|(_, s)| s.priority).min();
    let Some(priority) = urgent else {
        return queue.len().checked_sub(1);
    };
    let mut first = in_time.filter(|(_, s)| s.priority == priority).map(|(index, _)| index);
    let oldest = first.next()?;
    let statement = &queue[oldest];
    if now.since(statement.arrived) * 2 > statement.objective {
        return first.next_back().or(Some(oldest));
    }
    Some(oldest)
}
