use std::{collections::VecDeque, time::Duration};

use crate::{clock::Moment, routes::UsageCap};

/// Length of the intervals in which granted tokens are counted.
const INTERVAL: Duration = Duration::from_millis(250);
/// Unit of the excess.
const THOUSANDTHS: f64 = 1_000.0;

/// Operations that may run within any window, beyond what a token bucket bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowLimit {
    /// Length of the window.
    pub window: Duration,
    /// Part by which a window may exceed the cap, in thousandths.
    pub excess_milli: u32,
    /// Operations by which a window may exceed that.
    pub slack: u32,
}

impl WindowLimit {
    /// Tokens that may be granted within a window and the lifetime of tokens, so that
    /// those used late stay within the limit. Half of the slack is left for a change of
    /// leader.
    pub fn tokens(&self, cap: UsageCap) -> u32 {
        let owed = cap.per_second() * self.window.as_secs_f64() + cap.burst();
        let allowed = owed * (1.0 + f64::from(self.excess_milli) / THOUSANDTHS);
        (allowed + f64::from(self.slack / 2)) as u32
    }
}

/// Tokens granted lately, counted by interval.
#[derive(Debug, Clone, Default)]
pub struct GrantHistory {
    /// Start of each interval and the tokens granted in it, the oldest first.
    intervals: VecDeque<(Moment, u32)>,
    total: u32,
}

impl GrantHistory {
    /// Tokens granted within `period` before now, or up to one interval longer.
    pub fn granted(&mut self, now: Moment, period: Duration) -> u32 {
        while let Some((started, tokens)) = self.intervals.front().copied()
            && now.since(started) >= period + INTERVAL
        {
            self.total -= tokens;
            self.intervals.pop_front();
        }
        self.total
    }

    /// Records granted tokens.
    pub fn record(&mut self, now: Moment, tokens: u32) {
        self.total += tokens;
        match self.intervals.back_mut().filter(|(started, _)| now.since(*started) < INTERVAL) {
            Some((_, granted)) => *granted += tokens,
            None => self.intervals.push_back((now, tokens)),
        }
    }
}
