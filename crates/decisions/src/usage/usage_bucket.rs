use std::time::Duration;

use super::{UsageBounds, usage_window::GrantHistory};
use crate::{clock::Moment, routes::UsageCap};

/// Fraction of a token that rounding may lose.
const ROUNDING: f64 = 1e-6;

/// A token bucket for a cap, up to its burst.
///
/// A cap allows its rate and once its burst within any window, so that the burst refills
/// within a window, too: a workspace that never rests gets what the window allows. What
/// was granted within a window is counted besides, since a full burst followed by this
/// refill would exceed the window. A bucket without a history of one window refills at the
/// rate only, as an earlier leader may have granted the burst.
#[derive(Debug, Clone)]
pub struct UsageBucket {
    cap: UsageCap,
    bounds: UsageBounds,
    tokens: f64,
    filled_at: Moment,
    created_at: Moment,
    history: GrantHistory,
}

impl UsageBucket {
    /// A bucket that holds the bounds' start tokens, or its capacity if that is less.
    pub fn new(now: Moment, cap: UsageCap, bounds: UsageBounds) -> Self {
        let tokens = f64::from(bounds.start_tokens).min(capacity_of(cap));
        let history = GrantHistory::default();
        Self { cap, bounds, tokens, filled_at: now, created_at: now, history }
    }

    /// Applies another cap from now on; drops tokens above its burst.
    pub fn set_cap(&mut self, now: Moment, cap: UsageCap) {
        self.refill(now);
        self.cap = cap;
        self.tokens = self.tokens.min(capacity_of(cap));
    }

    /// Takes up to `wanted` whole tokens and returns their number.
    pub fn take(&mut self, now: Moment, wanted: u32) -> u32 {
        self.refill(now);
        let left = self.left_in_window(now);
        let taken = wanted.min((self.tokens + ROUNDING) as u32).min(left);
        self.tokens = (self.tokens - f64::from(taken)).max(0.0);
        if taken > 0 && self.bounds.window.is_some() {
            self.history.record(now, taken);
        }
        taken
    }

    /// Time until the bucket holds a whole token; `None` if it never will.
    pub fn next_token(&mut self, now: Moment) -> Option<Duration> {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        match self.cap.per_second() > 0.0 {
            true => Duration::try_from_secs_f64(missing / self.cap.per_second()).ok(),
            false => None,
        }
    }

    fn left_in_window(&mut self, now: Moment) -> u32 {
        let Some(limit) = self.bounds.window else {
            return u32::MAX;
        };
        let granted = self.history.granted(now, limit.window + self.bounds.lifetime);
        limit.tokens(self.cap).saturating_sub(granted)
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        let earned = elapsed * self.cap.per_second() + self.burst_earned(now);
        self.tokens = (self.tokens + earned).min(capacity_of(self.cap));
        self.filled_at = self.filled_at.max(now);
    }

    /// Part of the burst that refills by itself since the last refill.
    fn burst_earned(&self, now: Moment) -> f64 {
        let Some(limit) = self.bounds.window.filter(|_| self.cap.per_second() > 0.0) else {
            return 0.0;
        };
        let starts_at = self.created_at + limit.window + self.bounds.lifetime;
        let elapsed = now.since(self.filled_at.max(starts_at)).as_secs_f64();
        elapsed * self.cap.burst() / limit.window.as_secs_f64()
    }
}

/// At least one token, without which a rate with a burst of 0 would admit nothing; none
/// for a rate of 0.
fn capacity_of(cap: UsageCap) -> f64 {
    match cap.per_second() > 0.0 {
        true => cap.burst().max(1.0),
        false => 0.0,
    }
}
