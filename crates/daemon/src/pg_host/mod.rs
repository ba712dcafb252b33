//! The service that holds the host's decisions and carries out their effects.

mod host_message;
mod host_service;
mod request_handle;
mod status_page;

pub use host_message::{HostMessage, RequestSignal};
pub(crate) use host_service::voter_addresses;
pub use host_service::{HostArguments, HostService};
pub use request_handle::{RequestHandle, RequestNumbers};
