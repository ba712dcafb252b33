use std::time::Duration;

use crate::clock::Moment;

/// Weight of the newest answer time in the moving average.
const ANSWER_WEIGHT: f64 = 0.2;
/// Time for which a gateway that had no free connection is used only if no other
/// one is available.
const SATURATED_TIME: Duration = Duration::from_millis(100);
/// How much slower the preferred gateway must be before another one is used;
/// smaller differences are noise.
const SLOWER_FACTOR: f64 = 1.5;
/// Gateways that are compared; choosing between two balances the load nearly as
/// well as choosing among all.
const COMPARED_GATEWAYS: usize = 2;
/// Fraction by which the average answer time is lowered whenever the connection
/// pools are checked, so that a slow gateway is tried again.
const DECAY_FRACTION: f64 = 0.1;

/// Load of one gateway of a database, as measured by the host that uses it.
#[derive(Debug, Clone, Copy, Default)]
pub struct GatewayLoad {
    answer_ms: f64,
    saturated_until: Option<Moment>,
    avoided_until: Option<Moment>,
}

impl GatewayLoad {
    /// Records an answer that the gateway gave after `elapsed`.
    pub fn record_answer(&mut self, elapsed: Duration) {
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        self.answer_ms += ANSWER_WEIGHT * (elapsed_ms - self.answer_ms);
    }

    /// Records that the gateway had no connection free in time.
    pub fn record_no_connection(&mut self, now: Moment) {
        self.saturated_until = Some(now + SATURATED_TIME);
    }

    /// Skips the gateway until the given time, unless no other one is left.
    pub fn avoid_until(&mut self, until: Moment) {
        self.avoided_until = Some(until);
    }

    /// Lowers the average answer time, so that a slow gateway is tried again.
    pub fn decay(&mut self) {
        self.answer_ms *= 1.0 - DECAY_FRACTION;
    }

    fn is_avoided(&self, now: Moment) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    fn is_saturated(&self, now: Moment) -> bool {
        self.saturated_until.is_some_and(|until| now < until)
    }
}

/// Chooses the gateway for the next statement to a database; `gateways` is in this
/// host's order of preference.
///
/// Compares the first two that are reachable and had connections free, and takes
/// the first unless it is clearly slower. If there are none, takes the first
/// reachable one, or else the first of all. Returns `None` without gateways.
pub fn choose_gateway(gateways: &[GatewayLoad], now: Moment) -> Option<usize> {
    let reachable = || (0..gateways.len()).filter(|index| !gateways[*index].is_avoided(now));
    let unsaturated = reachable().filter(|index| !gateways[*index].is_saturated(now));
    let mut compared = unsaturated.take(COMPARED_GATEWAYS);
    let Some(first) = compared.next() else {
        return reachable().next().or((!gateways.is_empty()).then_some(0));
    };
    let faster = compared.find(|other| {
        gateways[first].answer_ms > SLOWER_FACTOR * gateways[*other].answer_ms.max(1.0)
    });
    Some(faster.unwrap_or(first))
}
