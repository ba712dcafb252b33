use std::time::Duration;

use super::DatabaseStatus;
use crate::{clock::Moment, control_state::MemberRecord, positions::LogPosition};

/// Weight of the newest sample in the mean service time.
const SERVICE_TIME_GAIN: f64 = 0.1;
/// Failures in a row after which a database gets no work for a while.
const EJECTION_FAILURES: u32 = 3;
/// How long an ejected database gets no work.
const EJECTION_TIME: Duration = Duration::from_secs(2);
/// Mean service time assumed before the first sample.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(2);

/// A database's report and when it was asked for and received.
#[derive(Debug, Clone)]
pub struct ObservedStatus {
    /// The report.
    pub status: DatabaseStatus,
    /// When the question was sent.
    pub sent_at: Moment,
    /// When the answer arrived.
    pub received_at: Moment,
}

/// What this host knows of one database of a group it serves.
#[derive(Debug)]
pub struct DatabaseView {
    /// Its committed record.
    pub record: MemberRecord,
    /// Its last report.
    pub observed: Option<ObservedStatus>,
    /// Connections that this host may use at a time.
    pub connection_share: u32,
    /// Connections in use.
    pub in_use: u32,
    /// Statements sent outside transactions and not answered yet.
    pub pending_statements: u32,
    /// Failures since the last success; enough of them eject the database.
    pub consecutive_failures: u32,
    ejected_until: Moment,
    service_time: Duration,
}

impl DatabaseView {
    /// A database of which nothing was heard yet.
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

    /// True if the database's last report covers `mark`.
    pub fn covers(&self, mark: LogPosition) -> bool {
        self.observed.as_ref().is_some_and(|o| o.status.covers(mark))
    }

    /// True if a connection is free and the database is not ejected. Single
    /// statements are held back beyond its slots, so that they wait here, where
    /// they take turns, and not in the database.
    pub fn is_available(&self, now: Moment, transaction: bool) -> bool {
        let has_slot = transaction || self.pending_statements < self.record.slots;
        self.in_use < self.connection_share && has_slot && !self.is_ejected(now)
    }

    /// True if less than half of its slots are in use by this host.
    pub fn is_lightly_loaded(&self) -> bool {
        self.pending_statements * 2 < self.record.slots
    }

    /// True if the database gets no work because it kept failing.
    pub fn is_ejected(&self, now: Moment) -> bool {
        now < self.ejected_until
    }

    /// Mean time from sending a request to its answer.
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

    /// Ends an ejection, when the database reports again.
    pub fn record_report(&mut self, observed: ObservedStatus) {
        self.consecutive_failures = 0;
        self.ejected_until = Moment::ZERO;
        self.observed = Some(observed);
    }
}
