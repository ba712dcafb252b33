use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hawthornstack_decisions::{instances::InstanceKey, primaries::InstanceStatus};
use tokio::{net::TcpStream, time::timeout};

use crate::{
    edges::{UpstreamCommand, UpstreamProtocol, UpstreamReply},
    links::{LineStream, prepare_socket},
};

/// Time for a database to answer a question, connection included.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(400);

/// A question for a database's status on a connection of its own.
pub(super) struct StatusQuestion {
    pub(super) key: InstanceKey,
    pub(super) service: Arc<str>,
    pub(super) address: SocketAddr,
}

impl StatusQuestion {
    /// Asks; `None` if there is no clear answer in time.
    pub(super) async fn ask(
        &self,
        protocol: &dyn UpstreamProtocol,
        caller: &str,
    ) -> Option<InstanceStatus> {
        match timeout(QUESTION_TIMEOUT, self.exchange(protocol, caller)).await {
            Ok(Ok(status)) => status,
            Ok(Err(error)) => {
                tracing::info!(target: "control", instance = %self.key, %error, "no status");
                None
            }
            Err(_) => {
                tracing::info!(target: "control", instance = %self.key, "no status in time");
                None
            }
        }
    }

    async fn exchange(
        &self,
        protocol: &dyn UpstreamProtocol,
        caller: &str,
    ) -> io::Result<Option<InstanceStatus>> {
        let stream = TcpStream::connect(self.address).await?;
        prepare_socket(&stream, QUESTION_TIMEOUT)?;
        let mut lines = LineStream::new(stream);
        let mut out = Vec::new();
        let (service, instance) = (&*self.service, &*self.key.id);
        protocol.encode_command(&mut out, UpstreamCommand::Open { service, caller, instance });
        lines.send(&out).await?;
        wait_ready(&mut lines, protocol).await?;
        out.clear();
        protocol.encode_command(&mut out, UpstreamCommand::Status);
        lines.send(&out).await?;
        loop {
            let line = next_line(&mut lines).await?;
            match protocol.decode_reply(&line).map_err(io::Error::other)? {
                UpstreamReply::Row => {
                    return protocol.decode_status(&line).map(Some).map_err(io::Error::other);
                }
                UpstreamReply::Ready { .. } | UpstreamReply::Refused(_) => return Ok(None),
                UpstreamReply::Done => {}
            }
        }
    }
}

async fn wait_ready(lines: &mut LineStream, protocol: &dyn UpstreamProtocol) -> io::Result<()> {
    let line = next_line(lines).await?;
    match protocol.decode_reply(&line).map_err(io::Error::other)? {
        UpstreamReply::Ready { .. } => Ok(()),
        _ => Err(io::Error::other("the database refused the connection")),
    }
}

async fn next_line(lines: &mut LineStream) -> io::Result<bytes::Bytes> {
    lines.next_line().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
