//! The hawthornstack daemon: services that feed events to the state machines of
//! the decisions crate and execute their effects.
//!
//! Two deployments are built from it: `hawthornstackd`, one daemon that does
//! everything in front of PostgreSQL databases, and `hawthornstack-platform`,
//! hosts of two roles (control and entry) that find each other by seeds. Each
//! module serves one of them or both:
//!
//! - `clock`: both
//! - `control_role`: `hawthornstack-platform`
//! - `edges`: `hawthornstack-platform`
//! - `entry_role`: `hawthornstack-platform`
//! - `journal`: both
//! - `kernel`: `hawthornstackd`; both use its `KernelError`
//! - `links`: `hawthornstack-platform`
//! - `logs`: `hawthornstackd`
//! - `metrics`: both
//! - `pg_callers`: `hawthornstackd`
//! - `pg_host`: `hawthornstackd`
//! - `pg_operators`: `hawthornstackd`
//! - `pg_peers`: `hawthornstackd`
//! - `pg_upstreams`: `hawthornstackd`
//! - `settings`: `hawthornstackd`

pub mod clock;
pub mod control_role;
pub mod edges;
pub mod entry_role;
pub mod journal;
pub mod kernel;
pub mod links;
pub mod logs;
pub mod metrics;
pub mod pg_callers;
pub mod pg_host;
pub mod pg_operators;
pub mod pg_peers;
pub mod pg_upstreams;
pub mod settings;
