//! Every decision of hawthornstack as pure state machines.
//!
//! Nothing in this crate reads a clock, a socket, a file or a global random
//! number. Time, messages and seeds come in as arguments and effects go out as
//! values, so that the daemon, property tests and simulated clocks drive the
//! same code.
//!
//! Two deployments are built from it: `hawthornstackd`, one daemon that does
//! everything in front of PostgreSQL databases, and `hawthornstack-platform`,
//! hosts of two roles (control and entry) that find each other by seeds. Each
//! module serves one of them or both:
//!
//! - `agreement`: both
//! - `clock`: both
//! - `control_role`: `hawthornstack-platform`
//! - `control_state`: both
//! - `directory`: `hawthornstackd`
//! - `entry_role`: `hawthornstack-platform`
//! - `failover`: `hawthornstackd`
//! - `identity`: both
//! - `instances`: `hawthornstack-platform`
//! - `leases`: both
//! - `outcomes`: both
//! - `pg_host`: `hawthornstackd`
//! - `positions`: both
//! - `primaries`: `hawthornstack-platform`
//! - `requests`: `hawthornstackd`
//! - `routes`: `hawthornstack-platform`
//! - `routing`: `hawthornstackd`
//! - `sessions`: `hawthornstackd`; both rank hosts by `rank_hosts`
//! - `statements`: `hawthornstackd`

pub mod agreement;
pub mod clock;
pub mod control_role;
pub mod control_state;
pub mod directory;
pub mod entry_role;
pub mod failover;
pub mod identity;
pub mod instances;
pub mod leases;
pub mod outcomes;
pub mod pg_host;
pub mod positions;
pub mod primaries;
pub mod requests;
pub mod routes;
pub mod routing;
pub mod sessions;
pub mod statements;
