//! Framed links between the hosts of a platform, line streams to callers and
//! databases, connections that send while a lead lasts, and socket options.

mod frame_link;
mod line_stream;
mod permitted_stream;
mod socket_options;

pub use frame_link::{FrameReader, FrameWriter, LinkDialler, frame_connection};
pub use line_stream::{LineStream, LineTooLong, MAX_LINE_BYTES};
pub use permitted_stream::PermittedStream;
pub use socket_options::{accept_connections, bind_listener, host_address, prepare_socket};
