use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use hawthornstack_decisions::control_role::LinkFrame;
use tokio::{
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::timeout,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::prepare_socket;

/// Largest frame, in bytes: a complete state with the largest configuration.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Timeout of the first attempt to connect to a host: twice the round trip
/// between regions. A host without power does not answer, and TCP itself would
/// retransmit the SYN only after a second.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Upper limit of the connect timeout: packets can be queued for about that long
/// on a saturated link.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that sent data may stay unacknowledged before the connection to a host counts
/// as dead; below twice the election timeout, so that no host waits for a new leader
/// on a dead connection.
const PEER_ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Receives frames from another host.
#[derive(Debug)]
pub struct FrameReader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
}

/// Sends frames to another host.
#[derive(Debug)]
pub struct FrameWriter {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
}

/// Opens links to one other host; doubles the connect timeout after each attempt
/// that gets no answer.
#[derive(Debug)]
pub struct LinkDialler {
    address: SocketAddr,
    connect_timeout: Duration,
}

impl LinkDialler {
    /// Opens no connection yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connect_timeout: FIRST_CONNECT_TIMEOUT }
    }

    /// Connects once, without a retry.
    ///
    /// # Errors
    /// The system's error; `TimedOut` if the host does not answer within the
    /// connect timeout.
    pub async fn open_link(&mut self) -> io::Result<(FrameReader, FrameWriter)> {
        match timeout(self.connect_timeout, TcpStream::connect(self.address)).await {
            Ok(connected) => {
                // A refusal also shows that the host answers in time.
                self.connect_timeout = FIRST_CONNECT_TIMEOUT;
                frame_connection(connected?)
            }
            Err(_) => {
                self.connect_timeout = MAX_CONNECT_TIMEOUT.min(self.connect_timeout * 2);
                Err(io::ErrorKind::TimedOut.into())
            }
        }
    }
}

/// Sets the socket options of a connection to another host and splits it into a
/// reader and a writer of frames.
///
/// # Errors
/// The system's error if a socket option is refused.
pub fn frame_connection(stream: TcpStream) -> io::Result<(FrameReader, FrameWriter)> {
    prepare_socket(&stream, PEER_ACK_TIMEOUT)?;
    let (read, write) = stream.into_split();
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Ok((
        FrameReader { frames: FramedRead::new(read, codec.clone()) },
        FrameWriter { frames: FramedWrite::new(write, codec) },
    ))
}

impl FrameReader {
    /// Reads the next frame; `None` if the other host closed the link. Cancel
    /// safe.
    ///
    /// # Errors
    /// The system's error; `InvalidData` for a frame that cannot be decoded.
    pub async fn next(&mut self) -> io::Result<Option<LinkFrame>> {
        match self.frames.next().await {
            None => Ok(None),
            Some(bytes) => ciborium::from_reader(&*bytes?)
                .map(Some)
                // The decoder's text is left out, as it may quote a key.
                .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "cannot decode a frame")),
        }
    }
}

impl FrameWriter {
    /// Sends a frame and all buffered ones before it.
    ///
    /// # Errors
    /// The system's error, or that the frame cannot be encoded.
    pub async fn send(&mut self, frame: &LinkFrame) -> io::Result<()> {
        self.feed(frame).await?;
        self.flush().await
    }

    /// Appends a frame to the write buffer; [`flush`](Self::flush) sends it. Returns
    /// the frame's size in bytes.
    ///
    /// # Errors
    /// The system's error, or that the frame cannot be encoded.
    pub async fn feed(&mut self, frame: &LinkFrame) -> io::Result<usize> {
        let mut bytes = Vec::new();
        ciborium::into_writer(frame, &mut bytes).map_err(io::Error::other)?;
        let size = bytes.len();
        self.frames.feed(Bytes::from(bytes)).await?;
        Ok(size)
    }

    /// Sends all buffered frames.
    ///
    /// # Errors
    /// The system's error.
    pub async fn flush(&mut self) -> io::Result<()> {
        SinkExt::<Bytes>::flush(&mut self.frames).await
    }
}
