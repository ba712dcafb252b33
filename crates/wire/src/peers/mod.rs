//! Messages between hosts.

mod peer_frame;

pub use peer_frame::{FrameError, MAX_FRAME_BYTES, PeerFrame};
