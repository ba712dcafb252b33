//! Failover of a group: suspicion of its primary, fencing of the old term and
//! promotion of a successor.

mod database_order;
mod primary_change;
mod suspicion_table;

pub use database_order::DatabaseOrder;
pub use primary_change::{ChangeStep, PrimaryChange};
pub use suspicion_table::SuspicionTable;
