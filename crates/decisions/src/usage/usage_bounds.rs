use std::time::Duration;

use super::WindowLimit;

/// Longest time for which a granted token is valid.
const MAX_LIFETIME: Duration = Duration::from_millis(500);
/// Start tokens without stated bounds: the first operation of a workspace is not refused
/// for a bucket that was just created.
const DEFAULT_START_TOKENS: u32 = 1;
/// A new leader grants at most this part of the slack before its buckets refill; the
/// rest is left for a second change of leader and for hosts without one.
const START_DIVISOR: u32 = 2;

/// Limits on how far the operations of a workspace may exceed its cap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageBounds {
    /// Time for which a token is valid after its request was sent.
    pub lifetime: Duration,
    /// Tokens that a bucket without a history holds, if its capacity allows them.
    pub start_tokens: u32,
    /// Limit for each window; without it a cap's rate and burst are all that may run.
    pub window: Option<WindowLimit>,
}

impl Default for UsageBounds {
    fn default() -> Self {
        Self { lifetime: MAX_LIFETIME, start_tokens: DEFAULT_START_TOKENS, window: None }
    }
}

impl UsageBounds {
    /// Bounds for caps that may be exceeded, within each `window`, by the part
    /// `excess` and by `slack` operations. Tokens that are used late add at most one
    /// lifetime to a window. `excess` must be neither negative nor NaN.
    pub fn new(window: Duration, excess: f64, slack: u32) -> Self {
        let allowed = Duration::try_from_secs_f64(window.as_secs_f64() * excess);
        let lifetime = allowed.unwrap_or(MAX_LIFETIME).min(MAX_LIFETIME);
        let excess_milli = (excess * 1_000.0) as u32;
        let window = (!window.is_zero()).then_some(WindowLimit { window, excess_milli, slack });
        Self { lifetime, start_tokens: slack / START_DIVISOR, window }
    }
}
