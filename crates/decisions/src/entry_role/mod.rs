//! What an entry host knows and decides: routes, leases, marks for reads, the
//! choice of a database, and the state of sessions and shared connections.

mod connection_state;
mod entry_view;
mod home_load;
mod inflight_window;
mod instance_load;
mod queue_order;
mod read_marks;
mod session_state;

pub use connection_state::{ConnectionState, RestoreStep};
pub use entry_view::{DatabasePath, EntryView, PrimaryUse, ReadNeed, ReadTarget};
pub use home_load::{HomeLoad, choose_home};
pub use inflight_window::InflightWindow;
pub use instance_load::{InstanceLoad, LoadTable};
pub use queue_order::{QueuedStatement, next_in_queue};
pub use read_marks::ReadMarks;
pub use session_state::{PreparedShape, SessionState, TransactionPhase};
