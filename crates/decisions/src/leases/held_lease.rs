use std::time::Duration;

use crate::clock::Moment;

/// A lease in its holder's view, counted from the time of the request.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeldLease {
    ends_at: Moment,
    /// Index that the holder must have applied for the lease to be valid.
    required_index: u64,
}

impl HeldLease {
    /// Extends the lease, counted from the time at which the request was sent.
    pub fn extend(&mut self, sent_at: Moment, duration: Duration, required_index: u64) {
        let ends_at = sent_at + duration;
        if ends_at > self.ends_at {
            *self = Self { ends_at, required_index };
        }
    }

    /// Remaining time of the lease, zero if it is not valid.
    pub fn remaining(&self, now: Moment, applied: u64) -> Duration {
        match self.is_valid(now, applied) {
            true => self.ends_at.since(now),
            false => Duration::ZERO,
        }
    }

    /// True if the lease has not expired and the holder has applied the
    /// required index.
    pub fn is_valid(&self, now: Moment, applied: u64) -> bool {
        now < self.ends_at && applied >= self.required_index
    }
}
