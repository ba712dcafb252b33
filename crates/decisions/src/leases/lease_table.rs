use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Moment, identity::HostId};

/// Upper bound on how much slower a holder's clock may run, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// Leases in the view of the leader that grants them, counted from the time of
/// its answer.
#[derive(Debug, Default)]
pub struct LeaseTable {
    duration: Duration,
    ends_at: BTreeMap<HostId, Moment>,
    earlier_leases_end_at: Moment,
}

impl LeaseTable {
    /// Creates the table of a new leader; leases granted by an earlier one may
    /// be valid for one more lease duration.
    pub fn new(now: Moment, duration: Duration) -> Self {
        let mut table = Self { duration, ..Self::default() };
        table.earlier_leases_end_at = table.latest_expiry(now);
        table
    }

    /// Waits for leases of earlier leaders that are valid for up to `longest` from now,
    /// if that is later: settings may have shortened leases since they were granted.
    pub fn with_earlier_leases(mut self, now: Moment, longest: Duration) -> Self {
        let end = now + longest + longest * CLOCK_DRIFT_PERCENT / 100;
        self.earlier_leases_end_at = self.earlier_leases_end_at.max(end);
        self
    }

    /// Records a lease granted now and returns its length for the holder.
    pub fn grant(&mut self, now: Moment, host: HostId) -> Duration {
        self.ends_at.insert(host, self.latest_expiry(now));
        self.duration
    }

    /// Time at which the host's last lease expires, whichever leader granted
    /// it.
    pub fn expires_at(&self, host: HostId) -> Moment {
        let known = self.ends_at.get(&host).copied().unwrap_or(Moment::ZERO);
        known.max(self.earlier_leases_end_at)
    }

    /// Time since the host's lease expired, zero while it may be valid.
    pub fn time_since_expiry(&self, now: Moment, host: HostId) -> Duration {
        now.since(self.expires_at(host))
    }

    /// True if this leader granted the host a lease that is still valid.
    pub fn has_live_lease(&self, now: Moment, host: HostId) -> bool {
        self.ends_at.get(&host).is_some_and(|end| now < *end)
    }

    fn latest_expiry(&self, now: Moment) -> Moment {
        now + self.duration + self.duration * CLOCK_DRIFT_PERCENT / 100
    }
}
