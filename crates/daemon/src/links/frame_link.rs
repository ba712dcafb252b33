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

/// Largest frame, in bytes: a whole state with the longest configuration.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Time for the first attempt to connect to a host: twice the round trip between
/// regions. A host without power does not answer, and TCP itself would ask it
/// again only after a second.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time for an attempt: packets may wait about that long on a link that
/// is full.
const LONGEST_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which a host is taken for gone; below the election timeout's
/// double, so that a new leader is not waited for on a dead connection.
const PEER_SILENCE: Duration = Duration::from_millis(1_500);

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

/// Connects to one other host again and again, with more time for each attempt
/// that gets no answer.
#[derive(Debug)]
pub struct LinkDialler {
    address: SocketAddr,
    connect_timeout: Duration,
}

impl LinkDialler {
    /// A dialler of the host at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connect_timeout: FIRST_CONNECT_TIMEOUT }
    }

    /// Connects.
    ///
    /// # Errors
    /// The system's error, `TimedOut` included.
    pub async fn open_link(&mut self) -> io::Result<(FrameReader, FrameWriter)> {
        match timeout(self.connect_timeout, TcpStream::connect(self.address)).await {
            Ok(connected) => {
                // Connected or refused, the host answers in time.
                self.connect_timeout = FIRST_CONNECT_TIMEOUT;
                accept_link(connected?)
            }
            Err(_) => {
                self.connect_timeout = LONGEST_CONNECT_TIMEOUT.min(self.connect_timeout * 2);
                Err(io::ErrorKind::TimedOut.into())
            }
        }
    }
}

/// Takes a connection that another host opened.
///
/// # Errors
/// The system's error.
pub fn accept_link(stream: TcpStream) -> io::Result<(FrameReader, FrameWriter)> {
    prepare_socket(&stream, PEER_SILENCE)?;
    let (read, write) = stream.into_split();
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Ok((
        FrameReader { frames: FramedRead::new(read, codec.clone()) },
        FrameWriter { frames: FramedWrite::new(write, codec) },
    ))
}

impl FrameReader {
    /// The next frame; `None` if the other end closed. Cancel safe.
    ///
    /// # Errors
    /// The system's error; a frame that cannot be read is invalid data.
    pub async fn next(&mut self) -> io::Result<Option<LinkFrame>> {
        match self.frames.next().await {
            None => Ok(None),
            Some(bytes) => ciborium::from_reader(&*bytes?)
                .map(Some)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string())),
        }
    }
}

impl FrameWriter {
    /// Sends a frame.
    ///
    /// # Errors
    /// The system's error.
    pub async fn send(&mut self, frame: &LinkFrame) -> io::Result<()> {
        self.feed(frame).await?;
        self.flush().await
    }

    /// Puts a frame in the buffer, to be sent with others.
    ///
    /// # Errors
    /// The system's error.
    pub async fn feed(&mut self, frame: &LinkFrame) -> io::Result<()> {
        let mut bytes = Vec::new();
        ciborium::into_writer(frame, &mut bytes).map_err(io::Error::other)?;
        self.frames.feed(Bytes::from(bytes)).await
    }

    /// Sends what is in the buffer.
    ///
    /// # Errors
    /// The system's error.
    pub async fn flush(&mut self) -> io::Result<()> {
        SinkExt::<Bytes>::flush(&mut self.frames).await
    }
}
