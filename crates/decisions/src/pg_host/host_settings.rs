use std::{collections::BTreeSet, time::Duration};

use crate::{control_state::HostRecord, identity::HostId};

/// Times and identity of one host.
#[derive(Debug, Clone)]
pub struct HostSettings {
    /// This host's facts, as control keeps them.
    pub record: HostRecord,
    /// The first voters of the deployment.
    pub voters: BTreeSet<HostId>,
    /// Length of the lease that lets a host serve.
    pub lease_duration: Duration,
    /// Time between renewals of the lease.
    pub lease_renewal: Duration,
    /// Silence of a primary before this host suspects it.
    pub suspect_after: Duration,
    /// Time without progress of replication before the primary is suspected.
    pub stall_after: Duration,
    /// Hosts that hold connections to one group.
    pub gateways_per_group: usize,
    /// Shortest silence of control's leader before an election.
    pub election_timeout: Duration,
    /// Time between heartbeats of control's leader.
    pub heartbeat_interval: Duration,
    /// Seed for randomness; differs at every start.
    pub seed: u64,
}

impl HostSettings {
    /// Number of this host.
    pub fn id(&self) -> HostId {
        self.record.id
    }

    /// True if this host votes in control.
    pub fn is_voter(&self) -> bool {
        self.voters.contains(&self.id())
    }
}
