use hawthornstack_decisions::{identity::HostId, pg_host::PeerMessage};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// Largest frame accepted from another host, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Frame version that this build writes.
const FRAME_VERSION: u16 = 1;

/// Why a frame could not be decoded or encoded.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The frame is larger than `MAX_FRAME_BYTES`.
    #[snafu(display("the frame has {bytes} bytes; the limit is {MAX_FRAME_BYTES}"))]
    TooLarge {
        /// Length of the frame.
        bytes: usize,
    },
    /// The bytes are not a valid frame.
    #[snafu(display("cannot decode the frame: {source}"))]
    Unreadable {
        /// Error of the CBOR decoder.
        source: ciborium::de::Error<std::io::Error>,
    },
    /// The message cannot be encoded.
    #[snafu(display("cannot encode the frame: {source}"))]
    Unwritable {
        /// Error of the CBOR encoder.
        source: ciborium::ser::Error<std::io::Error>,
    },
}

/// One message between two hosts, encoded as CBOR. Decoding ignores unknown
/// fields, so that hosts can be upgraded one at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Frame version that the sender writes.
    pub version: u16,
    /// The sending host.
    pub from: HostId,
    /// The message.
    pub message: PeerMessage,
}

impl PeerFrame {
    /// Creates a frame of the version that this build writes.
    pub fn new(from: HostId, message: PeerMessage) -> Self {
        Self { version: FRAME_VERSION, from, message }
    }

    /// Encodes the frame as CBOR.
    ///
    /// # Errors
    /// `FrameError::Unwritable` if the encoder rejects the message.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).context(UnwritableSnafu)?;
        Ok(bytes)
    }

    /// Decodes a frame.
    ///
    /// # Errors
    /// `FrameError::TooLarge` for more than `MAX_FRAME_BYTES` bytes,
    /// `FrameError::Unreadable` if they are not a valid frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        ensure!(bytes.len() <= MAX_FRAME_BYTES, TooLargeSnafu { bytes: bytes.len() });
        ciborium::from_reader(bytes).context(UnreadableSnafu)
    }
}
