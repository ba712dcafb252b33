use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::Moment,
    control_state::GroupRecord,
    identity::{GroupName, HostId},
    leases::LeaseTable,
};

/// How long a host's suspicion counts.
const SUSPICION_LIFETIME: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Suspicion {
    term: u64,
    at: Moment,
}

/// Which hosts suspect which primaries, as their leader hears it.
#[derive(Debug, Default)]
pub struct SuspicionTable {
    suspicions: BTreeMap<(GroupName, HostId), Suspicion>,
}

impl SuspicionTable {
    /// Notes that a host cannot reach the primary of `term`.
    pub fn record(&mut self, now: Moment, group: &GroupName, term: u64, host: HostId) {
        let suspicion = Suspicion { term, at: now };
        self.suspicions.insert((group.clone(), host), suspicion);
    }

    /// Drops what no longer counts; true if anything is left.
    pub fn prune(&mut self, now: Moment) -> bool {
        self.suspicions.retain(|_, suspicion| now.since(suspicion.at) < SUSPICION_LIFETIME);
        !self.suspicions.is_empty()
    }

    /// True if a majority of the group's live gateways suspects the primary of
    /// the record's term, so that one host's broken path is not enough.
    pub fn is_confirmed(&self, now: Moment, record: &GroupRecord, leases: &LeaseTable) -> bool {
        let live = record.gateways.iter().filter(|home| leases.has_live_lease(now, **home));
        let needed = live.clone().count() / 2 + 1;
        live.filter(|home| self.suspects(now, record, **home)).count() >= needed
    }

    fn suspects(&self, now: Moment, record: &GroupRecord, home: HostId) -> bool {
        let suspicion = self.suspicions.get(&(record.name.clone(), home));
        suspicion.is_some_and(|suspicion| {
            suspicion.term == record.term && now.since(suspicion.at) < SUSPICION_LIFETIME
        })
    }
}
