//! Logging to standard error, with the part of the daemon as the target of each line.

mod log_setup;

pub use log_setup::{LogHandle, start_logs};
