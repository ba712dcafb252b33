use std::time::Duration;

/// Assumed time to open a connection before one was measured.
const INITIAL_HANDSHAKE: Duration = Duration::from_millis(12);
/// Upper limit of the smoothed time. A stalled database must not make statements of
/// other workspaces wait longer than several usual handshakes.
const MAX_HANDSHAKE: Duration = Duration::from_millis(50);
/// Part of the smoothed time that a new measurement replaces, as a divisor.
const SMOOTHING_DIVISOR: u32 = 8;

/// Smoothed time to open a connection to a database.
#[derive(Debug, Clone, Copy)]
pub struct HandshakeTime(Duration);

impl Default for HandshakeTime {
    fn default() -> Self {
        Self(INITIAL_HANDSHAKE)
    }
}

impl HandshakeTime {
    /// Records that a connection was opened within `took`.
    pub fn record(&mut self, took: Duration) {
        let kept = self.0 * (SMOOTHING_DIVISOR - 1) / SMOOTHING_DIVISOR;
        self.0 = (kept + took.min(MAX_HANDSHAKE) / SMOOTHING_DIVISOR).min(MAX_HANDSHAKE);
    }

    /// The time that the next one probably takes.
    pub fn expected(self) -> Duration {
        self.0
    }
}
