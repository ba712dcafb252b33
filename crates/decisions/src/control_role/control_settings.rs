use std::{collections::BTreeSet, time::Duration};

use crate::{identity::HostId, usage::UsageBounds};

/// Silence of the control leader before an election: many times the latency
/// between data centres, and short compared with an entry host's lease.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between the leader's heartbeats: four fit into an election timeout.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(75);
/// Lease of an entry host: it serves this long without contact with the control
/// leader, and a change of primary waits this long for a host that is cut off.
pub(super) const ENTRY_LEASE_DURATION: Duration = Duration::from_millis(3_500);
/// Share of the time limit for revoking a key that a lease may take, in percent; the
/// rest is left for drifting clocks and for statements on their way.
const REVOCATION_LEASE_PERCENT: u32 = 70;
/// Time before the end of a draining database's use at which its term ends: until
/// then all entry hosts in contact with control must have stopped using it.
const DRAIN_END_MARGIN: Duration = Duration::from_millis(1_000);
/// Consecutive announcements that may be missed before a database is removed.
const MISSED_ANNOUNCEMENT_LIMIT: u32 = 10;
/// Part of the announcement lifetime after which a silent database no longer counts as
/// a successor of a draining primary: two announcements may be missed.
const SUCCESSOR_SILENCE_DIVISOR: u32 = 4;

/// Settings of a control host, given at its start.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Number of this host.
    pub host: HostId,
    /// Control hosts to contact first.
    pub seeds: BTreeSet<HostId>,
    /// True at the first start of the deployment: the seeds become its voters.
    pub bootstrap: bool,
    /// Shortest silence of a leader before an election.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Length of an entry host's lease.
    pub lease_duration: Duration,
    /// Time without an announcement after which a database is removed.
    pub announcement_lifetime: Duration,
    /// Time for which a database may be used after it announced that it drains;
    /// `None` for no limit.
    pub drain_period: Option<Duration>,
    /// Number of control hosts whose disks may be lost at once; `None` if it is not known.
    pub tolerated_losses: Option<usize>,
    /// Limits on how far workspaces may exceed their caps.
    pub usage_bounds: UsageBounds,
    /// Random seed, different at every start.
    pub seed: u64,
}

impl ControlSettings {
    /// Settings with the default times, for databases that announce themselves
    /// every `announcement_interval` and may be used for `drain_period` once they
    /// drain.
    pub fn new(
        host: HostId,
        seeds: BTreeSet<HostId>,
        bootstrap: bool,
        announcement_interval: Duration,
        drain_period: Option<Duration>,
        seed: u64,
    ) -> Self {
        Self {
            host,
            seeds,
            bootstrap,
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            lease_duration: ENTRY_LEASE_DURATION,
            announcement_lifetime: announcement_interval * MISSED_ANNOUNCEMENT_LIMIT,
            drain_period,
            tolerated_losses: None,
            usage_bounds: UsageBounds::default(),
            seed,
        }
    }

    /// Shortens leases so that a host that is cut off stops serving a removed key
    /// within `limit` after the removal was acknowledged: a lease proves a
    /// configuration that is no older than the lease.
    pub fn with_revocation_limit(mut self, limit: Duration) -> Self {
        self.lease_duration = self.lease_duration.min(limit * REVOCATION_LEASE_PERCENT / 100);
        self
    }

    /// Sets the number of control hosts whose disks may be lost at once.
    pub fn with_tolerated_losses(mut self, losses: usize) -> Self {
        self.tolerated_losses = Some(losses);
        self
    }

    /// Sets the limits on how far workspaces may exceed their caps.
    pub fn with_usage_bounds(mut self, bounds: UsageBounds) -> Self {
        self.usage_bounds = bounds;
        self
    }

    /// Silence after which a database is not relied on as a successor.
    pub(super) fn successor_silence(&self) -> Duration {
        self.announcement_lifetime / SUCCESSOR_SILENCE_DIVISOR
    }

    /// Time after which a draining database is neither kept nor chosen as primary.
    pub(super) fn drain_limit(&self) -> Option<Duration> {
        self.drain_period.map(|period| period.saturating_sub(DRAIN_END_MARGIN))
    }
}
