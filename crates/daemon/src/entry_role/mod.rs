//! An entry host: accepts callers' sessions and runs their statements over pooled
//! connections to the databases.

mod caller_admission;
mod caller_reply;
mod caller_session;
mod control_links;
mod control_updates;
mod database_pool;
mod entry_host;
mod entry_settings;
mod entry_shared;
mod forward_task;
mod forwarded_reads;
mod idle_timer;
mod message_room;
mod pool_overload;
mod pool_target;
mod pool_waiters;
mod pooled_link;
mod primary_probe;
mod refused_keys;
mod refused_operation;
mod request_trace;
mod retry_decision;
mod run_limits;
mod session_access;
mod session_task;
mod statement_run;
mod transaction_run;
mod upstream_choice;
mod upstream_link;
mod usage_admission;
mod usage_gate;

pub use entry_host::EntryHost;
pub use entry_settings::EntrySettings;
