//! Every decision of hawthornstack as pure state machines.
//!
//! Nothing in this crate reads a clock, a socket, a file or a global random
//! number. Time, messages and seeds come in as arguments and effects go out as
//! values, so that the daemon, property tests and simulated clocks drive the
//! same code.

pub mod agreement;
pub mod clock;
pub mod control;
pub mod control_host;
pub mod directory;
pub mod entry;
pub mod failover;
pub mod host;
pub mod identity;
pub mod instances;
pub mod leases;
pub mod outcomes;
pub mod positions;
pub mod primaries;
pub mod requests;
pub mod routes;
pub mod routing;
pub mod sessions;
pub mod statements;
