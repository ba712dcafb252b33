use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Moment, identity::HostId};

/// Bound on how much slower a holder's clock may run, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// Leases as the leader granted them, counted from when it answered.
#[derive(Debug, Default)]
pub struct LeaseTable {
    duration: Duration,
    ends_at: BTreeMap<HostId, Moment>,
    unknown_until: Moment,
}

impl LeaseTable {
    /// An empty table of a new leader; leases granted by an earlier one may
    /// hold for one duration more.
    pub fn new(now: Moment, duration: Duration) -> Self {
        let mut table = Self { duration, ..Self::default() };
        table.unknown_until = table.end_after(now);
        table
    }

    /// Records a lease granted now and returns its length for the holder.
    pub fn grant(&mut self, now: Moment, host: HostId) -> Duration {
        self.ends_at.insert(host, self.end_after(now));
        self.duration
    }

    /// When the last lease of the host granted so far runs out, by whichever
    /// leader it was granted.
    pub fn expires_at(&self, host: HostId) -> Moment {
        let known = self.ends_at.get(&host).copied().unwrap_or(Moment::ZERO);
        known.max(self.unknown_until)
    }

    /// Time since the host's lease ran out, zero while it may hold.
    pub fn time_since_expiry(&self, now: Moment, host: HostId) -> Duration {
        now.since(self.expires_at(host))
    }

    /// True if the host renewed with this leader and its lease holds.
    pub fn has_live_lease(&self, now: Moment, host: HostId) -> bool {
        self.ends_at.get(&host).is_some_and(|end| now < *end)
    }

    fn end_after(&self, now: Moment) -> Moment {
        now + self.duration + self.duration * CLOCK_DRIFT_PERCENT / 100
    }
}
