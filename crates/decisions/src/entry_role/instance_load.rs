use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Moment, instances::InstanceKey, positions::LogPosition};

/// Weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;
/// Latency assumed before the first answer, in milliseconds: lower than that of almost
/// all databases, so that a replica that was never read gets a first read. Lower averages
/// count as this one, since the scheduling of tasks decides there.
const INITIAL_LATENCY_MS: f64 = 0.1;
/// Time for which a database is avoided after the first failure to reach it;
/// doubled with each further failure.
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(200);
/// Longest time for which an unreachable database is avoided.
const MAX_AVOIDANCE: Duration = Duration::from_secs(2);
/// Time for which a replica that lacked a position gets no read that needs this
/// position or a newer one.
const LAG_AVOIDANCE: Duration = Duration::from_millis(250);

/// Weight of the newest result in the moving average of the failure share.
const FAILURE_WEIGHT: f64 = 0.15;
/// Half-life of the failure share, so that a database that was avoided for its
/// failures gradually gets work again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Cost factor of a database that fails every statement. It is not excluded, since
/// it may be the only one that can serve.
const FAILURE_COST_FACTOR: f64 = 10.0;

/// Load and health of one database, as observed by this host.
#[derive(Debug, Clone)]
pub struct InstanceLoad {
    /// Statements of this host that are in flight.
    pub outstanding: u32,
    latency_ms: f64,
    consecutive_failures: u32,
    /// Moving average of the share of failed statements, and when it was updated.
    failure_average: (f64, Moment),
    avoid_until: Moment,
    /// Oldest position that it lacked, and when this observation expires.
    missing: Option<(LogPosition, Moment)>,
    /// Newest position seen in its answers.
    pub position: Option<LogPosition>,
    /// Order of its last use among all uses of databases by this host.
    pub last_use: u64,
}

impl Default for InstanceLoad {
    fn default() -> Self {
        Self {
            outstanding: 0,
            latency_ms: INITIAL_LATENCY_MS,
            consecutive_failures: 0,
            failure_average: (0.0, Moment::ZERO),
            avoid_until: Moment::ZERO,
            missing: None,
            position: None,
            last_use: 0,
        }
    }
}

impl InstanceLoad {
    /// True unless it is avoided because it was unreachable.
    pub fn is_usable(&self, now: Moment) -> bool {
        now >= self.avoid_until
    }

    /// True if an answer showed that it holds the position, or if it probably does.
    /// `likely_replicated` says that replicas without lag hold the position.
    pub fn may_hold(&self, now: Moment, position: LogPosition, likely_replicated: bool) -> bool {
        let holds = self.position.is_some_and(|held| held >= position);
        let known_missing =
            self.missing.is_some_and(|(lacked, until)| now < until && position >= lacked);
        holds || likely_replicated && !known_missing
    }

    /// Moving average of the time to an answer.
    pub fn usual_latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency_ms.max(0.0) / 1_000.0)
    }

    /// Relative cost of one more statement, in milliseconds; use it only to compare
    /// databases.
    pub fn expected_ms(&self, now: Moment) -> f64 {
        let failure_factor = 1.0 + (FAILURE_COST_FACTOR - 1.0) * self.failure_share(now);
        self.latency_ms.max(INITIAL_LATENCY_MS) * f64::from(self.outstanding + 1) * failure_factor
    }

    /// Recent share of failed statements as a fraction; decays over time.
    pub fn failure_share(&self, now: Moment) -> f64 {
        let (share, at) = self.failure_average;
        let half_lives = now.since(at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        share * 0.5f64.powf(half_lives)
    }
}

/// Load and health of all databases, as observed by this host.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: BTreeMap<InstanceKey, InstanceLoad>,
    uses: u64,
}

impl LoadTable {
    /// The load of a database; the default if nothing was recorded.
    pub fn get(&self, key: &InstanceKey) -> InstanceLoad {
        self.loads.get(key).cloned().unwrap_or_default()
    }

    /// Records that a statement was sent.
    pub fn record_start(&mut self, key: &InstanceKey) {
        self.uses += 1;
        let load = self.loads.entry(key.clone()).or_default();
        load.outstanding += 1;
        load.last_use = self.uses;
    }

    /// Records that a statement ended; `latency` is set if it was answered.
    pub fn record_finish(&mut self, key: &InstanceKey, latency: Option<Duration>) {
        let load = self.loads.entry(key.clone()).or_default();
        load.outstanding = load.outstanding.saturating_sub(1);
        if let Some(latency) = latency {
            let latency_ms = latency.as_secs_f64() * 1_000.0;
            load.latency_ms += LATENCY_WEIGHT * (latency_ms - load.latency_ms);
            load.consecutive_failures = 0;
            load.avoid_until = Moment::ZERO;
        }
    }

    /// Records whether a statement failed at the database.
    pub fn record_result(&mut self, now: Moment, key: &InstanceKey, failed: bool) {
        let load = self.loads.entry(key.clone()).or_default();
        let before = load.failure_share(now);
        let outcome = f64::from(u8::from(failed));
        load.failure_average = (before + FAILURE_WEIGHT * (outcome - before), now);
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
        let doubled = INITIAL_AVOIDANCE * 2u32.pow(load.consecutive_failures.min(4));
        load.consecutive_failures += 1;
        load.avoid_until = now + doubled.min(MAX_AVOIDANCE);
    }

    /// Records that the database lacked a position. Reads that accept an older one
    /// may still go there.
    pub fn record_lag(&mut self, now: Moment, key: &InstanceKey, position: LogPosition) {
        let load = self.loads.entry(key.clone()).or_default();
        let lacked = load.missing.filter(|(_, until)| now < *until).map(|(lacked, _)| lacked);
        let oldest = lacked.map_or(position, |lacked| lacked.min(position));
        load.missing = Some((oldest, now + LAG_AVOIDANCE));
    }

    /// Drops databases that `keep` rejects, unless statements are in flight there.
    pub fn retain(&mut self, keep: impl Fn(&InstanceKey) -> bool) {
        self.loads.retain(|key, load| load.outstanding > 0 || keep(key));
    }
}
