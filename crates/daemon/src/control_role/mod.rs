//! A control host: feeds the decisions of [`ControlHost`] and carries out
//! their effects.
//!
//! [`ControlHost`]: hawthornstack_decisions::control_role::ControlHost

mod control_service;
mod journal_thread;
mod peer_links;
mod status_pages;
mod status_question;

pub use control_service::{ControlHandle, ControlOptions, start_control};
