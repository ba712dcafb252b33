use std::{collections::HashMap, net::SocketAddr};

use hawthornstack_decisions::{
    agreement::JournalRecord,
    clock::Moment,
    identity::{HostId, RequestId},
    pg_host::{HostEffect, HostEvent, HostSettings, HostState, OperatorAnswer, OperatorQuestion},
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{mpsc::UnboundedSender, oneshot, watch};

use super::{HostMessage, RequestSignal, status_response::build_status};
use crate::{
    journal::JournalMessage,
    kernel::{HostClock, ServiceName},
    metrics::DaemonMetrics,
    pg_peers::PeersMessage,
    pg_upstreams::UpstreamsMessage,
};

/// Runs the host's state machine: applies every event in order of arrival and
/// executes the effects.
#[derive(Debug)]
pub struct HostService;

/// Arguments with which the service starts.
#[derive(Debug)]
pub struct HostArguments {
    /// Settings of the state machine.
    pub settings: HostSettings,
    /// Records read from the journal; none if this host is no voter.
    pub journal: Vec<JournalRecord>,
    /// Clock of this daemon, shared with the other services.
    pub clock: HostClock,
    /// Random number of this run, part of the services' registry names.
    pub run_id: u64,
    /// Peer addresses of the voters, for those that have not joined yet.
    pub voters: HashMap<HostId, SocketAddr>,
    /// Metrics of requests and dispatches.
    pub metrics: DaemonMetrics,
    /// Set to true while an operator drains this host.
    pub draining: watch::Sender<bool>,
}

/// A request whose task waits for signals.
struct WaitingRequest {
    signals: UnboundedSender<RequestSignal>,
    arrived_at: Moment,
}

/// State of the running service.
pub struct HostServiceState {
    host_state: HostState,
    host_id: HostId,
    clock: HostClock,
    run_id: u64,
    voters: HashMap<HostId, SocketAddr>,
    waiting_requests: HashMap<RequestId, WaitingRequest>,
    /// Senders of operators' answers by ticket, the number of the question.
    pending_answers: HashMap<u64, oneshot::Sender<OperatorAnswer>>,
    last_ticket: u64,
    peers: Option<ActorRef<PeersMessage>>,
    journal: Option<ActorRef<JournalMessage>>,
    upstreams: Option<ActorRef<UpstreamsMessage>>,
    /// Effects for services that have not started yet.
    deferred_effects: Vec<HostEffect>,
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
        let HostArguments { settings, journal, clock, run_id, voters, metrics, draining } =
            arguments;
        let host_id = settings.id();
        let host_state = HostState::new(settings, journal, clock.now());
        Ok(HostServiceState {
            host_state,
            host_id,
            clock,
            run_id,
            voters,
            waiting_requests: HashMap::new(),
            pending_answers: HashMap::new(),
            last_ticket: 0,
            peers: None,
            journal: None,
            upstreams: None,
            deferred_effects: Vec::new(),
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
            HostMessage::Submit(arrival, signals) => {
                let waiting = WaitingRequest { signals, arrived_at: state.clock.now() };
                state.waiting_requests.insert(arrival.request, waiting);
                state.step(HostEvent::RequestArrived(arrival));
            }
            HostMessage::Ask(question, answer) => state.submit_question(question, answer),
            HostMessage::Status(answer) => {
                let _ =
                    answer.send(build_status(&state.host_state, state.host_id, state.clock.now()));
            }
            HostMessage::Audit(answer) => {
                let _ = answer.send(state.host_state.control().audit.clone());
            }
        }
        Ok(())
    }
}

impl HostServiceState {
    fn step(&mut self, event: HostEvent) {
        let effects = self.host_state.step(self.clock.now(), event);
        self.find_services();
        for effect in effects {
            self.execute_effect(effect);
        }
    }

    /// Looks up the other services, which start after this one. Once `Upstreams`, the
    /// last of them, is found, executes the deferred effects.
    fn find_services(&mut self) {
        if self.upstreams.is_some() && self.peers.is_some() {
            return;
        }
        self.peers = ServiceName::Peers.find(self.host_id, self.run_id);
        self.journal = ServiceName::Journal.find(self.host_id, self.run_id);
        self.upstreams = ServiceName::Upstreams.find(self.host_id, self.run_id);
        if self.upstreams.is_some() {
            for effect in std::mem::take(&mut self.deferred_effects) {
                self.execute_effect(effect);
            }
        }
    }

    fn submit_question(
        &mut self,
        question: OperatorQuestion,
        answer: oneshot::Sender<OperatorAnswer>,
    ) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.pending_answers.insert(ticket, answer);
        self.step(HostEvent::OperatorAsked { ticket, question });
    }

    fn send_answer(&mut self, ticket: u64, answer: OperatorAnswer) {
        if let Some(sender) = self.pending_answers.remove(&ticket) {
            let _ = sender.send(answer);
        }
    }

    /// Sends a signal to the task of a request and records it in the metrics. The
    /// entry is removed with the last signal, or once the task has ended.
    fn send_signal(&mut self, request: RequestId, signal: RequestSignal) {
        let Some(waiting) = self.waiting_requests.get(&request) else {
            return;
        };
        let is_last = match &signal {
            RequestSignal::Dispatch { is_primary, .. } => {
                self.metrics.count_dispatch(*is_primary);
                false
            }
            RequestSignal::Forward(_) => true,
            RequestSignal::Complete(request_result) => {
                let elapsed = self.clock.now().since(waiting.arrived_at);
                self.metrics.count_request(request_result.result, elapsed.as_secs_f64());
                true
            }
        };
        let task_ended = waiting.signals.send(signal).is_err();
        if is_last || task_ended {
            self.waiting_requests.remove(&request);
        }
    }

    /// Peer address of a host: as committed, or as in the settings for a voter that
    /// has not joined.
    fn find_address(&self, host: HostId) -> Option<SocketAddr> {
        let joined = self.host_state.control().hosts.get(&host).map(|record| record.peer_address);
        joined.or_else(|| self.voters.get(&host).copied())
    }

    fn execute_effect(&mut self, effect: HostEffect) {
        match effect {
            HostEffect::Send(to, message) => {
                let address = self.find_address(to);
                if let Some(peers) = &self.peers {
                    let _ = peers.send_message(PeersMessage::Send { to, address, message });
                }
            }
            HostEffect::Persist { number, records } => {
                if let Some(journal) = &self.journal {
                    let _ = journal.send_message(JournalMessage::Persist { number, records });
                } else {
                    self.deferred_effects.push(HostEffect::Persist { number, records });
                }
            }
            HostEffect::Watch { .. } | HostEffect::Unwatch(_) | HostEffect::Order { .. } => {
                self.send_to_upstreams(effect);
            }
            HostEffect::Dispatch { request, database, address, is_primary } => {
                let signal = RequestSignal::Dispatch { database, address, is_primary };
                self.send_signal(request, signal);
            }
            HostEffect::Forward(request, gateways) => {
                self.send_signal(request, RequestSignal::Forward(gateways));
            }
            HostEffect::Complete(request, result) => {
                self.send_signal(request, RequestSignal::Complete(result));
            }
            HostEffect::Answer { ticket, answer } => self.send_answer(ticket, answer),
            HostEffect::SetDraining(draining) => {
                log::info!(target: "host", "An operator set draining to {draining}.");
                self.draining.send_replace(draining);
            }
            HostEffect::AnnouncementRefused { database, result } => {
                let number = result.number();
                let text = result.text();
                log::warn!(target: "host", "Refused announcement of {database} ({number}): {text}");
            }
            HostEffect::Log(text) => log::info!(target: "host", "{text}"),
        }
    }

    fn send_to_upstreams(&mut self, effect: HostEffect) {
        let Some(upstreams) = &self.upstreams else {
            self.deferred_effects.push(effect);
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

/// Peer addresses of the voters, as given in the settings.
pub(crate) fn voter_addresses(
    settings: &crate::settings::DaemonSettings,
) -> HashMap<HostId, SocketAddr> {
    let voters = settings.control.voters.iter();
    voters.map(|voter| (voter.id, voter.peers)).collect()
}
