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

/// What a host saw of one home of a database.
#[derive(Debug, Clone, Copy, Default)]
pub struct HomeLoad {
    answer_ms: f64,
    crowded_until: Option<Moment>,
    avoided_until: Option<Moment>,
}

impl HomeLoad {
    /// The home answered after `took`.
    pub fn answered(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        self.answer_ms += ANSWER_WEIGHT * (took_ms - self.answer_ms);
    }

    /// The home had no connection free in time.
    pub fn was_crowded(&mut self, now: Moment) {
        self.crowded_until = Some(now + CROWDED_TIME);
    }

    /// Passes over the home until then.
    pub fn avoid(&mut self, until: Moment) {
        self.avoided_until = Some(until);
    }

    /// Forgets a little of what it remembers.
    pub fn fade(&mut self) {
        self.answer_ms *= 1.0 - FORGOTTEN_PART;
    }

    fn is_avoided(&self, now: Moment) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    fn is_crowded(&self, now: Moment) -> bool {
        self.crowded_until.is_some_and(|until| now < until)
    }
}

/// Which of a database's homes gets the next statement: of the first two in this
/// host's order that can be reached and had connections free, the first unless
/// it is clearly slower. With none like that, the first that can be reached;
/// `None` without homes.
pub fn choose_home(homes: &[HomeLoad], now: Moment) -> Option<usize> {
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
