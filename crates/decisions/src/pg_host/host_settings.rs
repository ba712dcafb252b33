use std::{collections::BTreeSet, time::Duration};

use crate::{control_state::HostRecord, identity::HostId};

/// Identity and timing of one host.
#[derive(Debug, Clone)]
pub struct HostSettings {
    /// This host's record in the replicated control state.
    pub record: HostRecord,
    /// Initial control voters of the deployment.
    pub voters: BTreeSet<HostId>,
    /// Length of the lease that lets a host serve.
    pub lease_duration: Duration,
    /// Time between renewals of the lease.
    pub lease_renewal: Duration,
    /// Silence of a primary after which this host suspects it.
    pub suspect_after: Duration,
    /// Time without progress of replication after which the primary is suspected.
    pub stall_after: Duration,
    /// Number of hosts that hold connections to the databases of one group.
    pub gateways_per_group: usize,
    /// Minimum silence of the control leader before an election.
    pub election_timeout: Duration,
    /// Time between heartbeats of the control leader.
    pub heartbeat_interval: Duration,
    /// Seed of the random numbers; differs at every start.
    pub seed: u64,
}

impl HostSettings {
    /// Number of this host.
    pub fn id(&self) -> HostId {
        self.record.id
    }

    /// True if this host is one of the initial control voters.
    pub fn is_voter(&self) -> bool {
        self.voters.contains(&self.id())
    }
}
