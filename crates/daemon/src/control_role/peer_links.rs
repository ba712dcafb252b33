use std::{cell::Cell, io, rc::Rc, time::Duration};

use hawthornstack_decisions::{
    control_role::{ControlEvent, ControlMessage, EntryUpdate, LinkFrame, LinkRole},
    identity::HostId,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc},
    time::{sleep, timeout},
};

use crate::links::{FrameReader, FrameWriter, LinkDialler, accept_each, accept_link, host_address};

/// Pause before a control host is dialled again.
const REDIAL_PAUSE: Duration = Duration::from_millis(100);
/// Messages that may wait for a control host; more are dropped, since the
/// protocol between voters repeats what matters.
const PEER_QUEUE: usize = 512;
/// Updates that may wait for an entry host before its link is closed.
const ENTRY_QUEUE: usize = 256;
/// Time for the first frame of a link.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a frame to be taken; longer silences close the link.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// What links tell the control service.
pub(super) enum LinkEvent {
    /// A fact for the decisions.
    Control(ControlEvent),
    /// An entry host opened a link; updates go to the queue.
    EntryOpened(HostId, u64, mpsc::Sender<EntryUpdate>),
    /// The link with this number closed.
    EntryClosed(HostId, u64),
}

/// The way to one control host.
pub(super) struct PeerDialler {
    queue: mpsc::Sender<ControlMessage>,
    reached: Rc<Notify>,
}

impl PeerDialler {
    /// Keeps a link up.
    pub(super) fn start(me: HostId, peer: HostId, port: u16) -> Self {
        let (queue, mut messages) = mpsc::channel(PEER_QUEUE);
        let reached = Rc::new(Notify::new());
        let peer_reached = reached.clone();
        tokio::task::spawn_local(async move {
            let mut dialler = LinkDialler::new(host_address(peer, port));
            while !messages.is_closed() {
                let result = send_messages(me, &mut dialler, &mut messages, &peer_reached).await;
                if let Err(error) = result {
                    tracing::debug!(target: "control", %peer, %error, "link to control host closed");
                }
                while messages.try_recv().is_ok() {}
                tokio::select! {
                    () = sleep(REDIAL_PAUSE) => {}
                    () = peer_reached.notified() => {}
                }
            }
        });
        Self { queue, reached }
    }

    /// Sends a message; false if too many wait.
    pub(super) fn send(&self, message: ControlMessage) -> bool {
        self.queue.try_send(message).is_ok()
    }

    /// The host has just opened a link here, so that it can be reached: an
    /// attempt that waits for it starts anew.
    pub(super) fn note_reached(&self) {
        self.reached.notify_waiters();
    }
}

async fn send_messages(
    me: HostId,
    dialler: &mut LinkDialler,
    messages: &mut mpsc::Receiver<ControlMessage>,
    reached: &Notify,
) -> io::Result<()> {
    let opened = tokio::select! {
        opened = dialler.open_link() => Some(opened),
        () = reached.notified() => None,
    };
    let (mut reader, mut writer) = match opened {
        Some(opened) => opened?,
        None => dialler.open_link().await?,
    };
    writer.send(&LinkFrame::Hello { role: LinkRole::Control, host: me }).await?;
    loop {
        tokio::select! {
            biased;
            // Nothing comes this way but the end of the link.
            frame = reader.next() => return frame.map(|_| ()),
            message = messages.recv() => {
                let Some(message) = message else {
                    return Ok(());
                };
                writer.feed(&LinkFrame::Control(Box::new(message))).await?;
                while let Ok(message) = messages.try_recv() {
                    writer.feed(&LinkFrame::Control(Box::new(message))).await?;
                }
                timeout(SEND_TIMEOUT, writer.flush()).await??;
            }
        }
    }
}

/// Accepts links of control and entry hosts.
pub(super) async fn accept_links(listener: TcpListener, events: mpsc::UnboundedSender<LinkEvent>) {
    let count = Cell::new(0);
    accept_each(listener, "host", move |stream| {
        count.set(count.get() + 1);
        let (number, events) = (count.get(), events.clone());
        tokio::task::spawn_local(async move {
            if let Err(error) = serve_link(stream, number, &events).await {
                tracing::debug!(target: "control", %error, "a link closed");
            }
        });
    })
    .await;
}

async fn serve_link(
    stream: TcpStream,
    number: u64,
    events: &mpsc::UnboundedSender<LinkEvent>,
) -> io::Result<()> {
    let (mut reader, writer) = accept_link(stream)?;
    match timeout(HELLO_TIMEOUT, reader.next()).await?? {
        Some(LinkFrame::Hello { role: LinkRole::Control, host }) => {
            send(events, ControlEvent::PeerLinked(host));
            receive_messages(host, &mut reader, events).await
        }
        Some(LinkFrame::Hello { role: LinkRole::Entry, host }) => {
            let (queue, updates) = mpsc::channel(ENTRY_QUEUE);
            let _ = events.send(LinkEvent::EntryOpened(host, number, queue));
            let result = serve_entry(host, &mut reader, writer, updates, events).await;
            let _ = events.send(LinkEvent::EntryClosed(host, number));
            result
        }
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

async fn receive_messages(
    peer: HostId,
    reader: &mut FrameReader,
    events: &mpsc::UnboundedSender<LinkEvent>,
) -> io::Result<()> {
    while let Some(frame) = reader.next().await? {
        let LinkFrame::Control(message) = frame else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        send(events, ControlEvent::Peer(peer, *message));
    }
    Ok(())
}

async fn serve_entry(
    host: HostId,
    reader: &mut FrameReader,
    mut writer: FrameWriter,
    mut updates: mpsc::Receiver<EntryUpdate>,
    events: &mpsc::UnboundedSender<LinkEvent>,
) -> io::Result<()> {
    loop {
        tokio::select! {
            biased;
            frame = reader.next() => match frame? {
                Some(LinkFrame::Report(report)) => send(events, ControlEvent::Entry(host, report)),
                Some(_) => return Err(io::ErrorKind::InvalidData.into()),
                None => return Ok(()),
            },
            update = updates.recv() => {
                let Some(update) = update else {
                    return Ok(());
                };
                writer.feed(&LinkFrame::Update(update)).await?;
                while let Ok(update) = updates.try_recv() {
                    writer.feed(&LinkFrame::Update(update)).await?;
                }
                timeout(SEND_TIMEOUT, writer.flush()).await??;
            }
        }
    }
}

fn send(events: &mpsc::UnboundedSender<LinkEvent>, event: ControlEvent) {
    // The service ends only with the process.
    let _ = events.send(LinkEvent::Control(event));
}
