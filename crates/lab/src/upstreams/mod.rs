//! Stand-in upstreams: simulated PostgreSQL databases that replicate
//! asynchronously within a group.

mod announcer;
mod database_core;
mod fault_switch;
mod pg_session;
mod pg_values;
mod port_pool;
mod sql_engine;
mod sql_text;
mod stand_in_database;
mod stand_in_group;

pub use announcer::announce_forever;
pub use database_core::{DatabaseCore, LogRecord};
pub use fault_switch::{Fault, FaultSwitch};
pub use port_pool::free_address;
pub use sql_engine::{EngineError, EngineRows, LoggedStatement, SqlEngine};
pub use stand_in_database::{DatabaseCounters, ReceivedOrder, StandInDatabase, StandInSettings};
pub use stand_in_group::StandInGroup;
