use std::time::Duration;

use super::DatabaseStatus;
use crate::{clock::Moment, control_state::MemberRecord, positions::LogPosition};

/// Weight of the newest sample in the moving average of the service time.
const SERVICE_TIME_GAIN: f64 = 0.1;
/// Consecutive failures after which a database is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Time for which an ejected database gets no requests.
const EJECTION_TIME: Duration = Duration::from_secs(2);
/// Mean service time assumed before the first sample.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(2);

/// A database's report, with the times at which it was requested and received.
#[derive(Debug, Clone)]
pub struct ObservedStatus {
    /// The report.
    pub status: DatabaseStatus,
    /// When the report was requested.
    pub sent_at: Moment,
    /// When the report arrived.
    pub received_at: Moment,
}

/// What this host knows about one database of a group that it serves.
#[derive(Debug)]
pub struct DatabaseView {
    /// Its committed record.
    pub record: MemberRecord,
    /// Its last report.
    pub observed: Option<ObservedStatus>,
    /// Connections that this host may use at the same time.
    pub connection_share: u32,
    /// Connections in use.
    pub in_use: u32,
    /// Unanswered statements that were sent outside transactions.
    pub pending_statements: u32,
    /// Failures since the last success; enough of them eject the database.
    pub consecutive_failures: u32,
    ejected_until: Moment,
    service_time: Duration,
}

impl DatabaseView {
    /// The view of a database that has not reported yet.
    pub fn new(record: MemberRecord, share: u32) -> Self {
        Self {
            record,
            observed: None,
            connection_share: share,
            in_use: 0,
            pending_statements: 0,
            consecutive_failures: 0,
            ejected_until: Moment::ZERO,
            service_time: INITIAL_SERVICE_TIME,
        }
    }

    /// True if the database held the entry at `position` at its last report.
    pub fn covers(&self, position: LogPosition) -> bool {
        self.observed.as_ref().is_some_and(|observed| observed.status.covers(position))
    }

    /// True if a connection is free and the database is not ejected. For single
    /// statements a slot must be free as well, so that excess statements wait on
    /// this host, where callers take turns, and not in the database.
    pub fn is_available(&self, now: Moment, transaction: bool) -> bool {
        let has_slot = transaction || self.pending_statements < self.record.slots;
        self.in_use < self.connection_share && has_slot && !self.is_ejected(now)
    }

    /// True if less than half of its slots are in use by this host.
    pub fn is_lightly_loaded(&self) -> bool {
        self.pending_statements * 2 < self.record.slots
    }

    /// True if the database gets no requests because of consecutive failures.
    pub fn is_ejected(&self, now: Moment) -> bool {
        now < self.ejected_until
    }

    /// Moving average of the time from sending a request to its answer.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Expected time to serve one more request, in microseconds.
    pub fn expected_completion_us(&self) -> u64 {
        let slots = u64::from(self.record.slots.max(1));
        let service = self.service_time.as_micros() as u64;
        service + service * u64::from(self.in_use) / slots
    }

    /// Records a request that was answered after `elapsed`.
    pub fn record_success(&mut self, elapsed: Duration) {
        self.consecutive_failures = 0;
        let mean = self.service_time.as_secs_f64();
        let next = mean + SERVICE_TIME_GAIN * (elapsed.as_secs_f64() - mean);
        self.service_time = Duration::from_secs_f64(next);
    }

    /// Records a failure to connect, to answer or to report.
    pub fn record_failure(&mut self, now: Moment) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= EJECTION_FAILURES {
            self.ejected_until = now + EJECTION_TIME;
        }
    }

    /// Records a report of the database, which ends an ejection.
    pub fn record_report(&mut self, observed: ObservedStatus) {
        self.consecutive_failures = 0;
        self.ejected_until = Moment::ZERO;
        self.observed = Some(observed);
    }
}
