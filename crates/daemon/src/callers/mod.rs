//! Callers: the PostgreSQL protocol, sessions and transactions.

mod answer_writer;
mod caller_error;
mod caller_listener;
mod caller_session;
mod caller_state;
mod caller_stream;
mod cancel_registry;
mod extended_batch;
mod request_runner;
mod transaction;

pub use caller_error::CallerError;
pub use caller_listener::{CallerContext, CallerListener};
pub use cancel_registry::CancelRegistry;
