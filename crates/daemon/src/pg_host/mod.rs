//! The service that runs the host's state machine and executes its effects.

mod host_message;
mod host_service;
mod request_handle;
mod status_response;

pub use host_message::{HostMessage, RequestSignal};
pub(crate) use host_service::voter_addresses;
pub use host_service::{HostArguments, HostService};
pub use request_handle::{RequestHandle, RequestNumbers};
