//! Connections to upstream databases, polling of their reports, and orders sent to them.

mod connection_store;
mod database_monitor;
mod upstream_connection;
mod upstream_error;
mod upstreams_service;

pub use connection_store::ConnectionStore;
pub(crate) use upstream_connection::{FORWARD_PARAMETER, encode_frontend, encode_query};
pub use upstream_connection::{ReplySegment, UpstreamConnection};
pub use upstream_error::UpstreamError;
pub use upstreams_service::{UpstreamsArguments, UpstreamsMessage, UpstreamsService};
