use hawthornstack_decisions::clock::Moment;
use rustix::time::{ClockId, clock_gettime};

/// Clock of the time since the host booted, which includes the time while it is
/// suspended. Leases need it: the wall clock may jump, and the monotonic clock
/// stops during a suspension.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// Time since boot, to the microsecond.
    pub fn now(self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        Moment::from_micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
    }
}
