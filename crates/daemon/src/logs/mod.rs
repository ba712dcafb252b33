//! Logs: short sentences, one prefix for each part.

mod log_setup;

pub use log_setup::{LogHandle, start_logs};
