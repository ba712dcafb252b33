//! Decision logic of hawthornstack, written as pure state machines.
//!
//! This crate reads no clock, socket or file, and no global random number
//! generator. Time, messages and seeds are passed in as arguments and effects
//! are returned as values, so that the daemon, property tests and simulated
//! clocks run the same code.
//!
//! Two deployments use it: `hawthornstackd`, a single daemon in front of
//! PostgreSQL databases, and `hawthornstack-platform`, hosts of two roles
//! (control and entry) that discover each other through seed addresses. Each
//! module is used by one deployment or by both:
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
//! - `packing`: `hawthornstack-platform`
//! - `pg_host`: `hawthornstackd`
//! - `positions`: both
//! - `primaries`: `hawthornstack-platform`
//! - `requests`: `hawthornstackd`
//! - `routes`: `hawthornstack-platform`
//! - `routing`: `hawthornstackd`
//! - `sessions`: `hawthornstackd`, except `rank_hosts`, which both use
//! - `statements`: `hawthornstackd`
//! - `usage`: `hawthornstack-platform`

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
pub mod packing;
pub mod pg_host;
pub mod positions;
pub mod primaries;
pub mod requests;
pub mod routes;
pub mod routing;
pub mod send_pace;
pub mod sessions;
pub mod statements;
pub mod usage;
