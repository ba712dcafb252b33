//! The clock that leases are counted on.

mod boot_clock;

pub use boot_clock::BootClock;
