//! Change of primary: who is suspected, who is fenced, who is promoted.

mod change_of_primary;
mod database_order;
mod suspicion_table;

pub use change_of_primary::{ChangeOfPrimary, ChangeStep};
pub use database_order::DatabaseOrder;
pub use suspicion_table::SuspicionTable;
