use bytes::BytesMut;
use pgwire::messages::{DecodeContext, PgWireFrontendMessage, ProtocolVersion};
use snafu::ResultExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::{
    CallerError,
    caller_error::{BrokenSnafu, ClosedSnafu, ProtocolSnafu, TooLargeSnafu},
};

/// Largest message accepted from a caller, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Largest start-up packet accepted, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Time for a caller to close the connection after the last message to it.
const CLOSE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);
/// Space reserved for one read, in bytes.
const READ_CHUNK_BYTES: usize = 2_048;
/// Write buffers larger than this, in bytes, are freed once they are sent.
const MAX_KEPT_BUFFER_BYTES: usize = 4_096;

/// A caller's connection: reads messages, writes encoded bytes. Holds no buffer
/// while the caller is idle.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    read_buffer: BytesMut,
    context: DecodeContext,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        Self { stream, read_buffer: BytesMut::new(), context }
    }

    /// Expects the start-up packet: TLS negotiation is over.
    pub(super) fn expect_startup(&mut self) {
        self.context.awaiting_frontend_ssl = false;
    }

    /// Expects ordinary messages: the start-up is complete.
    pub(super) fn expect_messages(&mut self) {
        self.context.awaiting_frontend_ssl = false;
        self.context.awaiting_frontend_startup = false;
    }

    /// Reads the next message. Cancel safe: bytes that were read stay buffered.
    ///
    /// # Errors
    /// `CallerError` if the connection is closed or the caller violates the
    /// protocol.
    pub(super) async fn read_message(&mut self) -> Result<PgWireFrontendMessage, CallerError> {
        loop {
            self.check_length()?;
            let decoded = PgWireFrontendMessage::decode(&mut self.read_buffer, &self.context);
            match decoded {
                Ok(Some(message)) => {
                    self.release_buffer();
                    return Ok(message);
                }
                Ok(None) => self.fill_read_buffer().await?,
                Err(error) => return ProtocolSnafu { text: error.to_string() }.fail(),
            }
        }
    }

    /// Checks the stated length of the next message before the message is
    /// buffered.
    fn check_length(&self) -> Result<(), CallerError> {
        let in_startup = self.context.awaiting_frontend_startup;
        let (offset, limit) = match in_startup {
            true => (0, MAX_STARTUP_BYTES),
            false => (1, MAX_MESSAGE_BYTES),
        };
        let Some(length) = self.read_buffer.get(offset..offset + 4) else {
            return Ok(());
        };
        let bytes = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
        if bytes > limit {
            return TooLargeSnafu { bytes, limit }.fail();
        }
        if bytes < 4 {
            return ProtocolSnafu { text: "a message is shorter than its length field" }.fail();
        }
        Ok(())
    }

    fn release_buffer(&mut self) {
        if self.read_buffer.is_empty() {
            self.read_buffer = BytesMut::new();
        }
    }

    async fn fill_read_buffer(&mut self) -> Result<(), CallerError> {
        if self.read_buffer.is_empty() {
            // Waits before allocating, so that an idle caller holds no buffer.
            self.stream.readable().await.context(BrokenSnafu)?;
        }
        self.read_buffer.reserve(READ_CHUNK_BYTES);
        match self.stream.read_buf(&mut self.read_buffer).await.context(BrokenSnafu)? {
            0 => ClosedSnafu.fail(),
            _ => Ok(()),
        }
    }

    /// Waits until the caller closes the connection. Never returns once the
    /// caller has sent more bytes, which stay unread.
    pub(super) async fn wait_for_close(&self) -> bool {
        let mut probe = [0; 1];
        loop {
            if self.stream.readable().await.is_err() {
                return true;
            }
            match self.stream.peek(&mut probe).await {
                Ok(0) | Err(_) => return true,
                Ok(_) => std::future::pending::<()>().await,
            }
        }
    }

    /// Closes the connection so that the last message still arrives: reads what
    /// the caller sent first, because closing with unread bytes resets the
    /// connection.
    pub(super) async fn close_gracefully(&mut self) {
        let drained = async {
            if self.stream.shutdown().await.is_err() {
                return;
            }
            let mut rest = [0; 1_024];
            while matches!(self.stream.read(&mut rest).await, Ok(count) if count > 0) {}
        };
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, drained).await;
    }

    /// Writes all bytes and clears the buffer.
    ///
    /// # Errors
    /// `CallerError::Broken` if the connection is broken.
    pub(super) async fn write(&mut self, bytes: &mut BytesMut) -> Result<(), CallerError> {
        self.stream.write_all(bytes).await.context(BrokenSnafu)?;
        bytes.clear();
        if bytes.capacity() > MAX_KEPT_BUFFER_BYTES {
            *bytes = BytesMut::new();
        }
        Ok(())
    }
}
