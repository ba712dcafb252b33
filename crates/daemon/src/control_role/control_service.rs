use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    path::PathBuf,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use hawthornstack_decisions::{
    clock::Moment,
    control_role::{
        ControlEffect, ControlEvent, ControlHost, ControlLogEvent, ControlSettings, EntryUpdate,
        OperatorOrder, OrderAnswer,
    },
    control_state::AuditRecord,
    identity::HostId,
    instances::{InstanceDeparture, InstanceKey, InstanceRecord},
    usage::CapChange,
};
use hawthornstack_wire::operators::StatusResponse;
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};

use super::{
    journal_thread::JournalThread,
    peer_links::{LinkEvent, PeerLink, accept_links},
    promotion_calls::PromotionCalls,
    status_page::build_status_page,
    status_query::StatusQuery,
};
use crate::{
    clock::BootClock,
    edges::{PromotionClient, UpstreamProtocol},
    kernel::KernelError,
    links::{bind_listener, host_address},
    metrics::HostMetrics,
};

/// Start options of a control host.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// Name of the host in logs, and the client name that it gives to databases.
    pub name: Arc<str>,
    /// Folder that holds the journal.
    pub data_folder: PathBuf,
    /// Port on which every control host accepts links from other hosts.
    pub link_port: u16,
    /// Settings of the [`ControlHost`].
    pub settings: ControlSettings,
}

enum ServiceEvent {
    Order(OperatorOrder, oneshot::Sender<OrderAnswer>),
    Control(ControlEvent),
    Status(oneshot::Sender<StatusResponse>),
    Audit(oneshot::Sender<Vec<AuditRecord>>),
}

/// Sends requests and events to a running control host.
#[derive(Clone)]
pub struct ControlHandle {
    events: mpsc::UnboundedSender<ServiceEvent>,
    connected: Rc<Cell<bool>>,
}

impl ControlHandle {
    /// Submits an operator's order and waits for the answer, which is
    /// `Unavailable` if the host has stopped.
    pub async fn order(&self, order: OperatorOrder) -> OrderAnswer {
        let (reply, answer) = oneshot::channel();
        if self.events.send(ServiceEvent::Order(order, reply)).is_err() {
            return OrderAnswer::Unavailable;
        }
        answer.await.unwrap_or(OrderAnswer::Unavailable)
    }

    /// True if this host is a current leader or follows a leader, so that events
    /// given to it reach the other hosts.
    pub fn is_connected(&self) -> bool {
        self.connected.get()
    }

    /// The state of the system as this host knows it; `None` if the host has
    /// stopped.
    pub async fn status(&self) -> Option<StatusResponse> {
        let (reply, page) = oneshot::channel();
        self.events.send(ServiceEvent::Status(reply)).ok()?;
        page.await.ok()
    }

    /// The audit trail as applied on this host; `None` if the host has stopped.
    pub async fn audit(&self) -> Option<Vec<AuditRecord>> {
        let (reply, records) = oneshot::channel();
        self.events.send(ServiceEvent::Audit(reply)).ok()?;
        records.await.ok()
    }

    /// Passes on a database's announcement; does not wait for its effects.
    pub fn announce(&self, record: InstanceRecord) {
        self.send(ControlEvent::Announced(record));
    }

    /// Passes on a database's notice that it has left; does not wait for its
    /// effects.
    pub fn depart(&self, departure: InstanceDeparture) {
        self.send(ControlEvent::Departed(departure));
    }

    /// Tells the other control hosts that this process stops shortly.
    pub fn announce_stop(&self) {
        self.send(ControlEvent::Stopping);
    }

    fn send(&self, event: ControlEvent) {
        // Sending cannot fail: the service runs until the process exits.
        let _ = self.events.send(ServiceEvent::Control(event));
    }
}

/// Starts a control host on the current thread's `LocalSet`.
///
/// # Errors
/// `KernelError` if the data folder or the port cannot be used.
pub fn start_control(
    options: ControlOptions,
    upstreams: Rc<dyn UpstreamProtocol>,
    promotions: Rc<dyn PromotionClient>,
    metrics: HostMetrics,
) -> Result<ControlHandle, KernelError> {
    let (persisted, journal_events) = mpsc::unbounded_channel();
    let (journal, records) = JournalThread::open(&options.data_folder, persisted)?;
    tracing::info!(target: "journal", records = records.len(), "journal opened");
    let address = host_address(options.settings.host, options.link_port);
    let listener =
        bind_listener(address).map_err(|source| KernelError::Listen { address, source })?;
    let (links, link_events) = mpsc::unbounded_channel();
    tokio::task::spawn_local(accept_links(listener, links, metrics.clone()));
    let (events, service_events) = mpsc::unbounded_channel();
    let clock = BootClock;
    let host = ControlHost::new(options.settings.clone(), records, clock.now());
    let connected = Rc::new(Cell::new(false));
    let service = ControlService {
        metrics,
        gauge_values: [f64::NAN; CONTROL_GAUGES.len()],
        connected: connected.clone(),
        clock,
        host,
        journal,
        upstreams,
        promotions: PromotionCalls::new(promotions),
        peers: HashMap::new(),
        entry_links: HashMap::new(),
        pending_orders: BTreeMap::new(),
        last_ticket: 0,
        events: events.clone(),
        options,
    };
    tokio::task::spawn_local(service.run(service_events, link_events, journal_events));
    Ok(ControlHandle { events, connected })
}

/// Gauges of a control host, in the order of the values in `update_gauges`.
const CONTROL_GAUGES: [&str; 6] = [
    "hawthornstack_control_leader",
    "hawthornstack_control_term",
    "hawthornstack_control_voters",
    "hawthornstack_control_entry_hosts",
    "hawthornstack_routes_version",
    "hawthornstack_applied_index",
];

struct ControlService {
    metrics: HostMetrics,
    gauge_values: [f64; CONTROL_GAUGES.len()],
    connected: Rc<Cell<bool>>,
    options: ControlOptions,
    clock: BootClock,
    host: ControlHost,
    journal: JournalThread,
    upstreams: Rc<dyn UpstreamProtocol>,
    promotions: PromotionCalls,
    peers: HashMap<HostId, PeerLink>,
    /// Number of the current link and its update queue, by entry host.
    entry_links: HashMap<HostId, (u64, mpsc::Sender<EntryUpdate>)>,
    /// Operators that wait for an answer, by ticket.
    pending_orders: BTreeMap<u64, oneshot::Sender<OrderAnswer>>,
    last_ticket: u64,
    events: mpsc::UnboundedSender<ServiceEvent>,
}

impl ControlService {
    async fn run(
        mut self,
        mut service_events: mpsc::UnboundedReceiver<ServiceEvent>,
        mut link_events: mpsc::UnboundedReceiver<LinkEvent>,
        mut journal_events: mpsc::UnboundedReceiver<ControlEvent>,
    ) {
        self.step(ControlEvent::Tick);
        loop {
            let delay = self.time_until_due();
            tokio::select! {
                biased;
                Some(event) = journal_events.recv() => self.step(event),
                Some(event) = link_events.recv() => self.handle_link_event(event),
                Some(event) = service_events.recv() => self.handle_service_event(event),
                () = sleep(delay) => self.step(ControlEvent::Tick),
            }
        }
    }

    fn time_until_due(&self) -> Duration {
        let now = self.clock.now();
        self.host.next_due(now).since(now)
    }

    fn handle_service_event(&mut self, event: ServiceEvent) {
        match event {
            ServiceEvent::Control(event) => self.step(event),
            ServiceEvent::Status(reply) => {
                // The requester may be gone by now, here and below.
                let _ = reply.send(self.status());
            }
            ServiceEvent::Audit(reply) => {
                let _ = reply.send(self.host.control().audit.clone());
            }
            ServiceEvent::Order(order, reply) => {
                self.last_ticket += 1;
                let ticket = self.last_ticket;
                self.pending_orders.insert(ticket, reply);
                self.step(ControlEvent::OperatorOrdered { ticket, order });
            }
        }
    }

    fn status(&self) -> StatusResponse {
        let (own_id, port) = (self.options.settings.host, self.options.link_port);
        build_status_page(&self.host, own_id, port, self.connected.get(), self.clock.now())
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Control(event) => {
                if let ControlEvent::PeerLinked(host) = &event
                    && let Some(peer) = self.peers.get(host)
                {
                    peer.notify_reachable();
                }
                self.step(event);
            }
            LinkEvent::EntryOpened { host, hello, number, queue } => {
                self.entry_links.insert(host, (number, queue));
                self.step(ControlEvent::EntryLinked(host, hello));
            }
            LinkEvent::EntryClosed(host, number) => {
                if self.entry_links.get(&host).is_some_and(|(current, _)| *current == number) {
                    self.entry_links.remove(&host);
                    self.step(ControlEvent::EntryClosed(host));
                }
            }
        }
    }

    fn step(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        let effects = self.host.step(now, event);
        let lead = self.host.lead(now);
        self.promotions.follow_lead(lead);
        effects.into_iter().for_each(|effect| self.execute_effect(effect));
        let agreement = self.host.agreement();
        let connected = match agreement.is_leader() {
            true => lead.is_some(),
            false => agreement.leader().is_some(),
        };
        self.connected.set(connected);
        self.update_gauges();
    }

    /// Sets all gauges if any value has changed.
    fn update_gauges(&mut self) {
        let agreement = self.host.agreement();
        let values = [
            f64::from(u8::from(agreement.is_leader())),
            agreement.term() as f64,
            agreement.voters().len() as f64,
            self.host.control().holders.len() as f64,
            self.host.control().routes_version() as f64,
            self.host.control().applied as f64,
        ];
        if values != self.gauge_values {
            for (name, value) in CONTROL_GAUGES.into_iter().zip(values) {
                self.metrics.set(name, value, &[]);
            }
            self.gauge_values = values;
        }
    }

    fn execute_effect(&mut self, effect: ControlEffect) {
        match effect {
            ControlEffect::Dial(peer) => {
                let (own_id, port) = (self.options.settings.host, self.options.link_port);
                let metrics = &self.metrics;
                self.peers
                    .entry(peer)
                    .or_insert_with(|| PeerLink::start(own_id, peer, port, metrics.clone()));
            }
            ControlEffect::SendPeer(to, message) => {
                let full = self.peers.get(&to).is_some_and(|peer| !peer.send(message));
                if full {
                    tracing::debug!(
                        target: "control", peer = %to,
                        "queue to the peer is full; message dropped"
                    );
                }
            }
            ControlEffect::SendEntry(to, update) => self.send_entry(to, update),
            ControlEffect::Persist { number, records } => self.journal.persist(number, records),
            ControlEffect::AskStatus { key, service, address, asked_at } => {
                self.query_status(StatusQuery { key, service, address }, asked_at);
            }
            ControlEffect::Promote { service, key, fence } => {
                self.request_promotion(service, key, fence);
            }
            ControlEffect::EndPromotions(service) => self.promotions.end(&service),
            ControlEffect::Answer(ticket, answer) => {
                if let Some(reply) = self.pending_orders.remove(&ticket) {
                    // The operator may be gone by now.
                    let _ = reply.send(answer);
                }
            }
            ControlEffect::Log(event) => write_log_event(&event),
        }
    }

    fn request_promotion(&mut self, service: Arc<str>, key: InstanceKey, fence: u64) {
        let Some(request) = self.promotions.prepare(&service, &key, fence) else {
            return;
        };
        tracing::info!(
            target: "control", %service, instance = %key, fence,
            "requesting the promotion of a database"
        );
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let result = request.await;
            tracing::info!(
                target: "control", %service, instance = %key, ?result,
                "promotion request ended"
            );
            let event = ControlEvent::PromoteAnswered { service, key, result };
            let _ = events.send(ServiceEvent::Control(event));
        });
    }

    /// Queues an update for an entry host. If its queue is full or closed, its
    /// link is closed: the entry host connects again and then gets the whole state.
    fn send_entry(&mut self, to: HostId, update: EntryUpdate) {
        let refused = self.entry_links.get(&to).is_some_and(|(_, q)| q.try_send(update).is_err());
        if refused {
            tracing::info!(
                target: "control", entry = %to,
                "update queue of the entry host is full or closed; closing its link"
            );
            self.entry_links.remove(&to);
            // Queued: handled after the effects of the current step.
            let _ = self.events.send(ServiceEvent::Control(ControlEvent::EntryClosed(to)));
        }
    }

    fn query_status(&self, query: StatusQuery, asked_at: Moment) {
        let (upstreams, events) = (self.upstreams.clone(), self.events.clone());
        let client = self.options.name.clone();
        tokio::task::spawn_local(async move {
            let status = query.run(&*upstreams, &client).await;
            tracing::info!(target: "control", instance = %query.key, ?status, "status query ended");
            let event = ControlEvent::StatusAnswered { key: query.key, asked_at, status };
            let _ = events.send(ServiceEvent::Control(event));
        });
    }
}

fn write_log_event(event: &ControlLogEvent) {
    match event {
        ControlLogEvent::LeadershipGained(term) => {
            tracing::info!(target: "control", term, "this host became the leader")
        }
        ControlLogEvent::LeadershipLost => {
            tracing::info!(target: "control", "this host is no longer the leader");
        }
        ControlLogEvent::VotersChanged(voters) => {
            tracing::info!(target: "control", ?voters, "voters changed")
        }
        ControlLogEvent::RoutesReplaced(version) => {
            tracing::info!(target: "control", version, "configuration replaced");
        }
        ControlLogEvent::TermChanged { service, number, what } => {
            tracing::info!(target: "control", %service, number, %what, "term changed");
        }
        ControlLogEvent::NoSuccessor { service, number, primary } => {
            tracing::warn!(
                target: "control",
                %service,
                number,
                instance = %primary,
                "primary is draining and no other database can replace it"
            );
        }
        ControlLogEvent::AnnouncementIgnored(key) => {
            tracing::warn!(
                target: "control", instance = %key,
                "announcement of a service that is not configured names another's database; ignored"
            );
        }
        ControlLogEvent::CapChanged(CapChange { workspace, capped: true }) => {
            tracing::info!(target: "control", %workspace, "workspace reached its cap");
        }
        ControlLogEvent::CapChanged(CapChange { workspace, capped: false }) => {
            tracing::info!(target: "control", %workspace, "workspace is within its cap again");
        }
        ControlLogEvent::InstanceChanged { key, what } => {
            tracing::info!(target: "control", instance = %key, what, "database changed");
        }
    }
}
