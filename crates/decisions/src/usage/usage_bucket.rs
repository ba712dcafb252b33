use std::time::Duration;

use crate::{clock::Moment, routes::UsageCap};

/// Fraction of a token that rounding may lose.
const ROUNDING: f64 = 1e-6;

/// A token bucket that refills at the rate of a cap, up to its burst.
#[derive(Debug, Clone)]
pub struct UsageBucket {
    per_second: f64,
    capacity: f64,
    tokens: f64,
    filled_at: Moment,
}

impl UsageBucket {
    /// A bucket that holds `start_tokens`, or the burst if that is less.
    pub fn new(now: Moment, cap: UsageCap, start_tokens: u32) -> Self {
        let capacity = capacity_of(cap);
        let tokens = cap.burst().min(f64::from(start_tokens)).min(capacity);
        Self { per_second: cap.per_second(), capacity, tokens, filled_at: now }
    }

    /// Applies another cap from now on; drops tokens above its burst.
    pub fn set_cap(&mut self, now: Moment, cap: UsageCap) {
        self.refill(now);
        self.per_second = cap.per_second();
        self.capacity = capacity_of(cap);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Takes up to `wanted` whole tokens and returns their number.
    pub fn take(&mut self, now: Moment, wanted: u32) -> u32 {
        self.refill(now);
        let taken = wanted.min((self.tokens + ROUNDING) as u32);
        self.tokens = (self.tokens - f64::from(taken)).max(0.0);
        taken
    }

    /// Time until the bucket holds a whole token; `None` if it never will.
    pub fn next_token(&mut self, now: Moment) -> Option<Duration> {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        match self.per_second > 0.0 {
            true => Duration::try_from_secs_f64(missing / self.per_second).ok(),
            false => None,
        }
    }

    fn refill(&mut self, now: Moment) {
        let earned = now.since(self.filled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(self.capacity);
        self.filled_at = self.filled_at.max(now);
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
