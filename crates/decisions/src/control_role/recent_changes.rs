use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{clock::Moment, instances::InstanceRecord};

/// Time for which a change is kept: several intervals between the renewals that entry
/// hosts send to followers.
const RETENTION: Duration = Duration::from_secs(10);

/// Ids of the databases whose records changed lately.
#[derive(Debug, Default)]
pub(super) struct RecentChanges(VecDeque<(Moment, Arc<str>)>);

impl RecentChanges {
    /// Adds changed records and drops changes that are no longer kept.
    pub(super) fn record(&mut self, now: Moment, records: &[InstanceRecord]) {
        while self.0.front().is_some_and(|(at, _)| now.since(*at) > RETENTION) {
            self.0.pop_front();
        }
        self.0.extend(records.iter().map(|record| (now, record.key.id.clone())));
    }

    /// The databases that changed since `earlier`; `None` if some of them may not be kept
    /// any more.
    pub(super) fn since(&self, now: Moment, earlier: Moment) -> Option<BTreeSet<Arc<str>>> {
        let changed = self.0.iter().filter(|(at, _)| *at >= earlier);
        (now.since(earlier) <= RETENTION).then(|| changed.map(|(_, id)| id.clone()).collect())
    }
}
