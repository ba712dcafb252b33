use std::{collections::HashMap, net::SocketAddr};

use hawthornstack_decisions::{identity::HostId, pg_host::PeerMessage};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::{net::TcpListener, sync::mpsc::Sender};
use tokio_util::sync::CancellationToken;

use super::peer_link::{LinkContext, PeerLink};
use crate::{metrics::DaemonMetrics, pg_host::HostMessage};

/// Requests to the peers service.
#[derive(Debug)]
pub enum PeersMessage {
    /// Send a message to a host.
    Send {
        /// The host.
        to: HostId,
        /// Where it listens, if known.
        address: Option<SocketAddr>,
        /// The message.
        message: PeerMessage,
    },
    /// A host opened a link; answers go to the queue.
    Opened(HostId, Sender<PeerMessage>),
    /// A dialled link ended.
    Closed(HostId),
}

/// Keeps links to other hosts.
#[derive(Debug)]
pub struct PeersService;

/// What the service needs at its start.
#[derive(Debug)]
pub struct PeersArguments {
    /// This host.
    pub me: HostId,
    /// Where frames go.
    pub host: ActorRef<HostMessage>,
    /// Accepts links of other hosts.
    pub listener: TcpListener,
    /// Ends all links.
    pub cancel: CancellationToken,
    /// Counts frames.
    pub metrics: DaemonMetrics,
}

/// What the service holds while it runs.
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
        let PeersArguments { me, host, listener, cancel, metrics } = arguments;
        let context = LinkContext { me, host, peers: myself, cancel, metrics };
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
