use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    entry_role::{ConnectionState, RestoreStep},
    positions::LogPosition,
};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use super::pool_target::PoolTarget;
use crate::{
    edges::{SessionPhase, UpstreamCode, UpstreamCommand, UpstreamProtocol, UpstreamReply},
    links::{LineStream, prepare_socket},
};

/// Timeout for a TCP connection to a database: many times the round trip across a
/// region, and below the shortest statement timeouts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a database to accept a connection, which waits for a slot there.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for a database to close a connection that this host has closed: several round
/// trips within a region, since a statement waits for it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(20);
/// Time that sent data may stay unacknowledged before a connection counts as broken.
const UPSTREAM_ACK_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a connection was not opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OpenError {
    /// The database did not answer, or refused for another reason.
    Unreachable,
    /// The database accepts no more connections.
    Full,
    /// The database at the address is not the expected one.
    Misrouted,
}

/// Why a statement got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkError {
    /// The connection failed, a reply was not valid, or the session could not be
    /// restored.
    Broken,
    /// The deadline passed.
    TimedOut,
    /// The database is no longer the primary of the term.
    TermChanged,
}

/// How an answer ended: with a result or a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerEnd {
    Done,
    Refused(UpstreamCode),
}

/// The complete answer of a database to one statement.
#[derive(Debug)]
pub(super) struct UpstreamAnswer {
    /// Rows and result or refusal, encoded as received.
    pub(super) body: Vec<u8>,
    pub(super) end: AnswerEnd,
    pub(super) phase: SessionPhase,
    pub(super) position: Option<LogPosition>,
}

/// A connection to a database, and the session state set on it. It is reset if it is given up
/// before all that was sent has been answered.
#[derive(Debug)]
pub(super) struct UpstreamLink {
    lines: LineStream,
    awaits_answer: bool,
    pub(super) state: ConnectionState,
    pub(super) opened_at: Instant,
}

impl UpstreamLink {
    /// Connects to a database, at its own address or that of a gateway, or to a
    /// gateway for reads of a service, and returns the log position that it reported.
    /// Any other database at the address refuses the connection. The database is told
    /// the workspace, if there is one, or else the name of this host.
    pub(super) async fn open(
        protocol: &dyn UpstreamProtocol,
        target: &PoolTarget,
        address: SocketAddr,
        host_name: &str,
        workspace: Option<&Arc<str>>,
    ) -> Result<(Self, Option<LogPosition>), OpenError> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else {
            return Err(OpenError::Unreachable);
        };
        prepare_socket(&stream, UPSTREAM_ACK_TIMEOUT).map_err(|_| OpenError::Unreachable)?;
        let (lines, state) = (LineStream::new(stream), ConnectionState::default());
        let opened_at = Instant::now();
        let mut link = Self { lines, awaits_answer: false, state, opened_at };
        let mut out = Vec::new();
        let (service, instance) = (target.service(), target.instance_id());
        let client = workspace.map_or(host_name, |workspace| &**workspace);
        let open = UpstreamCommand::Open { service, client, instance };
        protocol.encode_command(&mut out, open);
        match timeout(OPEN_TIMEOUT, link.complete_open(protocol, &out)).await {
            Ok(Ok(result)) => result.map(|position| (link, position)),
            _ => Err(OpenError::Unreachable),
        }
    }

    /// Sends the open command and reads replies until the connection is ready or
    /// refused.
    async fn complete_open(
        &mut self,
        protocol: &dyn UpstreamProtocol,
        out: &[u8],
    ) -> io::Result<Result<Option<LogPosition>, OpenError>> {
        self.lines.send(out).await?;
        loop {
            let reply = self.next_reply(protocol, None).await?;
            match reply {
                UpstreamReply::Ready { position, .. } => return Ok(Ok(position)),
                UpstreamReply::Refused(UpstreamCode::Misrouted) => {
                    return Ok(Err(OpenError::Misrouted));
                }
                UpstreamReply::Refused(UpstreamCode::ConnectionLimit | UpstreamCode::Busy) => {
                    return Ok(Err(OpenError::Full));
                }
                UpstreamReply::Refused(_) => return Ok(Err(OpenError::Unreachable)),
                UpstreamReply::Row | UpstreamReply::Done => {}
            }
        }
    }

    /// Sends statements and reads their answers. The first `restore_count` of them
    /// restore the session and must succeed; returns the answer to the last one.
    pub(super) async fn exchange(
        &mut self,
        protocol: &dyn UpstreamProtocol,
        out: &[u8],
        restore_count: usize,
    ) -> Result<UpstreamAnswer, LinkError> {
        self.awaits_answer = true;
        self.lines.send(out).await.map_err(|_| LinkError::Broken)?;
        for _ in 0..restore_count {
            let answer = self.read_answer(protocol).await?;
            if answer.end != AnswerEnd::Done {
                return Err(LinkError::Broken);
            }
        }
        let answer = self.read_answer(protocol).await?;
        self.awaits_answer = false;
        self.lines.shrink();
        Ok(answer)
    }

    async fn read_answer(
        &mut self,
        protocol: &dyn UpstreamProtocol,
    ) -> Result<UpstreamAnswer, LinkError> {
        let mut body = Vec::new();
        let mut end = None;
        loop {
            let reply = self.next_reply(protocol, Some(&mut body)).await;
            match (reply.map_err(|_| LinkError::Broken)?, end) {
                (UpstreamReply::Row, None) => {}
                (UpstreamReply::Done, None) => end = Some(AnswerEnd::Done),
                (UpstreamReply::Refused(code), None) => end = Some(AnswerEnd::Refused(code)),
                (UpstreamReply::Ready { phase, position }, Some(end)) => {
                    return Ok(UpstreamAnswer { body, end, phase, position });
                }
                _ => return Err(LinkError::Broken),
            }
        }
    }

    /// Reads one reply and appends it to `body`, unless it ends the answer.
    async fn next_reply(
        &mut self,
        protocol: &dyn UpstreamProtocol,
        body: Option<&mut Vec<u8>>,
    ) -> io::Result<UpstreamReply> {
        let line = self.lines.next_line().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let reply = protocol
            .decode_reply(&line)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        if let Some(body) = body
            && !matches!(reply, UpstreamReply::Ready { .. })
        {
            body.extend_from_slice(&line);
            body.extend_from_slice(b"\r\n");
        }
        Ok(reply)
    }

    /// Closes the connection and waits until the database has closed it, too, so that it
    /// is no longer counted there; at most `CLOSE_TIMEOUT`.
    pub(super) async fn close(mut self) {
        // Without an answer in time the connection is closed by dropping it.
        let _ = timeout(CLOSE_TIMEOUT, self.lines.close()).await;
    }

    /// True if the connection is still open and no unread data is left on it.
    pub(super) fn is_reusable(&self) -> bool {
        self.lines.is_idle()
    }
}

impl Drop for UpstreamLink {
    fn drop(&mut self) {
        if self.awaits_answer {
            // A statement that the network holds up must not run once it has been given up.
            self.lines.reset_on_close();
        }
    }
}

/// Appends the statements that restore the session state.
pub(super) fn encode_steps(
    protocol: &dyn UpstreamProtocol,
    out: &mut Vec<u8>,
    steps: &[RestoreStep],
) {
    for step in steps {
        let command = match step {
            RestoreStep::Reset => UpstreamCommand::Reset,
            RestoreStep::SetValue { name, value } => UpstreamCommand::SetValue { name, value },
            RestoreStep::Prepare { name, prepared } => UpstreamCommand::Prepare { name, prepared },
        };
        protocol.encode_command(out, command);
    }
}
