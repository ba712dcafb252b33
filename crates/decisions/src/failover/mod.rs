//! Change of primary: who is suspected, who is fenced, who is promoted.

mod database_order;
mod primary_change;
mod suspicion_table;

pub use database_order::DatabaseOrder;
pub use primary_change::{ChangeStep, PrimaryChange};
pub use suspicion_table::SuspicionTable;
