use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hawthornstack_decisions::{instances::InstanceKey, primaries::InstanceStatus};
use tokio::{net::TcpStream, time::timeout};

use crate::{
    edges::{UpstreamCommand, UpstreamProtocol, UpstreamReply},
    links::{LineStream, prepare_socket},
};

/// Time within which a database must answer a status query, connecting included.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// A query for a database's status on a new connection.
pub(super) struct StatusQuery {
    pub(super) key: InstanceKey,
    pub(super) service: Arc<str>,
    pub(super) address: SocketAddr,
}

impl StatusQuery {
    /// Connects and queries; `None` if the database refuses, or gives no valid
    /// answer in time.
    pub(super) async fn run(
        &self,
        protocol: &dyn UpstreamProtocol,
        client: &str,
    ) -> Option<InstanceStatus> {
        match timeout(QUERY_TIMEOUT, self.request_status(protocol, client)).await {
            Ok(Ok(status)) => status,
            Ok(Err(error)) => {
                tracing::info!(
                    target: "control", instance = %self.key, %error,
                    "status query failed; status unknown"
                );
                None
            }
            Err(_) => {
                tracing::info!(
                    target: "control", instance = %self.key,
                    "status query timed out; status unknown"
                );
                None
            }
        }
    }

    async fn request_status(
        &self,
        protocol: &dyn UpstreamProtocol,
        client: &str,
    ) -> io::Result<Option<InstanceStatus>> {
        let stream = TcpStream::connect(self.address).await?;
        prepare_socket(&stream, QUERY_TIMEOUT)?;
        let mut lines = LineStream::new(stream);
        let mut out = Vec::new();
        let (service, instance) = (&*self.service, &*self.key.id);
        protocol.encode_command(
            &mut out,
            UpstreamCommand::Open { service, client, instance: Some(instance) },
        );
        lines.send(&out).await?;
        wait_until_ready(&mut lines, protocol).await?;
        out.clear();
        protocol.encode_command(&mut out, UpstreamCommand::Status);
        lines.send(&out).await?;
        loop {
            let line = read_line(&mut lines).await?;
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

async fn wait_until_ready(
    lines: &mut LineStream,
    protocol: &dyn UpstreamProtocol,
) -> io::Result<()> {
    let line = read_line(lines).await?;
    match protocol.decode_reply(&line).map_err(io::Error::other)? {
        UpstreamReply::Ready { .. } => Ok(()),
        _ => Err(io::Error::other("the database refused the connection")),
    }
}

async fn read_line(lines: &mut LineStream) -> io::Result<bytes::Bytes> {
    lines.next_line().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
