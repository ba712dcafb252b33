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
        BrokenSnafu, ClosedSnafu, ConfusedSnafu, ConnectSnafu, RefusedSnafu, TooLargeSnafu,
    },
};

/// Time for a connection, its start-up included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes of a message's type and length.
const HEADER_BYTES: usize = 5;
/// Largest answer that is held back until it is certain, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Prepared statements kept on one connection before it is replaced.
const MAX_PREPARED: usize = 500;

/// Start-up parameter of connections that forward requests to a home.
pub(crate) const FORWARD_PARAMETER: &str = "hawthornstack_forward";
/// Name under which the proxy connects.
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
    /// Goes through the messages: type and whole frame.
    pub fn iter(&self) -> impl Iterator<Item = (u8, &[u8])> {
        let mut rest: &[u8] = &self.frames;
        std::iter::from_fn(move || {
            let length = frame_length(rest)?;
            let (frame, after) = rest.split_at(length);
            rest = after;
            Some((frame[0], frame))
        })
    }

    /// Text columns of the first row, for reports.
    pub fn first_row(&self) -> Option<Vec<String>> {
        let context = backend_context();
        let mut frames = self.frames.clone();
        while let Ok(Some(message)) = PgWireBackendMessage::decode(&mut frames, &context) {
            if let PgWireBackendMessage::DataRow(row) = message {
                return read_columns(row.data, row.field_count);
            }
        }
        None
    }

    /// The position in the answer to a position statement.
    pub fn position(&self) -> Option<LogPosition> {
        read_position(self.first_row()?.first()?)
    }

    /// True if an error with this SQLSTATE is among the messages.
    pub fn has_sqlstate(&self, sqlstate: &str) -> bool {
        self.has_error_text(&format!("C{sqlstate}\0"))
    }

    /// True if an error holds this text, its field's letter first.
    pub(crate) fn has_error_text(&self, text: &str) -> bool {
        let holds = |frame: &[u8]| frame.windows(text.len()).any(|at| at == text.as_bytes());
        self.failed && self.iter().any(|(kind, frame)| kind == b'E' && holds(frame))
    }

    /// The last value of a parameter that the answer announces.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let prefix = format!("{name}\0");
        let value = self.iter().filter(|(kind, _)| *kind == b'S').filter_map(|(_, frame)| {
            let body = frame.get(HEADER_BYTES..frame.len().saturating_sub(1))?;
            body.strip_prefix(prefix.as_bytes())
        });
        String::from_utf8(value.last()?.to_vec()).ok()
    }

    /// The tag of the last completed command.
    pub fn last_tag(&self) -> Option<String> {
        let (_, frame) = self.iter().filter(|(kind, _)| *kind == b'C').last()?;
        let text = frame.get(HEADER_BYTES..frame.len().saturating_sub(1))?;
        String::from_utf8(text.to_vec()).ok()
    }
}

fn read_columns(data: BytesMut, count: i16) -> Option<Vec<String>> {
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

/// Length of the first whole frame, its type byte included.
fn frame_length(bytes: &[u8]) -> Option<usize> {
    let header = bytes.get(1..HEADER_BYTES)?;
    let length = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize + 1;
    (length >= HEADER_BYTES && bytes.len() >= length).then_some(length)
}

/// One connection to a database, used by one request at a time.
#[derive(Debug)]
pub struct UpstreamConnection {
    stream: TcpStream,
    read: BytesMut,
    /// Keys of the statements that are prepared on it.
    pub prepared: HashSet<Box<str>>,
}

impl UpstreamConnection {
    /// Opens a connection for a group.
    ///
    /// # Errors
    /// `UpstreamError` if the database cannot be reached or refuses.
    pub async fn open(address: SocketAddr, group: &str) -> Result<Self, UpstreamError> {
        Self::open_with(address, group, None).await
    }

    /// Opens a connection to a home, which then serves what is forwarded to it.
    ///
    /// # Errors
    /// `UpstreamError` if the home cannot be reached or refuses.
    pub async fn open_forward(address: SocketAddr, group: &str) -> Result<Self, UpstreamError> {
        Self::open_with(address, group, Some(FORWARD_PARAMETER)).await
    }

    async fn open_with(
        address: SocketAddr,
        group: &str,
        parameter: Option<&str>,
    ) -> Result<Self, UpstreamError> {
        match timeout(CONNECT_TIMEOUT, Self::start(address, group, parameter)).await {
            Ok(opened) => opened,
            Err(_) => Err(UpstreamError::Late),
        }
    }

    async fn start(
        address: SocketAddr,
        group: &str,
        parameter: Option<&str>,
    ) -> Result<Self, UpstreamError> {
        let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let mut connection = Self { stream, read: BytesMut::new(), prepared: HashSet::new() };
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
                other => return ConfusedSnafu { text: format!("{other:?}") }.fail(),
            }
        }
    }

    /// Sends `request` and reads `answers` answers.
    ///
    /// # Errors
    /// `UpstreamError`; the connection must be closed after one.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        answers: usize,
    ) -> Result<Vec<ReplySegment>, UpstreamError> {
        if !self.read.is_empty() {
            return ConfusedSnafu { text: "an answer came late" }.fail();
        }
        self.write(request).await?;
        let mut segments = Vec::with_capacity(answers);
        for _ in 0..answers {
            segments.push(self.read_segment().await?);
        }
        if !self.read.is_empty() {
            return ConfusedSnafu { text: "an answer came unasked" }.fail();
        }
        Ok(segments)
    }

    /// Runs one statement by the simple protocol.
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
            let Some(length) = frame_length(&self.read) else {
                self.fill().await?;
                continue;
            };
            let kind = self.read[0];
            let status = self.read[length - 1];
            let frame = self.read.split_to(length);
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
                b'G' | b'H' | b'W' => return ConfusedSnafu { text: "COPY" }.fail(),
                _ => {}
            }
        }
    }

    async fn read_message(&mut self) -> Result<PgWireBackendMessage, UpstreamError> {
        let context = backend_context();
        loop {
            let decoded = PgWireBackendMessage::decode(&mut self.read, &context);
            match decoded {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => self.fill().await?,
                Err(error) => return ConfusedSnafu { text: error.to_string() }.fail(),
            }
        }
    }

    async fn fill(&mut self) -> Result<(), UpstreamError> {
        self.read.reserve(4_096);
        match self.stream.read_buf(&mut self.read).await.context(BrokenSnafu)? {
            0 => ClosedSnafu.fail(),
            _ => Ok(()),
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), UpstreamError> {
        self.stream.write_all(bytes).await.context(BrokenSnafu)
    }

    /// True if too many statements are prepared on the connection.
    pub fn is_worn(&self) -> bool {
        self.prepared.len() > MAX_PREPARED
    }

    /// True if nothing arrived and the peer did not close since the last use.
    pub fn is_quiet(&self) -> bool {
        let mut probe = [0; 1];
        let pending = self.stream.try_read(&mut probe);
        let would_block = |error: &std::io::Error| error.kind() == std::io::ErrorKind::WouldBlock;
        self.read.is_empty() && pending.as_ref().is_err_and(would_block)
    }
}

fn encode(message: &impl Message, bytes: &mut BytesMut) -> Result<(), UpstreamError> {
    message.encode(bytes).map_err(|error| UpstreamError::Confused { text: error.to_string() })
}

/// Appends a simple query.
///
/// # Errors
/// `UpstreamError::Confused` if the text is larger than the protocol allows.
pub(crate) fn encode_query(sql: &str, bytes: &mut BytesMut) -> Result<(), UpstreamError> {
    encode(&Query::new(sql.to_owned()), bytes)
}

/// Appends a message of the extended protocol.
///
/// # Errors
/// `UpstreamError::Confused` if the message is larger than allowed.
pub(crate) fn encode_frontend(
    message: &PgWireFrontendMessage,
    bytes: &mut BytesMut,
) -> Result<(), UpstreamError> {
    message.encode(bytes).map_err(|error| UpstreamError::Confused { text: error.to_string() })
}
