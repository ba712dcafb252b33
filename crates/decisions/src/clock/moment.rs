use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point on one host's monotonic clock, in microseconds since its start.
///
/// Moments of different hosts are not comparable.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Moment(u64);

impl Moment {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Builds a moment from microseconds since the start of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Builds a moment from milliseconds since the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs.as_micros() as u64))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs.as_micros() as u64))
    }
}
