//! Links between hosts that find each other by seeds, and streams of lines.

mod frame_link;
mod line_stream;
mod socket_options;

pub use frame_link::{FrameReader, FrameWriter, LinkDialler, accept_link};
pub use line_stream::{LineStream, LineTooLong, MAX_LINE_BYTES};
pub use socket_options::{accept_each, bind_listener, host_address, prepare_socket};
