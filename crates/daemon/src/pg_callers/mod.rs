//! Serves callers: the PostgreSQL protocol, sessions and transactions.

mod answer_writer;
mod caller_error;
mod caller_listener;
mod caller_session;
mod caller_state;
mod caller_stream;
mod cancel_registry;
mod extended_batch;
mod forward_runner;
mod forward_state;
mod forward_store;
mod keyed_request;
mod request_runner;
mod transaction;

pub use caller_error::CallerError;
pub use caller_listener::{CallerContext, CallerListener, KeyedGroups};
pub use cancel_registry::CancelRegistry;
pub use forward_store::ForwardStore;
