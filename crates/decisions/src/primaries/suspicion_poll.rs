use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{clock::Moment, identity::HostId};

/// Time for which a host's report on a primary is valid: twice the time that a
/// host takes to probe it.
const REPORT_LIFETIME: Duration = Duration::from_millis(2_000);
/// Shortest time between two polls of all hosts about one primary.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Reports of hosts on whether they can reach one primary.
#[derive(Debug, Default)]
pub struct SuspicionPoll {
    reports: BTreeMap<HostId, (Moment, bool)>,
    polled_at: Option<Moment>,
}

impl SuspicionPoll {
    /// Records whether a host can reach the primary.
    pub fn record(&mut self, now: Moment, host: HostId, reachable: bool) {
        self.reports.insert(host, (now, reachable));
    }

    /// Starts a poll of all hosts if a host suspects the primary and the poll
    /// interval has passed; true if it starts one.
    pub fn start_poll_if_due(&mut self, now: Moment) -> bool {
        let due = self.polled_at.is_none_or(|at| now.since(at) >= POLL_INTERVAL);
        if due && self.suspecting_hosts(now).next().is_some() {
            self.polled_at = Some(now);
            return true;
        }
        false
    }

    /// True if more than half of the serving hosts cannot reach the primary.
    pub fn is_confirmed(&self, now: Moment, serving: &BTreeSet<HostId>) -> bool {
        let suspecting_count =
            self.suspecting_hosts(now).filter(|host| serving.contains(host)).count();
        suspecting_count > 0 && suspecting_count * 2 > serving.len()
    }

    fn suspecting_hosts(&self, now: Moment) -> impl Iterator<Item = HostId> + '_ {
        self.reports
            .iter()
            .filter(move |(_, (at, reachable))| !reachable && now.since(*at) < REPORT_LIFETIME)
            .map(|(host, _)| *host)
    }
}
