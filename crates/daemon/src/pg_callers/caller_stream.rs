use bytes::BytesMut;
use pgwire::messages::{DecodeContext, PgWireFrontendMessage, ProtocolVersion};
use snafu::ResultExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::{
    CallerError,
    caller_error::{BrokenSnafu, GoneSnafu, ProtocolSnafu, TooLargeSnafu},
};

/// Largest message accepted from a caller, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Largest start-up packet accepted, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Time for a caller to close after its last message.
const LINGER_TIME: std::time::Duration = std::time::Duration::from_secs(1);
/// Bytes read at a time.
const READ_BYTES: usize = 2_048;
/// Buffers larger than this are given back when they are empty.
const KEPT_BUFFER_BYTES: usize = 4_096;

/// A caller's connection: messages in, bytes out. Holds no buffer while the
/// caller is idle.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    read: BytesMut,
    context: DecodeContext,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        Self { stream, read: BytesMut::new(), context }
    }

    /// The caller's TLS question is answered; the start-up follows.
    pub(super) fn expect_startup(&mut self) {
        self.context.awaiting_frontend_ssl = false;
    }

    /// The start-up is done; ordinary messages follow.
    pub(super) fn expect_messages(&mut self) {
        self.context.awaiting_frontend_ssl = false;
        self.context.awaiting_frontend_startup = false;
    }

    /// The next message. Cancel safe: bytes that were read stay buffered.
    ///
    /// # Errors
    /// `CallerError` if the caller is gone or breaks the protocol.
    pub(super) async fn next(&mut self) -> Result<PgWireFrontendMessage, CallerError> {
        loop {
            self.check_length()?;
            let decoded = PgWireFrontendMessage::decode(&mut self.read, &self.context);
            match decoded {
                Ok(Some(message)) => {
                    self.release_buffer();
                    return Ok(message);
                }
                Ok(None) => self.fill().await?,
                Err(error) => return ProtocolSnafu { text: error.to_string() }.fail(),
            }
        }
    }

    /// Refuses a message by its stated length, before it is buffered.
    fn check_length(&self) -> Result<(), CallerError> {
        let starting = self.context.awaiting_frontend_startup;
        let (offset, limit) = match starting {
            true => (0, MAX_STARTUP_BYTES),
            false => (1, MAX_MESSAGE_BYTES),
        };
        let Some(length) = self.read.get(offset..offset + 4) else {
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
        if self.read.is_empty() {
            self.read = BytesMut::new();
        }
    }

    async fn fill(&mut self) -> Result<(), CallerError> {
        if self.read.is_empty() {
            // An idle caller costs no buffer: wait before allocating one.
            self.stream.readable().await.context(BrokenSnafu)?;
        }
        self.read.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.read).await.context(BrokenSnafu)? {
            0 => GoneSnafu.fail(),
            _ => Ok(()),
        }
    }

    /// Waits until the caller closes or sends more.
    pub(super) async fn closed(&self) -> bool {
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

    /// Ends the connection so that its last message arrives: closing with
    /// unread bytes would reset it.
    pub(super) async fn linger(&mut self) {
        let drained = async {
            if self.stream.shutdown().await.is_err() {
                return;
            }
            let mut rest = [0; 1_024];
            while matches!(self.stream.read(&mut rest).await, Ok(count) if count > 0) {}
        };
        let _ = tokio::time::timeout(LINGER_TIME, drained).await;
    }

    /// Writes bytes.
    ///
    /// # Errors
    /// `CallerError::Broken` if the caller is gone.
    pub(super) async fn write(&mut self, bytes: &mut BytesMut) -> Result<(), CallerError> {
        self.stream.write_all(bytes).await.context(BrokenSnafu)?;
        bytes.clear();
        if bytes.capacity() > KEPT_BUFFER_BYTES {
            *bytes = BytesMut::new();
        }
        Ok(())
    }
}
