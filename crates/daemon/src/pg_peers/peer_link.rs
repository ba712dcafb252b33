use std::net::SocketAddr;

use futures::{SinkExt, StreamExt, stream::SplitSink, stream::SplitStream};
use hawthornstack_decisions::{
    identity::HostId,
    pg_host::{HostEvent, PeerMessage},
};
use hawthornstack_wire::peers::{MAX_FRAME_BYTES, PeerFrame};
use ractor::ActorRef;
use tokio::{
    net::TcpStream,
    sync::mpsc::{Receiver, Sender, channel},
    time::{Duration, timeout},
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Message, protocol::WebSocketConfig},
};
use tokio_util::sync::CancellationToken;

use super::PeersMessage;
use crate::{
    metrics::{DaemonMetrics, TrafficDirection},
    pg_host::HostMessage,
};

/// Messages that may wait for a link before new ones are dropped.
const LINK_QUEUE: usize = 4_096;
/// Time for a connection and its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

type Socket = WebSocketStream<TcpStream>;

/// What a link needs from the service.
#[derive(Debug, Clone)]
pub(super) struct LinkContext {
    pub(super) me: HostId,
    pub(super) host: ActorRef<HostMessage>,
    pub(super) peers: ActorRef<PeersMessage>,
    pub(super) cancel: CancellationToken,
    pub(super) metrics: DaemonMetrics,
}

/// How a link came about.
enum LinkOrigin {
    Dialled,
    /// The other host is known from its first frame; answers go to the queue.
    Accepted(Sender<PeerMessage>),
}

/// A queue to another host; messages that do not fit are dropped, since every
/// protocol between hosts repeats what matters.
#[derive(Debug)]
pub(super) struct PeerLink {
    queue: Sender<PeerMessage>,
}

impl PeerLink {
    /// Dials a host and serves the link until it breaks.
    pub(super) fn dial(context: LinkContext, to: HostId, address: SocketAddr) -> Self {
        let (queue, messages) = channel(LINK_QUEUE);
        let link = Self { queue };
        tokio::spawn(async move {
            match timeout(CONNECT_TIMEOUT, connect(address)).await {
                Ok(Some(socket)) => serve(&context, socket, messages, LinkOrigin::Dialled).await,
                _ => log::debug!(target: "peers", "Host {to} cannot be reached at {address}."),
            }
            let _ = context.peers.send_message(PeersMessage::Closed(to));
        });
        link
    }

    /// Serves a connection that another host opened.
    pub(super) fn accept(context: LinkContext, stream: TcpStream) {
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let accepted = accept_async_with_config(stream, Some(socket_config()));
            let Ok(Ok(socket)) = timeout(CONNECT_TIMEOUT, accepted).await else {
                return;
            };
            let (queue, messages) = channel(LINK_QUEUE);
            serve(&context, socket, messages, LinkOrigin::Accepted(queue)).await;
        });
    }

    pub(super) fn from_queue(queue: Sender<PeerMessage>) -> Self {
        Self { queue }
    }

    /// Queues a message; false if the link is closed.
    pub(super) fn send(&self, message: PeerMessage) -> bool {
        !matches!(
            self.queue.try_send(message),
            Err(tokio::sync::mpsc::error::TrySendError::Closed(_))
        )
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

async fn connect(address: SocketAddr) -> Option<Socket> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{address}/peers");
    let connected = client_async_with_config(url, stream, Some(socket_config())).await;
    connected.ok().map(|(socket, _)| socket)
}

async fn serve(
    context: &LinkContext,
    socket: Socket,
    messages: Receiver<PeerMessage>,
    origin: LinkOrigin,
) {
    let (sink, stream) = socket.split();
    tokio::select! {
        () = context.cancel.cancelled() => {}
        () = write_frames(context, sink, messages) => {}
        () = read_frames(context, stream, origin) => {}
    }
}

async fn write_frames(
    context: &LinkContext,
    mut sink: SplitSink<Socket, Message>,
    mut messages: Receiver<PeerMessage>,
) {
    while let Some(message) = messages.recv().await {
        let kind = message.kind();
        let bytes = match PeerFrame::new(context.me, message).encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(target: "peers", "A {kind} message cannot be sent: {error}.");
                continue;
            }
        };
        context.metrics.count_frame(kind, TrafficDirection::Sent, bytes.len());
        if sink.send(Message::binary(bytes)).await.is_err() {
            return;
        }
    }
}

async fn read_frames(context: &LinkContext, mut stream: SplitStream<Socket>, origin: LinkOrigin) {
    let mut origin = origin;
    while let Some(Ok(message)) = stream.next().await {
        let Message::Binary(bytes) = message else {
            continue;
        };
        let frame = match PeerFrame::decode(&bytes) {
            Ok(frame) => frame,
            Err(error) => {
                log::warn!(target: "peers", "A host sent an unreadable frame: {error}.");
                return;
            }
        };
        if let LinkOrigin::Accepted(queue) = origin {
            let opened = PeersMessage::Opened(frame.from, queue);
            let _ = context.peers.send_message(opened);
            origin = LinkOrigin::Dialled;
        }
        let kind = frame.message.kind();
        context.metrics.count_frame(kind, TrafficDirection::Received, bytes.len());
        let event = HostEvent::Peer(frame.from, frame.message);
        let _ = context.host.send_message(HostMessage::Event(event));
    }
}
