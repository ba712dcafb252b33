use hawthornstack_decisions::clock::Moment;
use tokio::time::Instant;

/// The host's monotonic clock, shared by all services.
#[derive(Debug, Clone, Copy)]
pub struct HostClock {
    started_at: Instant,
}

impl HostClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { started_at: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Moment {
        Moment::from_micros(self.started_at.elapsed().as_micros() as u64)
    }

    /// The same moment on the runtime's clock.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.started_at + std::time::Duration::from_micros(moment.as_micros())
    }
}
