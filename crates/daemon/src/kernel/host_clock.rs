use hawthornstack_decisions::clock::Moment;
use tokio::time::Instant;

/// The host's monotonic clock, shared by all services.
#[derive(Debug, Clone, Copy)]
pub struct HostClock {
    started_at: Instant,
}

impl HostClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { started_at: Instant::now() }
    }

    /// Time since the clock was started, with microsecond resolution.
    pub fn now(&self) -> Moment {
        Moment::from_micros(self.started_at.elapsed().as_micros() as u64)
    }

    /// Converts a reading of this clock to an instant of the runtime.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.started_at + std::time::Duration::from_micros(moment.as_micros())
    }
}
