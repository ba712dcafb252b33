use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Moment, instances::InstanceKey, positions::LogPosition};

/// Weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;
/// Latency assumed before the first answer, in milliseconds.
const FIRST_LATENCY_MS: f64 = 10.0;
/// Time for which a database that could not be reached is avoided, doubled
/// with each further failure.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(200);
/// Longest time for which a database is avoided without a new attempt.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(2);
/// Time for which a replica that lacked a position gets no further read that
/// needs this one or a newer one.
const LAG_AVOIDANCE: Duration = Duration::from_millis(250);

/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Time in which half of the share of failures is forgotten, so that a database
/// that was avoided for them slowly gets work again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// How many times dearer a database is that fails all it runs. It stays a last
/// resort: it may be the only one that can serve.
const FAILURE_COST: f64 = 10.0;

/// What this host saw of one database.
#[derive(Debug, Clone)]
pub struct InstanceLoad {
    /// Statements of this host that are under way.
    pub outstanding: u32,
    latency_ms: f64,
    failures: u32,
    /// Share of what ran that failed, and when it was worked out.
    failing: (f64, Moment),
    avoid_until: Moment,
    /// Oldest position that it lacked, and until when that counts.
    lacking: Option<(LogPosition, Moment)>,
    /// Newest position seen in its answers.
    pub position: Option<LogPosition>,
}

impl Default for InstanceLoad {
    fn default() -> Self {
        Self {
            outstanding: 0,
            latency_ms: FIRST_LATENCY_MS,
            failures: 0,
            failing: (0.0, Moment::ZERO),
            avoid_until: Moment::ZERO,
            lacking: None,
            position: None,
        }
    }
}

impl InstanceLoad {
    /// True if it may be tried now.
    pub fn is_usable(&self, now: Moment) -> bool {
        now >= self.avoid_until
    }

    /// True if it has shown the position, or probably has it.
    pub fn may_hold(&self, now: Moment, position: LogPosition, is_settled: bool) -> bool {
        let holds = self.position.is_some_and(|held| held >= position);
        let lacks = self.lacking.is_some_and(|(lacked, until)| now < until && position >= lacked);
        holds || is_settled && !lacks
    }

    /// Usual time to an answer.
    pub fn usual_latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency_ms.max(0.0) / 1_000.0)
    }

    /// Expected time to a result, for comparison only, in milliseconds.
    pub fn expected_ms(&self, now: Moment) -> f64 {
        let failures = 1.0 + (FAILURE_COST - 1.0) * self.failure_share(now);
        self.latency_ms * f64::from(self.outstanding + 1) * failures
    }

    /// Share of what ran here that failed, by what is remembered of it.
    pub fn failure_share(&self, now: Moment) -> f64 {
        let (share, at) = self.failing;
        let half_lives = now.since(at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        share * 0.5f64.powf(half_lives)
    }
}

/// What this host saw of all databases.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: BTreeMap<InstanceKey, InstanceLoad>,
}

impl LoadTable {
    /// The load of a database.
    pub fn get(&self, key: &InstanceKey) -> InstanceLoad {
        self.loads.get(key).cloned().unwrap_or_default()
    }

    /// Records that a statement was sent.
    pub fn record_start(&mut self, key: &InstanceKey) {
        self.loads.entry(key.clone()).or_default().outstanding += 1;
    }

    /// Records that a statement ended; `latency` is set if it was answered.
    pub fn record_finish(&mut self, key: &InstanceKey, latency: Option<Duration>) {
        let load = self.loads.entry(key.clone()).or_default();
        load.outstanding = load.outstanding.saturating_sub(1);
        if let Some(latency) = latency {
            let latency_ms = latency.as_secs_f64() * 1_000.0;
            load.latency_ms += LATENCY_WEIGHT * (latency_ms - load.latency_ms);
            load.failures = 0;
            load.avoid_until = Moment::ZERO;
        }
    }

    /// Records whether the database ran a statement to its end or failed it.
    pub fn record_result(&mut self, now: Moment, key: &InstanceKey, failed: bool) {
        let load = self.loads.entry(key.clone()).or_default();
        let before = load.failure_share(now);
        let outcome = f64::from(u8::from(failed));
        load.failing = (before + FAILURE_WEIGHT * (outcome - before), now);
    }

    /// Records a position that came with an answer.
    pub fn record_position(&mut self, key: &InstanceKey, position: LogPosition) {
        let load = self.loads.entry(key.clone()).or_default();
        if load.position.is_none_or(|held| held < position) {
            load.position = Some(position);
        }
    }

    /// Records that the database could not be reached or closed the connection.
    pub fn record_unreachable(&mut self, now: Moment, key: &InstanceKey) {
        let load = self.loads.entry(key.clone()).or_default();
        let doubled = FIRST_AVOIDANCE * 2u32.pow(load.failures.min(4));
        load.failures += 1;
        load.avoid_until = now + doubled.min(LONGEST_AVOIDANCE);
    }

    /// Records that the database lacked a position. Reads that accept an older one still go
    /// there.
    pub fn record_lag(&mut self, now: Moment, key: &InstanceKey, position: LogPosition) {
        let load = self.loads.entry(key.clone()).or_default();
        let lacked = load.lacking.filter(|(_, until)| now < *until).map(|(lacked, _)| lacked);
        let oldest = lacked.map_or(position, |lacked| lacked.min(position));
        load.lacking = Some((oldest, now + LAG_AVOIDANCE));
    }

    /// Drops databases that are not in use.
    pub fn retain(&mut self, keep: impl Fn(&InstanceKey) -> bool) {
        self.loads.retain(|key, load| load.outstanding > 0 || keep(key));
    }
}
