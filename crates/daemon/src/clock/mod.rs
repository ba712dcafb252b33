//! The clock by which leases are timed.

mod boot_clock;

pub use boot_clock::BootClock;
