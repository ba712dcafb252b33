//! Limit on how often messages of one kind are sent.

use std::time::Duration;

use crate::clock::Moment;

/// Lets the first request through at once and gathers those that follow for an
/// interval.
///
/// Messages that are answered by messages need it: an overloaded leader that cannot
/// grant leases yet answers each renewal by naming itself, and renewals without a limit
/// would follow each other as fast as the links allow and keep it overloaded.
#[derive(Debug)]
pub struct SendPace {
    interval: Duration,
    last_at: Option<Moment>,
    due: Option<Moment>,
}

impl SendPace {
    /// Allows one message an interval.
    pub fn new(interval: Duration) -> Self {
        Self { interval, last_at: None, due: None }
    }

    /// Requests a message: due at once if none was sent within the interval, else at
    /// its end.
    pub fn request(&mut self, now: Moment) {
        let earliest = self.last_at.map_or(now, |at| now.max(at + self.interval));
        self.due.get_or_insert(earliest);
    }

    /// Time at which the requested message is due, if any.
    pub fn due(&self) -> Option<Moment> {
        self.due
    }

    /// True once for each requested message, when it is due.
    pub fn take_due(&mut self, now: Moment) -> bool {
        let is_due = self.due.is_some_and(|due| due <= now);
        if is_due {
            self.due = None;
            self.last_at = Some(now);
        }
        is_due
    }
}
