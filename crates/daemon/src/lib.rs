//! The hawthornstack daemon: services that feed events to the decisions and
//! carry out their effects.

pub mod callers;
pub mod clock;
pub mod control;
pub mod edges;
pub mod entry;
pub mod host;
pub mod journal;
pub mod kernel;
pub mod links;
pub mod logs;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod settings;
pub mod upstreams;
