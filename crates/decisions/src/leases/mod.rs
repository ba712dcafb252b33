//! Leases that let a host serve requests, granted by control's leader.

mod held_lease;
mod lease_table;

pub use held_lease::HeldLease;
pub use lease_table::LeaseTable;
