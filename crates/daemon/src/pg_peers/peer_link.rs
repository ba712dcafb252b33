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

/// Messages queued for one link; more are dropped.
const LINK_QUEUE_CAPACITY: usize = 4_096;
/// Timeout of opening a link: TCP connect and WebSocket handshake when dialling, the
/// handshake alone when accepting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

type Socket = WebSocketStream<TcpStream>;

/// Shared by the links of one service.
#[derive(Debug, Clone)]
pub(super) struct LinkContext {
    pub(super) host_id: HostId,
    pub(super) host: ActorRef<HostMessage>,
    pub(super) peers: ActorRef<PeersMessage>,
    pub(super) cancel: CancellationToken,
    pub(super) metrics: DaemonMetrics,
}

/// Whether the peers service knows which host is at the other end of a link.
enum LinkRegistration {
    Registered,
    /// The link was accepted; its first frame names the host, and the service then
    /// gets this queue for messages to it.
    Pending(Sender<PeerMessage>),
}

/// Send queue of a link to another host. Messages that do not fit are dropped, as
/// every protocol between hosts repeats the messages that it depends on.
#[derive(Debug)]
pub(super) struct PeerLink {
    queue: Sender<PeerMessage>,
}

impl PeerLink {
    /// Dials a host in a new task, which serves the link until it ends and then sends
    /// `PeersMessage::Closed`. Messages may be queued meanwhile.
    pub(super) fn dial(context: LinkContext, to: HostId, address: SocketAddr) -> Self {
        let (queue, messages) = channel(LINK_QUEUE_CAPACITY);
        let link = Self { queue };
        tokio::spawn(async move {
            match timeout(CONNECT_TIMEOUT, connect(address)).await {
                Ok(Some(socket)) => {
                    serve(&context, socket, messages, LinkRegistration::Registered).await
                }
                _ => {
                    log::debug!(
                        target: "peers",
                        "Failed to connect to host {to} at {address}; queued messages are dropped."
                    )
                }
            }
            let _ = context.peers.send_message(PeersMessage::Closed(to));
        });
        link
    }

    /// Serves a connection that another host opened, in a new task.
    pub(super) fn accept(context: LinkContext, stream: TcpStream) {
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let accepted = accept_async_with_config(stream, Some(websocket_config()));
            let Ok(Ok(socket)) = timeout(CONNECT_TIMEOUT, accepted).await else {
                return;
            };
            let (queue, messages) = channel(LINK_QUEUE_CAPACITY);
            serve(&context, socket, messages, LinkRegistration::Pending(queue)).await;
        });
    }

    pub(super) fn from_queue(queue: Sender<PeerMessage>) -> Self {
        Self { queue }
    }

    /// Queues a message, or drops it if the queue is full. False if the link is closed.
    pub(super) fn send(&self, message: PeerMessage) -> bool {
        !matches!(
            self.queue.try_send(message),
            Err(tokio::sync::mpsc::error::TrySendError::Closed(_))
        )
    }
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

async fn connect(address: SocketAddr) -> Option<Socket> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{address}/peers");
    let connected = client_async_with_config(url, stream, Some(websocket_config())).await;
    connected.ok().map(|(socket, _)| socket)
}

async fn serve(
    context: &LinkContext,
    socket: Socket,
    messages: Receiver<PeerMessage>,
    registration: LinkRegistration,
) {
    let (sink, stream) = socket.split();
    tokio::select! {
        () = context.cancel.cancelled() => {}
        () = write_frames(context, sink, messages) => {}
        () = read_frames(context, stream, registration) => {}
    }
}

async fn write_frames(
    context: &LinkContext,
    mut sink: SplitSink<Socket, Message>,
    mut messages: Receiver<PeerMessage>,
) {
    while let Some(message) = messages.recv().await {
        let kind = message.kind();
        let bytes = match PeerFrame::new(context.host_id, message).encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(
                    target: "peers",
                    "Failed to encode a {kind} message, which is dropped: {error}."
                );
                continue;
            }
        };
        context.metrics.count_frame(kind, TrafficDirection::Sent, bytes.len());
        if sink.send(Message::binary(bytes)).await.is_err() {
            return;
        }
    }
}

async fn read_frames(
    context: &LinkContext,
    mut stream: SplitStream<Socket>,
    registration: LinkRegistration,
) {
    let mut registration = registration;
    while let Some(Ok(message)) = stream.next().await {
        let Message::Binary(bytes) = message else {
            continue;
        };
        let frame = match PeerFrame::decode(&bytes) {
            Ok(frame) => frame,
            Err(error) => {
                log::warn!(
                    target: "peers",
                    "Failed to decode a frame of another host; the link is closed: {error}."
                );
                return;
            }
        };
        if let LinkRegistration::Pending(queue) = registration {
            let opened = PeersMessage::Opened(frame.from, queue);
            let _ = context.peers.send_message(opened);
            registration = LinkRegistration::Registered;
        }
        let kind = frame.message.kind();
        context.metrics.count_frame(kind, TrafficDirection::Received, bytes.len());
        let event = HostEvent::Peer(frame.from, frame.message);
        let _ = context.host.send_message(HostMessage::Event(event));
    }
}
