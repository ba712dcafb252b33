use std::time::Duration;

use crate::clock::Moment;

/// Weight of the newest answer in the moving average.
const ANSWER_WEIGHT: f64 = 0.2;
/// Time for which a home that had no connection free is asked last.
const CROWDED_TIME: Duration = Duration::from_millis(100);
/// How much slower the preferred home must be before another one is asked: a
/// difference of less is chance.
const SLOWER_FACTOR: f64 = 1.5;
/// Homes that are compared; two choices even the load out nearly as well as all.
const COMPARED_HOMES: usize = 2;
/// Part of the remembered time that is forgotten at each look after the pools,
/// so that a home that was slow is tried again.
const FORGOTTEN_PART: f64 = 0.1;

/// What a host measured of one gateway of a database.
#[derive(Debug, Clone, Copy, Default)]
pub struct GatewayLoad {
    answer_ms: f64,
    crowded_until: Option<Moment>,
    avoided_until: Option<Moment>,
}

impl GatewayLoad {
    /// Records an answer that the gateway gave after `took`.
    pub fn record_answer(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        self.answer_ms += ANSWER_WEIGHT * (took_ms - self.answer_ms);
    }

    /// Records that the gateway had no connection free in time.
    pub fn record_no_connection(&mut self, now: Moment) {
        self.crowded_until = Some(now + CROWDED_TIME);
    }

    /// Skips the gateway until then.
    pub fn avoid_until(&mut self, until: Moment) {
        self.avoided_until = Some(until);
    }

    /// Lowers the remembered answer time, so that a slow gateway is tried again.
    pub fn decay(&mut self) {
        self.answer_ms *= 1.0 - FORGOTTEN_PART;
    }

    fn is_avoided(&self, now: Moment) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    fn is_crowded(&self, now: Moment) -> bool {
        self.crowded_until.is_some_and(|until| now < until)
    }
}

/// Which of a database's gateways gets the next statement: of the first two in
/// this host's order that can be reached and had connections free, the first
/// unless it is clearly slower. With none like that, the first that can be
/// reached; `None` without gateways.
pub fn choose_gateway(homes: &[GatewayLoad], now: Moment) -> Option<usize> {
    let reachable = || (0..homes.len()).filter(|place| !homes[*place].is_avoided(now));
    let calm = reachable().filter(|place| !homes[*place].is_crowded(now));
    let mut compared = calm.take(COMPARED_HOMES);
    let Some(first) = compared.next() else {
        return reachable().next().or((!homes.is_empty()).then_some(0));
    };
    let faster = compared
        .find(|other| homes[first].answer_ms > SLOWER_FACTOR * homes[*other].answer_ms.max(1.0));
    Some(faster.unwrap_or(first))
}
