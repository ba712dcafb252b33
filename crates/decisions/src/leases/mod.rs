//! Leases that let a host serve requests, granted by the control leader.

mod held_lead;
mod held_lease;
mod lease_table;

pub use held_lead::HeldLead;
pub use held_lease::HeldLease;
pub use lease_table::LeaseTable;
