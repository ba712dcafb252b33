use std::{collections::HashSet, net::SocketAddr, time::Duration};

use bytes::{Buf, BytesMut};
use hawthornstack_decisions::positions::LogPosition;
use hawthornstack_wire::reports::read_position;
use pgwire::messages::{
    DecodeContext, Message, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    simplequery::Query,
    startup::{Authentication, Startup},
};
use snafu::{OptionExt, ResultExt};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::{
    UpstreamError,
    upstream_error::{
        BrokenSnafu, ClosedSnafu, ConnectSnafu, ProtocolSnafu, RefusedSnafu, TooLargeSnafu,
    },
};

/// Timeout for opening a connection, including the start-up exchange.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Length of a message header: type byte and length field.
const HEADER_BYTES: usize = 5;
/// Largest answer that is buffered until its outcome is certain, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Prepared statements on one connection above which it is closed, not reused.
const MAX_PREPARED_STATEMENTS: usize = 500;

/// Start-up parameter of connections that forward requests to a gateway host.
pub(crate) const FORWARD_PARAMETER: &str = "hawthornstack_forward";
/// User name in the start-up message.
const UPSTREAM_USER: &str = "hawthornstack";

/// Messages of one answer, up to and including its `ReadyForQuery`.
#[derive(Debug, Default)]
pub struct ReplySegment {
    /// The messages, as received.
    pub frames: BytesMut,
    /// Transaction status: `I`, `T` or `E`.
    pub status: u8,
    /// An error is among the messages.
    pub failed: bool,
}

impl ReplySegment {
    /// Iterates over the messages, as type byte and complete frame.
    pub fn iter(&self) -> impl Iterator<Item = (u8, &[u8])> {
        let mut rest: &[u8] = &self.frames;
        std::iter::from_fn(move || {
            let length = frame_length(rest)?;
            let (frame, after) = rest.split_at(length);
            rest = after;
            Some((frame[0], frame))
        })
    }

    /// Text columns of the first row; a NULL is read as an empty string.
    pub fn first_row(&self) -> Option<Vec<String>> {
        let context = backend_context();
        let mut frames = self.frames.clone();
        while let Ok(Some(message)) = PgWireBackendMessage::decode(&mut frames, &context) {
            if let PgWireBackendMessage::DataRow(row) = message {
                return parse_columns(row.data, row.field_count);
            }
        }
        None
    }

    /// Position in the answer to `POSITION_STATEMENT`.
    pub fn position(&self) -> Option<LogPosition> {
        read_position(self.first_row()?.first()?)
    }

    /// True if an error with this SQLSTATE is among the messages.
    pub fn has_sqlstate(&self, sqlstate: &str) -> bool {
        self.has_error_text(&format!("C{sqlstate}\0"))
    }

    /// True if an error contains this text, which starts with the type byte of
    /// an error field.
    pub(crate) fn has_error_text(&self, text: &str) -> bool {
        let holds = |frame: &[u8]| frame.windows(text.len()).any(|at| at == text.as_bytes());
        self.failed && self.iter().any(|(kind, frame)| kind == b'E' && holds(frame))
    }

    /// Last value of a parameter that a `ParameterStatus` message reports.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let prefix = format!("{name}\0");
        let value = self.iter().filter(|(kind, _)| *kind == b'S').filter_map(|(_, frame)| {
            let body = frame.get(HEADER_BYTES..frame.len().saturating_sub(1))?;
            body.strip_prefix(prefix.as_bytes())
        });
        String::from_utf8(value.last()?.to_vec()).ok()
    }

    /// Tag of the last `CommandComplete` message.
    pub fn last_tag(&self) -> Option<String> {
        let (_, frame) = self.iter().filter(|(kind, _)| *kind == b'C').last()?;
        let text = frame.get(HEADER_BYTES..frame.len().saturating_sub(1))?;
        String::from_utf8(text.to_vec()).ok()
    }
}

fn parse_columns(data: BytesMut, count: i16) -> Option<Vec<String>> {
    let mut data = data;
    let mut columns = Vec::new();
    for _ in 0..count {
        if data.remaining() < 4 {
            return None;
        }
        let length = usize::try_from(data.get_i32()).unwrap_or(0);
        if data.remaining() < length {
            return None;
        }
        columns.push(String::from_utf8(data.split_to(length).to_vec()).ok()?);
    }
    Some(columns)
}

fn backend_context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}

/// Length of the first frame, its type byte included; `None` if the frame is
/// incomplete or its length field is too small.
fn frame_length(bytes: &[u8]) -> Option<usize> {
    let header = bytes.get(1..HEADER_BYTES)?;
    let length = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize + 1;
    (length >= HEADER_BYTES && bytes.len() >= length).then_some(length)
}

/// Connection to a database or to a gateway host, used by one request at a time.
#[derive(Debug)]
pub struct UpstreamConnection {
    stream: TcpStream,
    read_buffer: BytesMut,
    /// Keys of the statements that are prepared on this connection.
    pub prepared: HashSet<Box<str>>,
}

impl UpstreamConnection {
    /// Opens a connection to a database of a group.
    ///
    /// # Errors
    /// `UpstreamError` if the database cannot be reached or refuses.
    pub async fn open(address: SocketAddr, group: &str) -> Result<Self, UpstreamError> {
        Self::open_with(address, group, None).await
    }

    /// Opens a connection to a gateway host, which runs the requests that are
    /// forwarded over it.
    ///
    /// # Errors
    /// `UpstreamError` if the host cannot be reached or refuses.
    pub async fn open_forward(address: SocketAddr, group: &str) -> Result<Self, UpstreamError> {
        Self::open_with(address, group, Some(FORWARD_PARAMETER)).await
    }

    async fn open_with(
        address: SocketAddr,
        group: &str,
        parameter: Option<&str>,
    ) -> Result<Self, UpstreamError> {
        match timeout(CONNECT_TIMEOUT, Self::connect(address, group, parameter)).await {
            Ok(opened) => opened,
            Err(_) => Err(UpstreamError::TimedOut),
        }
    }

    async fn connect(
        address: SocketAddr,
        group: &str,
        parameter: Option<&str>,
    ) -> Result<Self, UpstreamError> {
        let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let mut connection =
            Self { stream, read_buffer: BytesMut::new(), prepared: HashSet::new() };
        let mut startup = Startup::new();
        startup.parameters.insert("user".to_owned(), UPSTREAM_USER.to_owned());
        startup.parameters.insert("database".to_owned(), group.to_owned());
        if let Some(parameter) = parameter {
            startup.parameters.insert(parameter.to_owned(), "on".to_owned());
        }
        let mut bytes = BytesMut::new();
        encode(&startup, &mut bytes)?;
        connection.write(&bytes).await?;
        loop {
            match connection.read_message().await? {
                PgWireBackendMessage::Authentication(Authentication::Ok)
                | PgWireBackendMessage::ParameterStatus(_)
                | PgWireBackendMessage::NoticeResponse(_)
                | PgWireBackendMessage::BackendKeyData(_) => {}
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(connection),
                PgWireBackendMessage::ErrorResponse(error) => {
                    let text = format!("{:?}", error.fields);
                    return RefusedSnafu { text }.fail();
                }
                other => return ProtocolSnafu { text: format!("{other:?}") }.fail(),
            }
        }
    }

    /// Sends `request` and reads `answers` answers, each up to its
    /// `ReadyForQuery`.
    ///
    /// # Errors
    /// `UpstreamError`; the connection must be closed after one.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        answers: usize,
    ) -> Result<Vec<ReplySegment>, UpstreamError> {
        if !self.read_buffer.is_empty() {
            return ProtocolSnafu { text: "unread data before the request" }.fail();
        }
        self.write(request).await?;
        let mut segments = Vec::with_capacity(answers);
        for _ in 0..answers {
            segments.push(self.read_segment().await?);
        }
        if !self.read_buffer.is_empty() {
            return ProtocolSnafu { text: "data after the last expected answer" }.fail();
        }
        Ok(segments)
    }

    /// Runs one statement with the simple query protocol.
    ///
    /// # Errors
    /// As for [`exchange`](Self::exchange).
    pub async fn query(&mut self, sql: &str) -> Result<ReplySegment, UpstreamError> {
        let mut request = BytesMut::new();
        encode_query(sql, &mut request)?;
        let mut segments = self.exchange(&request, 1).await?;
        segments.pop().context(ClosedSnafu)
    }

    async fn read_segment(&mut self) -> Result<ReplySegment, UpstreamError> {
        let mut segment = ReplySegment::default();
        loop {
            let Some(length) = frame_length(&self.read_buffer) else {
                self.fill_read_buffer().await?;
                continue;
            };
            let kind = self.read_buffer[0];
            let status = self.read_buffer[length - 1];
            let frame = self.read_buffer.split_to(length);
            if segment.frames.len() + length > MAX_ANSWER_BYTES {
                return TooLargeSnafu { limit: MAX_ANSWER_BYTES }.fail();
            }
            segment.frames.extend_from_slice(&frame);
            match kind {
                b'E' => segment.failed = true,
                b'Z' => {
                    segment.status = status;
                    return Ok(segment);
                }
                b'G' | b'H' | b'W' => {
                    return ProtocolSnafu { text: "COPY is not supported" }.fail();
                }
                _ => {}
            }
        }
    }

    async fn read_message(&mut self) -> Result<PgWireBackendMessage, UpstreamError> {
        let context = backend_context();
        loop {
            let decoded = PgWireBackendMessage::decode(&mut self.read_buffer, &context);
            match decoded {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => self.fill_read_buffer().await?,
                Err(error) => return ProtocolSnafu { text: error.to_string() }.fail(),
            }
        }
    }

    async fn fill_read_buffer(&mut self) -> Result<(), UpstreamError> {
        self.read_buffer.reserve(4_096);
        match self.stream.read_buf(&mut self.read_buffer).await.context(BrokenSnafu)? {
            0 => ClosedSnafu.fail(),
            _ => Ok(()),
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), UpstreamError> {
        self.stream.write_all(bytes).await.context(BrokenSnafu)
    }

    /// True if more statements are prepared on the connection than it may keep.
    pub fn has_too_many_statements(&self) -> bool {
        self.prepared.len() > MAX_PREPARED_STATEMENTS
    }

    /// True if the peer neither sent anything nor closed the connection since
    /// its last use.
    pub fn is_open_and_idle(&self) -> bool {
        let mut probe = [0; 1];
        let pending = self.stream.try_read(&mut probe);
        let would_block = |error: &std::io::Error| error.kind() == std::io::ErrorKind::WouldBlock;
        self.read_buffer.is_empty() && pending.as_ref().is_err_and(would_block)
    }
}

fn encode(message: &impl Message, bytes: &mut BytesMut) -> Result<(), UpstreamError> {
    message.encode(bytes).map_err(|error| UpstreamError::Protocol { text: error.to_string() })
}

/// Appends a `Query` message of the simple protocol.
///
/// # Errors
/// `UpstreamError::Protocol` if the text exceeds the size that the protocol allows.
pub(crate) fn encode_query(sql: &str, bytes: &mut BytesMut) -> Result<(), UpstreamError> {
    encode(&Query::new(sql.to_owned()), bytes)
}

/// Appends a message of the extended protocol.
///
/// # Errors
/// `UpstreamError::Protocol` if the message exceeds the size that the protocol allows.
pub(crate) fn encode_frontend(
    message: &PgWireFrontendMessage,
    bytes: &mut BytesMut,
) -> Result<(), UpstreamError> {
    message.encode(bytes).map_err(|error| UpstreamError::Protocol { text: error.to_string() })
}
