use std::time::Duration;

use super::RankedStatement;
use crate::clock::Moment;

/// Percentage of the time left that the expected wait must exceed: a refusal costs the
/// caller a retry, while the estimate may be wrong by a third.
const MARGIN_PERCENT: u32 = 150;
/// The jitter of the retry-after time is less than its time divided by this number.
const JITTER_DIVISOR: u64 = 4;
/// Number of steps of the jitter.
const JITTER_STEPS: u64 = 1_000;

/// Whether a statement can get a place before its connect deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueForecast {
    /// It may wait.
    Wait,
    /// It cannot: the caller should try again after this time.
    Refuse {
        /// Time to drain what is ahead, with jitter of up to a quarter.
        retry_after: Duration,
    },
}

/// Forecasts whether a statement gets one of `window` places within `time_left`, beside
/// the other ones that wait, in order of arrival. A place is taken for about
/// `response_time`. `spread` is any number that differs between statements.
///
/// A statement that can no longer meet its objective does not wait beside a backlog of
/// statements that can: they all go first.
pub fn forecast_wait(
    others: impl Iterator<Item = RankedStatement> + Clone,
    ranked: &RankedStatement,
    now: Moment,
    window: usize,
    response_time: Duration,
    time_left: Duration,
    spread: u64,
) -> QueueForecast {
    let is_hopeless = is_behind_backlog(others.clone(), ranked, now);
    let ahead = count_ahead(others, ranked, now);
    let drain = response_time * ahead / window.max(1) as u32;
    if !is_hopeless && drain * 100 <= time_left * MARGIN_PERCENT {
        return QueueForecast::Wait;
    }
    let drain_us = drain.as_micros() as u64;
    let jitter_us = drain_us / JITTER_DIVISOR * (spread % JITTER_STEPS) / JITTER_STEPS;
    QueueForecast::Refuse { retry_after: drain + Duration::from_micros(jitter_us) }
}

/// True if the statement can no longer meet its objective while others wait that can, the
/// oldest of which has used half of its own.
pub fn is_behind_backlog(
    others: impl Iterator<Item = RankedStatement>,
    ranked: &RankedStatement,
    now: Moment,
) -> bool {
    let is_late = !ranked.statement.can_meet_objective(now, Duration::ZERO);
    is_late
        && others.map(|other| other.statement).any(|other| {
            other.priority <= ranked.statement.priority
                && other.can_meet_objective(now, Duration::ZERO)
                && now.since(other.arrived) * 2 > other.objective
        })
}

/// Statements of the same or a higher priority that go first, by an estimate of the order
/// of `next_in_queue` that takes all objectives for equally long. Less urgent ones never
/// count, nor those of workspaces with more recent work, which wait for the others.
fn count_ahead(
    others: impl Iterator<Item = RankedStatement> + Clone,
    ranked: &RankedStatement,
    now: Moment,
) -> u32 {
    let statement = &ranked.statement;
    let is_in_time =
        |other: &RankedStatement| other.statement.can_meet_objective(now, Duration::ZERO);
    let peers = || others.clone().filter(|other| other.statement.priority == statement.priority);
    let waits_in_time = is_in_time(ranked);
    let oldest = peers().filter(is_in_time).map(|other| other.statement.arrived).min();
    let has_backlog = oldest.is_some_and(|at| now.since(at) * 2 > statement.objective);
    let goes_first = |other: &RankedStatement| match (is_in_time(other), waits_in_time) {
        (true, false) => true,
        (false, true) => false,
        (true, true) if other.recent_work != ranked.recent_work => {
            other.recent_work < ranked.recent_work
        }
        (true, true) if !has_backlog => other.statement.arrived <= statement.arrived,
        // Of a backlog, and of late statements, the newest goes first.
        _ => other.statement.arrived > statement.arrived,
    };
    let urgent = others
        .clone()
        .filter(|other| other.statement.priority < statement.priority)
        .filter(|other| is_in_time(other) || !waits_in_time);
    (urgent.count() + peers().filter(goes_first).count()) as u32
}
