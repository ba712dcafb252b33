use std::time::Duration;

use crate::clock::Moment;

/// Limits renewals that answer messages of control hosts, apart from the regular ones.
///
/// An overloaded leader that cannot grant leases yet answers each renewal by naming
/// itself. Renewals without a limit would follow each other as fast as the link allows,
/// from all entry hosts, and keep it overloaded.
#[derive(Debug)]
pub struct RenewalPace {
    interval: Duration,
    last_at: Option<Moment>,
    due: Option<Moment>,
}

impl RenewalPace {
    /// Allows one renewal an interval.
    pub fn new(interval: Duration) -> Self {
        Self { interval, last_at: None, due: None }
    }

    /// Requests a renewal: at once if none was allowed within the interval, else at its
    /// end.
    pub fn request(&mut self, now: Moment) {
        let earliest = self.last_at.map_or(now, |at| now.max(at + self.interval));
        self.due.get_or_insert(earliest);
    }

    /// Time of the requested renewal, if any.
    pub fn due(&self) -> Option<Moment> {
        self.due
    }

    /// True once for each requested renewal, when it is due.
    pub fn take_due(&mut self, now: Moment) -> bool {
        let is_due = self.due.is_some_and(|due| due <= now);
        if is_due {
            self.due = None;
            self.last_at = Some(now);
        }
        is_due
    }
}
