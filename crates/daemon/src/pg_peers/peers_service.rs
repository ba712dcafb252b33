use std::{collections::HashMap, net::SocketAddr};

use hawthornstack_decisions::{identity::HostId, pg_host::PeerMessage};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::{net::TcpListener, sync::mpsc::Sender};
use tokio_util::sync::CancellationToken;

use super::peer_link::{LinkContext, PeerLink};
use crate::{metrics::DaemonMetrics, pg_host::HostMessage};

/// Messages to the peers service.
#[derive(Debug)]
pub enum PeersMessage {
    /// Send a message to a host.
    Send {
        /// The receiving host.
        to: HostId,
        /// Address to dial if there is no open link; the message is dropped without it.
        address: Option<SocketAddr>,
        /// The message; it is dropped if the link's queue is full.
        message: PeerMessage,
    },
    /// A host opened a link; messages to it go to the queue.
    Opened(HostId, Sender<PeerMessage>),
    /// A link that this host dialled has ended.
    Closed(HostId),
}

/// Keeps one link to every host that it exchanges messages with.
#[derive(Debug)]
pub struct PeersService;

/// Arguments with which the service starts.
#[derive(Debug)]
pub struct PeersArguments {
    /// Number of this host.
    pub host_id: HostId,
    /// The host service, which gets the received messages.
    pub host: ActorRef<HostMessage>,
    /// Listener for links of other hosts.
    pub listener: TcpListener,
    /// Ends all links and stops the listener.
    pub cancel: CancellationToken,
    /// Metrics of sent and received frames.
    pub metrics: DaemonMetrics,
}

/// State of the running service.
pub struct PeersState {
    context: LinkContext,
    links: HashMap<HostId, PeerLink>,
}

impl Actor for PeersService {
    type Msg = PeersMessage;
    type State = PeersState;
    type Arguments = PeersArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<PeersMessage>,
        arguments: PeersArguments,
    ) -> Result<PeersState, ActorProcessingErr> {
        let PeersArguments { host_id, host, listener, cancel, metrics } = arguments;
        let context = LinkContext { host_id, host, peers: myself, cancel, metrics };
        tokio::spawn(accept_links(context.clone(), listener));
        Ok(PeersState { context, links: HashMap::new() })
    }

    async fn handle(
        &self,
        _myself: ActorRef<PeersMessage>,
        message: PeersMessage,
        state: &mut PeersState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            PeersMessage::Send { to, address, message } => state.send(to, address, message),
            PeersMessage::Opened(host, queue) => {
                state.links.insert(host, PeerLink::from_queue(queue));
            }
            PeersMessage::Closed(host) => {
                state.links.remove(&host);
            }
        }
        Ok(())
    }
}

impl PeersState {
    fn send(&mut self, to: HostId, address: Option<SocketAddr>, message: PeerMessage) {
        if let Some(link) = self.links.get(&to)
            && link.send(message.clone())
        {
            return;
        }
        let Some(address) = address else {
            return;
        };
        let link = PeerLink::dial(self.context.clone(), to, address);
        link.send(message);
        self.links.insert(to, link);
    }
}

async fn accept_links(context: LinkContext, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = context.cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _)) = accepted {
            PeerLink::accept(context.clone(), stream);
        }
    }
}
