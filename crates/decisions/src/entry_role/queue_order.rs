use std::time::Duration;

use crate::clock::Moment;

/// What a waiting statement's place in the queue depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedStatement {
    /// When it began to wait.
    pub arrived: Moment,
    /// Time within which its answer is best given.
    pub objective: Duration,
    /// 0 is the most urgent.
    pub priority: u32,
}

impl QueuedStatement {
    fn is_in_time(&self, now: Moment, expected: Duration) -> bool {
        now.since(self.arrived) + expected <= self.objective
    }
}

/// Which waiting statement goes next; the queue is in order of arrival and a
/// statement takes about `expected`.
///
/// Statements that can still meet their objective go first, by priority and
/// then in order of arrival. Once the oldest of them has used half of its
/// objective, work arrives faster than it is done: then the newest goes first,
/// since in order of arrival all would be answered just too late. What is late
/// already goes when nothing else waits.
pub fn next_in_queue(queue: &[QueuedStatement], now: Moment, expected: Duration) -> Option<usize> {
    let in_time = queue.iter().enumerate().filter(|(_, s)| s.is_in_time(now, expected));
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
