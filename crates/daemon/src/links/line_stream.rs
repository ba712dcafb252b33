use std::{future::pending, io, time::Duration};

use bytes::{Bytes, BytesMut};
use snafu::Snafu;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Longest line, in bytes without its CR LF: the protocol's limit for one message.
pub const MAX_LINE_BYTES: usize = 1024 * 1024;
/// Smallest buffer space for one read, in bytes: most messages fit.
const READ_BYTES: usize = 2 * 1024;

/// A line exceeds [`MAX_LINE_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a line is longer than {MAX_LINE_BYTES} bytes"))]
pub struct LineTooLong;

impl LineTooLong {
    /// True if this is the cause of an error of a [`LineStream`].
    pub fn caused(error: &io::Error) -> bool {
        error.get_ref().is_some_and(|cause| cause.is::<Self>())
    }
}

impl From<LineTooLong> for io::Error {
    fn from(error: LineTooLong) -> Self {
        Self::new(io::ErrorKind::InvalidData, error)
    }
}

/// A connection whose messages are lines that end with CR LF. A CR or LF alone is part of
/// the line.
#[derive(Debug)]
pub struct LineStream {
    stream: TcpStream,
    buffer: BytesMut,
    /// Bytes of `buffer` in which no line ends.
    scanned: usize,
}

impl LineStream {
    /// Wraps a connection from which nothing has been read.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: BytesMut::new(), scanned: 0 }
    }

    /// Reads the next line, without its line ending; `None` if the peer closed the
    /// connection. A line that the close left incomplete is dropped. Cancel safe.
    ///
    /// # Errors
    /// The system's error; [`LineTooLong`] as `InvalidData`, also for each further call.
    pub async fn next_line(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(line) = self.take_buffered_line()? {
                return Ok(Some(line));
            }
            self.buffer.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Removes the next complete line from the buffer, if there is one; does not
    /// read from the connection.
    ///
    /// # Errors
    /// [`LineTooLong`], also for each further call: the rest of a line that is too long
    /// must not pass for lines of its own.
    pub fn take_buffered_line(&mut self) -> Result<Option<Bytes>, LineTooLong> {
        while let Some(offset) = self.buffer[self.scanned..].iter().position(|b| *b == b'\n') {
            let end = self.scanned + offset;
            if self.buffer[..end].ends_with(b"\r") {
                if end - 1 > MAX_LINE_BYTES {
                    return Err(LineTooLong);
                }
                self.scanned = 0;
                let mut line = self.buffer.split_to(end + 1).freeze();
                line.truncate(end - 1);
                return Ok(Some(line));
            }
            self.scanned = end + 1;
        }
        self.scanned = self.buffer.len();
        // The last byte may be the CR that ends the line.
        if self.buffer.len() > MAX_LINE_BYTES + 1 {
            return Err(LineTooLong);
        }
        Ok(None)
    }

    /// Sends all of `bytes`, which must bring their line endings.
    ///
    /// # Errors
    /// The system's error.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends the sending side and reads until the peer has closed the connection; what it
    /// still sends is dropped.
    ///
    /// # Errors
    /// The system's error.
    pub async fn close(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        self.scanned = 0;
        loop {
            self.buffer.clear();
            self.buffer.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(());
            }
        }
    }

    /// Makes the connection end with a reset, by which what is still on its way is lost.
    pub fn reset_on_close(&self) {
        // An error means that the connection has ended already.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Waits until the peer has closed or reset the connection; without end if it has sent
    /// data that was not read. Cancel safe.
    pub async fn closed(&self) {
        if matches!(self.stream.peek(&mut [0]).await, Ok(unread) if unread > 0) {
            pending::<()>().await;
        }
    }

    /// True if no data has arrived and the peer has not closed the connection: only
    /// then may a pooled connection be used again. May consume a byte if false.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        self.buffer.is_empty()
            && matches!(
                self.stream.try_read(&mut byte),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock
            )
    }

    /// Frees the buffer if it is empty and has grown for a long message.
    pub fn shrink(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > 8 * READ_BYTES {
            self.buffer = BytesMut::new();
        }
    }
}
