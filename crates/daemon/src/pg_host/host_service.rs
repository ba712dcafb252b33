use std::{collections::HashMap, net::SocketAddr};

use hawthornstack_decisions::{
    agreement::JournalRecord,
    clock::Moment,
    identity::{HostId, RequestId},
    pg_host::{HostEffect, HostEvent, HostSettings, HostState, OperatorAnswer, OperatorQuestion},
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{mpsc::UnboundedSender, oneshot, watch};

use super::{HostMessage, RequestSignal, status_page::status_page};
use crate::{
    journal::JournalMessage,
    kernel::{HostClock, ServiceName},
    metrics::DaemonMetrics,
    pg_peers::PeersMessage,
    pg_upstreams::UpstreamsMessage,
};

/// Holds the host's decisions; every event passes through it, in order.
#[derive(Debug)]
pub struct HostService;

/// What the service needs at its start.
#[derive(Debug)]
pub struct HostArguments {
    /// Identity and times.
    pub settings: HostSettings,
    /// Records of the journal.
    pub journal: Vec<JournalRecord>,
    /// The host's clock.
    pub clock: HostClock,
    /// Number of this run, part of the services' names.
    pub run: u64,
    /// Addresses of the voters.
    pub voters: HashMap<HostId, SocketAddr>,
    /// Counts requests.
    pub metrics: DaemonMetrics,
    /// Told when an operator drains this host.
    pub draining: watch::Sender<bool>,
}

/// A caller's task that waits for signals.
struct WaitingRequest {
    signals: UnboundedSender<RequestSignal>,
    arrived_at: Moment,
}

/// What the service holds while it runs.
pub struct HostServiceState {
    state: HostState,
    id: HostId,
    clock: HostClock,
    run: u64,
    voters: HashMap<HostId, SocketAddr>,
    requests: HashMap<RequestId, WaitingRequest>,
    questions: HashMap<u64, oneshot::Sender<OperatorAnswer>>,
    last_ticket: u64,
    peers: Option<ActorRef<PeersMessage>>,
    journal: Option<ActorRef<JournalMessage>>,
    upstreams: Option<ActorRef<UpstreamsMessage>>,
    delayed: Vec<HostEffect>,
    metrics: DaemonMetrics,
    draining: watch::Sender<bool>,
}

impl Actor for HostService {
    type Msg = HostMessage;
    type State = HostServiceState;
    type Arguments = HostArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<HostMessage>,
        arguments: HostArguments,
    ) -> Result<HostServiceState, ActorProcessingErr> {
        let HostArguments { settings, journal, clock, run, voters, metrics, draining } = arguments;
        let id = settings.id();
        let state = HostState::new(settings, journal, clock.now());
        Ok(HostServiceState {
            state,
            id,
            clock,
            run,
            voters,
            requests: HashMap::new(),
            questions: HashMap::new(),
            last_ticket: 0,
            peers: None,
            journal: None,
            upstreams: None,
            delayed: Vec::new(),
            metrics,
            draining,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<HostMessage>,
        message: HostMessage,
        state: &mut HostServiceState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            HostMessage::Event(event) => state.step(event),
            HostMessage::Arrive(arrival, signals) => {
                let waiting = WaitingRequest { signals, arrived_at: state.clock.now() };
                state.requests.insert(arrival.request, waiting);
                state.step(HostEvent::RequestArrived(arrival));
            }
            HostMessage::Ask(question, answer) => state.ask(question, answer),
            HostMessage::Status(answer) => {
                let _ = answer.send(status_page(&state.state, state.id, state.clock.now()));
            }
            HostMessage::Audit(answer) => {
                let _ = answer.send(state.state.control().audit.clone());
            }
        }
        Ok(())
    }
}

impl HostServiceState {
    fn step(&mut self, event: HostEvent) {
        let effects = self.state.step(self.clock.now(), event);
        self.find_services();
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// The other services start after this one.
    fn find_services(&mut self) {
        if self.upstreams.is_some() && self.peers.is_some() {
            return;
        }
        self.peers = ServiceName::Peers.find(self.id, self.run);
        self.journal = ServiceName::Journal.find(self.id, self.run);
        self.upstreams = ServiceName::Upstreams.find(self.id, self.run);
        if self.upstreams.is_some() {
            for effect in std::mem::take(&mut self.delayed) {
                self.carry_out(effect);
            }
        }
    }

    fn ask(&mut self, question: OperatorQuestion, answer: oneshot::Sender<OperatorAnswer>) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.questions.insert(ticket, answer);
        self.step(HostEvent::OperatorAsked { ticket, question });
    }

    fn answer(&mut self, ticket: u64, answer: OperatorAnswer) {
        if let Some(question) = self.questions.remove(&ticket) {
            let _ = question.send(answer);
        }
    }

    fn signal(&mut self, request: RequestId, signal: RequestSignal) {
        let Some(waiting) = self.requests.get(&request) else {
            return;
        };
        let over = match &signal {
            RequestSignal::Dispatch { is_primary, .. } => {
                self.metrics.count_dispatch(*is_primary);
                false
            }
            RequestSignal::Forward(_) => true,
            RequestSignal::Conclude(conclusion) => {
                let elapsed = self.clock.now().since(waiting.arrived_at);
                self.metrics.count_request(conclusion.result, elapsed.as_secs_f64());
                true
            }
        };
        let gone = waiting.signals.send(signal).is_err();
        if over || gone {
            self.requests.remove(&request);
        }
    }

    fn address_of(&self, host: HostId) -> Option<SocketAddr> {
        let joined = self.state.control().hosts.get(&host).map(|record| record.peer_address);
        joined.or_else(|| self.voters.get(&host).copied())
    }

    fn carry_out(&mut self, effect: HostEffect) {
        match effect {
            HostEffect::Send(to, message) => {
                let address = self.address_of(to);
                if let Some(peers) = &self.peers {
                    let _ = peers.send_message(PeersMessage::Send { to, address, message });
                }
            }
            HostEffect::Persist { number, records } => {
                if let Some(journal) = &self.journal {
                    let _ = journal.send_message(JournalMessage::Persist { number, records });
                } else {
                    self.delayed.push(HostEffect::Persist { number, records });
                }
            }
            HostEffect::Watch { .. } | HostEffect::Unwatch(_) | HostEffect::Order { .. } => {
                self.instruct_upstreams(effect);
            }
            HostEffect::Dispatch { request, database, address, is_primary } => {
                let signal = RequestSignal::Dispatch { database, address, is_primary };
                self.signal(request, signal);
            }
            HostEffect::Forward(request, homes) => {
                self.signal(request, RequestSignal::Forward(homes));
            }
            HostEffect::Complete(request, conclusion) => {
                self.signal(request, RequestSignal::Conclude(conclusion));
            }
            HostEffect::Answer { ticket, answer } => self.answer(ticket, answer),
            HostEffect::SetDraining(draining) => {
                log::info!(target: "host", "An operator set draining to {draining}.");
                self.draining.send_replace(draining);
            }
            HostEffect::AnnouncementRefused { database, result } => {
                let number = result.number();
                let text = result.text();
                log::warn!(target: "host", "Announcement of {database} refused ({number}): {text}");
            }
            HostEffect::Log(text) => log::info!(target: "host", "{text}"),
        }
    }

    fn instruct_upstreams(&mut self, effect: HostEffect) {
        let Some(upstreams) = &self.upstreams else {
            self.delayed.push(effect);
            return;
        };
        let message = match effect {
            HostEffect::Watch { database, address } => {
                UpstreamsMessage::Watch { database, address }
            }
            HostEffect::Unwatch(database) => UpstreamsMessage::Unwatch(database),
            HostEffect::Order { database, address, order } => {
                UpstreamsMessage::Order { database, address, order }
            }
            _ => return,
        };
        let _ = upstreams.send_message(message);
    }
}

/// Names of voters by number, as settings give them.
pub(crate) fn voter_addresses(
    settings: &crate::settings::DaemonSettings,
) -> HashMap<HostId, SocketAddr> {
    let voters = settings.control.voters.iter();
    voters.map(|voter| (voter.id, voter.peers)).collect()
}
