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
    shortest: Duration,
    longest: Duration,
    interval: Duration,
    last_at: Option<Moment>,
    due: Option<Moment>,
    /// The requested message waits for the end of the interval.
    is_delayed: bool,
}

impl SendPace {
    /// Allows one message an interval.
    pub fn new(interval: Duration) -> Self {
        Self::growing(interval, interval)
    }

    /// Allows one message an interval, which doubles, up to `longest`, for as long as
    /// messages are requested in each of them, and is `shortest` again after a pause.
    pub fn growing(shortest: Duration, longest: Duration) -> Self {
        Self { shortest, longest, interval: shortest, last_at: None, due: None, is_delayed: false }
    }

    /// Requests a message: due at once if none was sent within the interval, else at
    /// its end.
    pub fn request(&mut self, now: Moment) {
        if self.due.is_none() {
            let earliest = self.last_at.map_or(now, |at| now.max(at + self.interval));
            self.due = Some(earliest);
            self.is_delayed = earliest > now;
        }
    }

    /// Requests a message, of which this interval allows one from now on.
    pub fn request_every(&mut self, interval: Duration, now: Moment) {
        (self.shortest, self.longest, self.interval) = (interval, interval, interval);
        self.request(now);
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
            self.interval = match self.is_delayed {
                true => self.longest.min(2 * self.interval),
                false => self.shortest,
            };
        }
        is_due
    }
}
