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
/// then in the order in which their objectives end. Once the first of them has used
/// half of its objective, statements arrive faster than they are answered. Then the
/// one with the shortest objective goes first, since the others can wait longer, and of
/// these the newest, since in order of arrival all would be answered just too late.
/// Statements that can no longer meet their objective go when no other one waits,
/// the newest first.
pub fn next_in_queue(queue: &[QueuedStatement], now: Moment, expected: Duration) -> Option<usize> {
    let in_time = queue.iter().enumerate().filter(|(_, s)| s.can_meet_objective(now, expected));
    let urgent = in_time.clone().map(|(_, s)| s.priority).min();
    let Some(priority) = urgent else {
        return queue.len().checked_sub(1);
    };
    let peers = in_time.filter(|(_, s)| s.priority == priority);
    let (first, statement) = peers.clone().min_by_key(|(_, s)| s.arrived + s.objective)?;
    if now.since(statement.arrived) * 2 <= statement.objective {
        return Some(first);
    }
    let shortest = peers.clone().map(|(_, s)| s.objective).min()?;
    peers.filter(|(_, s)| s.objective == shortest).map(|(index, _)| index).next_back()
}
