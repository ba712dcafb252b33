use std::{collections::VecDeque, time::Duration};

use crate::{clock::Moment, instances::InstanceRecord};

/// Time for which a changed record is kept: several intervals between the renewals that
/// entry hosts send to followers.
const RETENTION: Duration = Duration::from_secs(10);

/// Databases whose records changed lately.
#[derive(Debug, Default)]
pub(super) struct RecentChanges(VecDeque<(Moment, InstanceRecord)>);

impl RecentChanges {
    /// Adds changed records and drops those that are no longer kept.
    pub(super) fn record(&mut self, now: Moment, records: &[InstanceRecord]) {
        while self.0.front().is_some_and(|(at, _)| now.since(*at) > RETENTION) {
            self.0.pop_front();
        }
        self.0.extend(records.iter().map(|record| (now, record.clone())));
    }

    /// The records that changed in the last `period`, oldest first; `None` if some of
    /// them may not be kept any more.
    pub(super) fn within(&self, now: Moment, period: Duration) -> Option<Vec<InstanceRecord>> {
        let changed = self.0.iter().filter(|(at, _)| now.since(*at) <= period);
        (period <= RETENTION).then(|| changed.map(|(_, record)| record.clone()).collect())
    }
}
