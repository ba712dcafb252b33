use std::{collections::BTreeMap, time::Duration};

use super::ServiceTerm;
use crate::{
    clock::Moment,
    instances::{InstanceKey, InstanceRecord},
    positions::LogPosition,
};

/// Time between two requests for the positions of a service's databases.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time left for replicas to receive what the primary had: less than a planned change
/// waits for them.
const TARGET_LIFETIME: Duration = Duration::from_millis(1_000);
/// Time for which a replica that has caught up counts as such: two requests may be lost.
const CAUGHT_UP_LIFETIME: Duration = Duration::from_millis(750);

/// Finds out, while a primary serves, which replicas have received what it had a moment
/// ago.
#[derive(Debug)]
pub struct CatchUpProbe {
    began_at: Moment,
    primary: InstanceKey,
    lost: Vec<InstanceKey>,
    asked_at: Option<Moment>,
    /// Position that the primary reported, and when.
    target: Option<(Moment, LogPosition)>,
    caught_up: BTreeMap<InstanceKey, Moment>,
}

impl CatchUpProbe {
    /// Creates the probe of a term's primary, which begins now.
    pub fn new(now: Moment, term: &ServiceTerm) -> Self {
        let lost = term.lost_databases.iter().map(|holder| holder.key.clone()).collect();
        Self {
            began_at: now,
            primary: term.primary.clone(),
            lost,
            asked_at: None,
            target: None,
            caught_up: BTreeMap::new(),
        }
    }

    /// True if the probe is of this primary and began after all its databases were lost
    /// that are lost now.
    pub fn matches_term(&self, term: &ServiceTerm) -> bool {
        let lost = term.lost_databases.iter().map(|holder| &holder.key);
        self.primary == term.primary && lost.eq(self.lost.iter())
    }

    /// Returns the databases whose status is to be requested now.
    pub fn next_requests<'a>(
        &mut self,
        now: Moment,
        replicas: impl Iterator<Item = &'a InstanceRecord>,
    ) -> Vec<InstanceKey> {
        if self.asked_at.is_some_and(|at| now.since(at) < PROBE_INTERVAL) {
            return Vec::new();
        }
        self.asked_at = Some(now);
        replicas.map(|record| record.key.clone()).chain([self.primary.clone()]).collect()
    }

    /// Records the position that a database reported when it was asked at `asked_at`. What it had
    /// before the probe began does not tell what a database that was lost since may have held.
    pub fn record(
        &mut self,
        now: Moment,
        key: &InstanceKey,
        asked_at: Moment,
        received: LogPosition,
    ) {
        if asked_at < self.began_at {
            return;
        }
        if *key == self.primary {
            if self.target.is_none_or(|(at, _)| now.since(at) >= TARGET_LIFETIME) {
                self.target = Some((now, received));
            }
        } else if self.target.is_some_and(|(_, target)| received >= target) {
            self.caught_up.insert(key.clone(), now);
        }
    }

    /// True if the replica lately held what the primary had a second before.
    pub fn has_caught_up(&self, now: Moment, key: &InstanceKey) -> bool {
        self.caught_up.get(key).is_some_and(|at| now.since(*at) < CAUGHT_UP_LIFETIME)
    }
}
