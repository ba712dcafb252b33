//! State and decisions of an entry host: routes, leases, positions for reads, the
//! choice of a database, and the state of sessions and shared connections.

mod caller_access;
mod connection_choice;
mod connection_state;
mod connection_table;
mod early_refusal;
mod entry_view;
mod gateway_attempts;
mod gateway_load;
mod gateway_map;
mod handshake_time;
mod inflight_window;
mod instance_load;
mod largest_workspaces;
mod open_pauses;
mod pool_priorities;
mod queue_order;
mod queue_turns;
mod read_target;
mod response_trend;
mod sampled_positions;
mod session_state;
mod state_confirmations;
mod workspace_work;

pub use caller_access::{CallerAccess, KeyTable};
pub use connection_choice::{
    ConnectionChoice, LAST_CONNECTION_KEPT, MAX_PASSED_OVER, ReleaseChoice, WaitingStatement,
};
pub use connection_state::{ConnectionState, RestoreStep};
pub use connection_table::{ConnectionTable, IdleConnection};
pub use early_refusal::{QueueForecast, forecast_wait, is_behind_backlog};
pub use entry_view::{EntryView, PathInputs, PrimaryAvailability};
pub use gateway_attempts::{BusyGatewayStep, GatewayAttempts};
pub use gateway_load::{GatewayLoad, choose_gateway};
pub use gateway_map::{DataCentreHosts, DatabasePath, GatewayMap};
pub use handshake_time::HandshakeTime;
pub use inflight_window::InflightWindow;
pub use instance_load::{InstanceLoad, LoadTable};
pub use largest_workspaces::{LargestWorkspaces, NO_WORKSPACE, OTHER_WORKSPACES};
pub use open_pauses::OpenPauses;
pub use pool_priorities::{PoolPriorities, may_end_idle};
pub use queue_order::{QueuedStatement, next_in_queue};
pub use queue_turns::{QueueTurns, RankedStatement};
pub use read_target::{ReadRequirement, ReadTarget};
pub use response_trend::ResponseTrend;
pub use sampled_positions::SampledPositions;
pub use session_state::{PreparedStatement, SessionState, TransactionPhase};
pub use state_confirmations::StateConfirmations;
pub use workspace_work::WorkspaceWork;
