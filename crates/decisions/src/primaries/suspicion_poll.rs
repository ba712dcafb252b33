use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{clock::Moment, identity::HostId};

/// Time for which a host's word on a primary counts: twice the time a host
/// takes to probe it.
const OPINION_LIFETIME: Duration = Duration::from_millis(2_000);
/// Time between two questions to all hosts about one primary.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// What hosts say of one primary.
#[derive(Debug, Default)]
pub struct SuspicionPoll {
    opinions: BTreeMap<HostId, (Moment, bool)>,
    polled_at: Option<Moment>,
}

impl SuspicionPoll {
    /// Notes whether a host can reach the primary.
    pub fn record(&mut self, now: Moment, host: HostId, reachable: bool) {
        self.opinions.insert(host, (now, reachable));
    }

    /// True if the other hosts should be asked; notes that they are.
    pub fn should_ask(&mut self, now: Moment) -> bool {
        let due = self.polled_at.is_none_or(|at| now.since(at) >= POLL_INTERVAL);
        if due && self.suspecting(now).next().is_some() {
            self.polled_at = Some(now);
            return true;
        }
        false
    }

    /// True if more than half of the hosts that serve cannot reach it.
    pub fn is_confirmed(&self, now: Moment, serving: &BTreeSet<HostId>) -> bool {
        let suspecting = self.suspecting(now).filter(|host| serving.contains(host)).count();
        suspecting > 0 && suspecting * 2 > serving.len()
    }

    fn suspecting(&self, now: Moment) -> impl Iterator<Item = HostId> + '_ {
        self.opinions
            .iter()
            .filter(move |(_, (at, reachable))| !reachable && now.since(*at) < OPINION_LIFETIME)
            .map(|(host, _)| *host)
    }
}
