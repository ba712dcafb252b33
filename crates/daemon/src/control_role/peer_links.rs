use std::{cell::Cell, io, rc::Rc, time::Duration};

use hawthornstack_decisions::{
    control_role::{ControlEvent, ControlMessage, EntryHello, EntryUpdate, LinkFrame, LinkRole},
    identity::HostId,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc},
    time::{sleep, timeout},
};

use crate::{
    links::{
        FrameReader, FrameWriter, LinkDialler, accept_connections, frame_connection, host_address,
    },
    metrics::HostMetrics,
};

/// Delay before a link to a control host is opened again.
const REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Messages queued for a control host. Further ones are dropped, since the
/// protocol between voters retransmits what it needs.
const PEER_QUEUE_LENGTH: usize = 512;
/// Updates queued for an entry host; its link is closed when the queue is full.
const ENTRY_QUEUE_LENGTH: usize = 256;
/// Time within which the first frame of an incoming link must arrive.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which buffered frames must be flushed; the link is closed after it.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Events that links report to the control service.
pub(super) enum LinkEvent {
    /// An event for the `ControlHost`.
    Control(ControlEvent),
    /// An entry host opened the link with this number; updates for it go to
    /// the queue.
    EntryOpened { host: HostId, hello: EntryHello, number: u64, queue: mpsc::Sender<EntryUpdate> },
    /// The entry host's link with this number closed.
    EntryClosed(HostId, u64),
}

/// Outgoing link to one control host, opened again whenever it closes.
pub(super) struct PeerLink {
    queue: mpsc::Sender<ControlMessage>,
    reachable: Rc<Notify>,
}

impl PeerLink {
    /// Spawns the task that keeps the link open; it ends when the `PeerLink` is
    /// dropped.
    pub(super) fn start(own_id: HostId, peer: HostId, port: u16, metrics: HostMetrics) -> Self {
        let (queue, mut messages) = mpsc::channel(PEER_QUEUE_LENGTH);
        let reachable = Rc::new(Notify::new());
        let peer_reachable = reachable.clone();
        tokio::task::spawn_local(async move {
            let mut dialler = LinkDialler::new(host_address(peer, port));
            while !messages.is_closed() {
                let result =
                    send_messages(own_id, &mut dialler, &mut messages, &peer_reachable, &metrics)
                        .await;
                if let Err(error) = result {
                    tracing::debug!(
                        target: "control", %peer, %error,
                        "link to control host closed; opening it again"
                    );
                }
                while messages.try_recv().is_ok() {}
                tokio::select! {
                    () = sleep(REDIAL_DELAY) => {}
                    () = peer_reachable.notified() => {}
                }
            }
        });
        Self { queue, reachable }
    }

    /// Queues a message; false if it was dropped because the queue is full.
    pub(super) fn send(&self, message: ControlMessage) -> bool {
        self.queue.try_send(message).is_ok()
    }

    /// Ends the redial delay or the current connection attempt and starts a new
    /// attempt: the host has just opened a link to this one, so it is reachable.
    pub(super) fn notify_reachable(&self) {
        self.reachable.notify_waiters();
    }
}

async fn send_messages(
    own_id: HostId,
    dialler: &mut LinkDialler,
    messages: &mut mpsc::Receiver<ControlMessage>,
    reachable: &Notify,
    metrics: &HostMetrics,
) -> io::Result<()> {
    let opened = tokio::select! {
        opened = dialler.open_link() => Some(opened),
        () = reachable.notified() => None,
    };
    let (mut reader, mut writer) = match opened {
        Some(opened) => opened?,
        None => dialler.open_link().await?,
    };
    writer
        .send(&LinkFrame::Hello {
            role: LinkRole::Control,
            host: own_id,
            data_centre: None,
            unpacks_records: false,
        })
        .await?;
    loop {
        tokio::select! {
            biased;
            // The peer sends no frames on this link; only its end is awaited.
            frame = reader.next() => return frame.map(|_| ()),
            message = messages.recv() => {
                let Some(message) = message else {
                    return Ok(());
                };
                let to_frame = |message| LinkFrame::Control(Box::new(message));
                send_queued(&mut writer, message, messages, to_frame, metrics).await?;
            }
        }
    }
}

/// Accepts links from control and entry hosts and numbers them in order.
pub(super) async fn accept_links(
    listener: TcpListener,
    events: mpsc::UnboundedSender<LinkEvent>,
    metrics: HostMetrics,
) {
    let count = Cell::new(0);
    accept_connections(listener, "host", move |stream| {
        count.set(count.get() + 1);
        let (number, events, metrics) = (count.get(), events.clone(), metrics.clone());
        tokio::task::spawn_local(async move {
            if let Err(error) = serve_link(stream, number, &events, &metrics).await {
                tracing::debug!(target: "control", %error, "incoming link failed; closed");
            }
        });
    })
    .await;
}

async fn serve_link(
    stream: TcpStream,
    number: u64,
    events: &mpsc::UnboundedSender<LinkEvent>,
    metrics: &HostMetrics,
) -> io::Result<()> {
    let (mut reader, writer) = frame_connection(stream)?;
    match timeout(HELLO_TIMEOUT, reader.next()).await?? {
        Some(LinkFrame::Hello { role: LinkRole::Control, host, .. }) => {
            send(events, ControlEvent::PeerLinked(host));
            receive_frames(&mut reader, events, |frame| match frame {
                LinkFrame::Control(message) => Some(ControlEvent::Peer(host, *message)),
                _ => None,
            })
            .await
        }
        Some(LinkFrame::Hello { role: LinkRole::Entry, host, data_centre, unpacks_records }) => {
            let (queue, updates) = mpsc::channel(ENTRY_QUEUE_LENGTH);
            let hello = EntryHello { data_centre, unpacks_records };
            let _ = events.send(LinkEvent::EntryOpened { host, hello, number, queue });
            let result = serve_entry(host, &mut reader, writer, updates, events, metrics).await;
            let _ = events.send(LinkEvent::EntryClosed(host, number));
            result
        }
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Passes on the event of each frame until the link ends; fails for a frame that has
/// none, which a host of this role does not send.
async fn receive_frames(
    reader: &mut FrameReader,
    events: &mpsc::UnboundedSender<LinkEvent>,
    to_event: impl Fn(LinkFrame) -> Option<ControlEvent>,
) -> io::Result<()> {
    while let Some(frame) = reader.next().await? {
        let event = to_event(frame).ok_or(io::ErrorKind::InvalidData)?;
        send(events, event);
    }
    Ok(())
}

async fn serve_entry(
    host: HostId,
    reader: &mut FrameReader,
    writer: FrameWriter,
    updates: mpsc::Receiver<EntryUpdate>,
    events: &mpsc::UnboundedSender<LinkEvent>,
    metrics: &HostMetrics,
) -> io::Result<()> {
    let reports = receive_frames(reader, events, |frame| match frame {
        LinkFrame::Report(report) => Some(ControlEvent::Entry(host, report)),
        _ => None,
    });
    // Reports are read also while an update waits for a narrow link.
    tokio::select! {
        result = reports => result,
        result = send_updates(writer, updates, metrics) => result,
    }
}

async fn send_updates(
    mut writer: FrameWriter,
    mut updates: mpsc::Receiver<EntryUpdate>,
    metrics: &HostMetrics,
) -> io::Result<()> {
    while let Some(update) = updates.recv().await {
        send_queued(&mut writer, update, &mut updates, LinkFrame::Update, metrics).await?;
    }
    Ok(())
}

/// Sends a message and those that are queued behind it, and counts their bytes.
async fn send_queued<T>(
    writer: &mut FrameWriter,
    first: T,
    queue: &mut mpsc::Receiver<T>,
    to_frame: impl Fn(T) -> LinkFrame,
    metrics: &HostMetrics,
) -> io::Result<()> {
    let mut next = Some(first);
    while let Some(message) = next {
        let frame = to_frame(message);
        let bytes = writer.feed(&frame).await?;
        metrics.count_sent(frame.kind(), bytes);
        next = queue.try_recv().ok();
    }
    timeout(SEND_TIMEOUT, writer.flush()).await?
}

fn send(events: &mpsc::UnboundedSender<LinkEvent>, event: ControlEvent) {
    // Sending cannot fail: the service runs until the process exits.
    let _ = events.send(LinkEvent::Control(event));
}
