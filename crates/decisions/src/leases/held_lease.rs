use std::time::Duration;

use crate::clock::Moment;

/// Longest time between renewals of a lease.
const MAX_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Renewals in the time of a lease: three in a row may be lost.
const RENEWALS_IN_LEASE: u32 = 4;

/// A lease in its holder's view, counted from the time of the request.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeldLease {
    ends_at: Moment,
    /// Length as last granted; zero before the first grant.
    duration: Duration,
    /// Index that the holder must have applied for the lease to be valid.
    required_index: u64,
}

impl HeldLease {
    /// Extends the lease, counted from the time at which the request was sent.
    pub fn extend(&mut self, sent_at: Moment, duration: Duration, required_index: u64) {
        let ends_at = sent_at + duration;
        if ends_at > self.ends_at {
            *self = Self { ends_at, duration, required_index };
        }
    }

    /// Time between renewals of the lease: leases are short where a removed key must soon
    /// be refused by hosts that are cut off.
    pub fn renewal_interval(&self) -> Duration {
        match self.duration.is_zero() {
            true => MAX_RENEWAL_INTERVAL,
            false => MAX_RENEWAL_INTERVAL.min(self.duration / RENEWALS_IN_LEASE),
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
