//! Runs a control host: passes events to [`ControlHost`] and executes the
//! effects that it returns.
//!
//! [`ControlHost`]: hawthornstack_decisions::control_role::ControlHost

mod control_service;
mod journal_thread;
mod peer_links;
mod promotion_calls;
mod status_page;
mod status_query;

pub use control_service::{ControlHandle, ControlOptions, start_control};
