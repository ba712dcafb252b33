use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::Moment,
    control_state::GroupRecord,
    identity::{GroupName, HostId},
    leases::LeaseTable,
};

/// Time after which a suspicion that was not repeated expires.
const SUSPICION_LIFETIME: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Suspicion {
    term: u64,
    at: Moment,
}

/// Suspicions of primaries that hosts reported to the control leader.
#[derive(Debug, Default)]
pub struct SuspicionTable {
    suspicions: BTreeMap<(GroupName, HostId), Suspicion>,
}

impl SuspicionTable {
    /// Records that a host cannot reach the primary of `term`.
    pub fn record(&mut self, now: Moment, group: &GroupName, term: u64, host: HostId) {
        let suspicion = Suspicion { term, at: now };
        self.suspicions.insert((group.clone(), host), suspicion);
    }

    /// Drops expired suspicions; returns true if any remain.
    pub fn prune(&mut self, now: Moment) -> bool {
        self.suspicions.retain(|_, suspicion| now.since(suspicion.at) < SUSPICION_LIFETIME);
        !self.suspicions.is_empty()
    }

    /// True if a majority of the gateways with a live lease suspects the primary
    /// of the record's term. One host's broken network path is not enough.
    pub fn is_confirmed(&self, now: Moment, record: &GroupRecord, leases: &LeaseTable) -> bool {
        let live = record.gateways.iter().filter(|gateway| leases.has_live_lease(now, **gateway));
        let needed = live.clone().count() / 2 + 1;
        live.filter(|gateway| self.has_suspicion(now, record, **gateway)).count() >= needed
    }

    fn has_suspicion(&self, now: Moment, record: &GroupRecord, gateway: HostId) -> bool {
        let suspicion = self.suspicions.get(&(record.name.clone(), gateway));
        suspicion.is_some_and(|suspicion| {
            suspicion.term == record.term && now.since(suspicion.at) < SUSPICION_LIFETIME
        })
    }
}
