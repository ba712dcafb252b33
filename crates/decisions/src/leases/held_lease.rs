use std::time::Duration;

use crate::clock::Moment;

/// A lease as its holder sees it, counted from when it asked.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeldLease {
    ends_at: Moment,
    /// Index that the holder must have applied before the lease counts.
    required_index: u64,
}

impl HeldLease {
    /// Extends the lease from the moment the request was sent.
    pub fn extend(&mut self, sent_at: Moment, duration: Duration, required_index: u64) {
        let ends_at = sent_at + duration;
        if ends_at > self.ends_at {
            *self = Self { ends_at, required_index };
        }
    }

    /// Time for which the lease still holds, zero if it does not.
    pub fn remaining(&self, now: Moment, applied: u64) -> Duration {
        match self.is_valid(now, applied) {
            true => self.ends_at.since(now),
            false => Duration::ZERO,
        }
    }

    /// True if the lease holds and the holder has applied what it requires.
    pub fn is_valid(&self, now: Moment, applied: u64) -> bool {
        now < self.ends_at && applied >= self.required_index
    }
}
