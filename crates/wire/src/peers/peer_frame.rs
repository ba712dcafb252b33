use hawthornstack_decisions::{identity::HostId, pg_host::PeerMessage};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// Largest frame accepted from another host, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Version of the frames that this build writes.
const FRAME_VERSION: u16 = 1;

/// Why a frame was refused.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The frame is larger than allowed.
    #[snafu(display("the frame has {bytes} bytes; at most {MAX_FRAME_BYTES} are accepted"))]
    TooLarge {
        /// Length found.
        bytes: usize,
    },
    /// The bytes are not a frame.
    #[snafu(display("the frame cannot be read: {source}"))]
    Unreadable {
        /// What the codec found.
        source: ciborium::de::Error<std::io::Error>,
    },
    /// The value cannot be written.
    #[snafu(display("the frame cannot be written: {source}"))]
    Unwritable {
        /// What the codec found.
        source: ciborium::ser::Error<std::io::Error>,
    },
}

/// One message between two hosts, as CBOR. Unknown fields are tolerated, so
/// that hosts can be upgraded one at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Version of the sender's frames.
    pub version: u16,
    /// The sender.
    pub from: HostId,
    /// The message.
    pub message: PeerMessage,
}

impl PeerFrame {
    /// A frame of this build's version.
    pub fn new(from: HostId, message: PeerMessage) -> Self {
        Self { version: FRAME_VERSION, from, message }
    }

    /// Writes the frame as CBOR.
    ///
    /// # Errors
    /// `FrameError::Unwritable` if the codec refuses the value.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).context(UnwritableSnafu)?;
        Ok(bytes)
    }

    /// Reads a frame.
    ///
    /// # Errors
    /// `FrameError` if the bytes are too many or not a frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        ensure!(bytes.len() <= MAX_FRAME_BYTES, TooLargeSnafu { bytes: bytes.len() });
        ciborium::from_reader(bytes).context(UnreadableSnafu)
    }
}
