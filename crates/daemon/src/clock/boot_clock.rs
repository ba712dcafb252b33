use hawthornstack_decisions::clock::Moment;
use rustix::time::{ClockId, clock_gettime};

/// Time since the machine booted, which goes on while the machine is
/// suspended. The time of day may jump and the steady clock stands still
/// during a suspension, so neither can carry a lease.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// The present moment.
    pub fn now(self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        Moment::from_micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
    }
}
