//! State and decisions of an entry host: routes, leases, positions for reads, the
//! choice of a database, and the state of sessions and shared connections.

mod caller_access;
mod connection_state;
mod entry_view;
mod gateway_load;
mod gateway_map;
mod inflight_window;
mod instance_load;
mod queue_order;
mod sampled_positions;
mod session_state;
mod state_confirmations;

pub use caller_access::{CallerAccess, KeyTable};
pub use connection_state::{ConnectionState, RestoreStep};
pub use entry_view::{EntryView, PathInputs, PrimaryAvailability, ReadRequirement, ReadTarget};
pub use gateway_load::{GatewayLoad, choose_gateway};
pub use gateway_map::{DataCentreHosts, DatabasePath, GatewayMap};
pub use inflight_window::InflightWindow;
pub use instance_load::{InstanceLoad, LoadTable};
pub use queue_order::{QueuedStatement, next_in_queue};
pub use sampled_positions::SampledPositions;
pub use session_state::{PreparedStatement, SessionState, TransactionPhase};
pub use state_confirmations::StateConfirmations;
