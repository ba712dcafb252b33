use std::io;

use bytes::{Bytes, BytesMut};
use snafu::Snafu;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Longest line, in bytes; the protocol's bound for a message.
pub const MAX_LINE_BYTES: usize = 1024 * 1024;
/// Room that one read has at least, in bytes: most messages fit.
const READ_BYTES: usize = 2 * 1024;

/// A line exceeds [`MAX_LINE_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a line is longer than {MAX_LINE_BYTES} bytes"))]
pub struct LineTooLong;

/// A connection that carries lines.
#[derive(Debug)]
pub struct LineStream {
    stream: TcpStream,
    buffer: BytesMut,
    scanned: usize,
}

impl LineStream {
    /// Reads lines from a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: BytesMut::new(), scanned: 0 }
    }

    /// The next line without its end; `None` if the other end closed.
    /// A line that was cut off by the close is dropped. Cancel safe.
    ///
    /// # Errors
    /// The system's error; [`LineTooLong`] as invalid data.
    pub async fn next_line(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(line) = self.take_line() {
                return Ok(Some(line));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(io::Error::new(io::ErrorKind::InvalidData, LineTooLong));
            }
            self.buffer.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// A line that has arrived already.
    pub fn take_line(&mut self) -> Option<Bytes> {
        let found = self.buffer[self.scanned..].iter().position(|byte| *byte == b'\n');
        let Some(offset) = found else {
            self.scanned = self.buffer.len();
            return None;
        };
        let end = self.scanned + offset;
        self.scanned = 0;
        let mut line = self.buffer.split_to(end + 1).freeze();
        line.truncate(end);
        if line.ends_with(b"\r") {
            line.truncate(end - 1);
        }
        Some(line)
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// The system's error.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// True if nothing arrived and the other end has not closed: only then may
    /// an idle connection be used again.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        self.buffer.is_empty()
            && matches!(
                self.stream.try_read(&mut byte),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock
            )
    }

    /// Gives back memory that a long message took.
    pub fn shrink(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > 8 * READ_BYTES {
            self.buffer = BytesMut::new();
        }
    }
}
