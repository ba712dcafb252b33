use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    path::PathBuf,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use hawthornstack_decisions::{
    control_role::{
        ControlEffect, ControlEvent, ControlHost, ControlLogEvent, ControlSettings, EntryUpdate,
        OperatorOrder, OrderAnswer,
    },
    control_state::AuditRecord,
    identity::HostId,
    instances::{InstanceDeparture, InstanceRecord},
};
use hawthornstack_wire::operators::StatusResponse;
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};

use super::{
    journal_thread::JournalThread,
    peer_links::{LinkEvent, PeerDialler, accept_links},
    status_pages::status_page,
    status_question::StatusQuestion,
};
use crate::{
    clock::BootClock,
    edges::{PromotionEdge, PromotionOrder, UpstreamProtocol},
    kernel::KernelError,
    links::{bind_listener, host_address},
    metrics::HostMetrics,
};

/// What a control host is told at its start.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// Name of the host, for logs and databases.
    pub name: Arc<str>,
    /// Folder for the journal.
    pub data_folder: PathBuf,
    /// Port on which control hosts accept links.
    pub link_port: u16,
    /// What the decisions are told.
    pub decisions: ControlSettings,
}

enum ServiceEvent {
    Order(OperatorOrder, oneshot::Sender<OrderAnswer>),
    Control(ControlEvent),
    Status(oneshot::Sender<Option<StatusResponse>>),
    Audit(oneshot::Sender<Vec<AuditRecord>>),
}

/// Talks to a running control host.
#[derive(Clone)]
pub struct ControlHandle {
    events: mpsc::UnboundedSender<ServiceEvent>,
    connected: Rc<Cell<bool>>,
}

impl ControlHandle {
    /// Gives an order and waits for its answer.
    pub async fn order(&self, order: OperatorOrder) -> OrderAnswer {
        let (answer, answered) = oneshot::channel();
        if self.events.send(ServiceEvent::Order(order, answer)).is_err() {
            return OrderAnswer::Unavailable;
        }
        answered.await.unwrap_or(OrderAnswer::Unavailable)
    }

    /// True if this host leads or follows a leader, so that what it is told
    /// reaches the others.
    pub fn is_connected(&self) -> bool {
        self.connected.get()
    }

    /// The system as this host sees it; `None` if it has a name that operators'
    /// pages cannot show, or if the host stops.
    pub async fn status(&self) -> Option<StatusResponse> {
        let (page, answered) = oneshot::channel();
        self.events.send(ServiceEvent::Status(page)).ok()?;
        answered.await.ok()?
    }

    /// The audit trail as applied on this host; `None` if the host stops.
    pub async fn audit(&self) -> Option<Vec<AuditRecord>> {
        let (records, answered) = oneshot::channel();
        self.events.send(ServiceEvent::Audit(records)).ok()?;
        answered.await.ok()
    }

    /// Takes an announcement of a database.
    pub fn announce(&self, record: InstanceRecord) {
        self.send(ControlEvent::Announced(record));
    }

    /// Takes a database's word that it is gone.
    pub fn depart(&self, departure: InstanceDeparture) {
        self.send(ControlEvent::Departed(departure));
    }

    fn send(&self, event: ControlEvent) {
        // The service ends only with the process.
        let _ = self.events.send(ServiceEvent::Control(event));
    }
}

/// Starts a control host on the current thread's local set.
///
/// # Errors
/// `KernelError` if the data folder or the port cannot be used.
pub fn start_control(
    options: ControlOptions,
    upstreams: Rc<dyn UpstreamProtocol>,
    promotions: Rc<dyn PromotionEdge>,
    metrics: HostMetrics,
) -> Result<ControlHandle, KernelError> {
    let (persisted, journal_events) = mpsc::unbounded_channel();
    let (journal, records) = JournalThread::open(&options.data_folder, persisted)?;
    tracing::info!(target: "journal", records = records.len(), "journal read");
    let address = host_address(options.decisions.host, options.link_port);
    let listener =
        bind_listener(address).map_err(|source| KernelError::Listen { address, source })?;
    let (links, link_events) = mpsc::unbounded_channel();
    tokio::task::spawn_local(accept_links(listener, links));
    let (events, received) = mpsc::unbounded_channel();
    let clock = BootClock;
    let host = ControlHost::new(options.decisions.clone(), records, clock.now());
    let connected = Rc::new(Cell::new(false));
    let service = ControlService {
        metrics,
        measured: [f64::NAN; CONTROL_GAUGES.len()],
        connected: connected.clone(),
        clock,
        host,
        journal,
        upstreams,
        promotions,
        peers: HashMap::new(),
        entries: HashMap::new(),
        orders: BTreeMap::new(),
        next_ticket: 0,
        events: events.clone(),
        options,
    };
    tokio::task::spawn_local(service.run(received, link_events, journal_events));
    Ok(ControlHandle { events, connected })
}

/// Gauges of a control host, in the order in which they are measured.
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
    measured: [f64; CONTROL_GAUGES.len()],
    connected: Rc<Cell<bool>>,
    options: ControlOptions,
    clock: BootClock,
    host: ControlHost,
    journal: JournalThread,
    upstreams: Rc<dyn UpstreamProtocol>,
    promotions: Rc<dyn PromotionEdge>,
    peers: HashMap<HostId, PeerDialler>,
    entries: HashMap<HostId, (u64, mpsc::Sender<EntryUpdate>)>,
    orders: BTreeMap<u64, oneshot::Sender<OrderAnswer>>,
    next_ticket: u64,
    events: mpsc::UnboundedSender<ServiceEvent>,
}

impl ControlService {
    async fn run(
        mut self,
        mut received: mpsc::UnboundedReceiver<ServiceEvent>,
        mut links: mpsc::UnboundedReceiver<LinkEvent>,
        mut persisted: mpsc::UnboundedReceiver<ControlEvent>,
    ) {
        self.step(ControlEvent::Tick);
        loop {
            let due = self.until_due();
            tokio::select! {
                biased;
                Some(event) = persisted.recv() => self.step(event),
                Some(event) = links.recv() => self.take_link_event(event),
                Some(event) = received.recv() => self.take_event(event),
                () = sleep(due) => self.step(ControlEvent::Tick),
            }
        }
    }

    fn until_due(&self) -> Duration {
        let now = self.clock.now();
        self.host.next_due(now).since(now)
    }

    fn take_event(&mut self, event: ServiceEvent) {
        match event {
            ServiceEvent::Control(event) => self.step(event),
            ServiceEvent::Status(page) => {
                // Whoever asked may have gone meanwhile, here and below.
                let _ = page.send(self.status());
            }
            ServiceEvent::Audit(records) => {
                let _ = records.send(self.host.control().audit.clone());
            }
            ServiceEvent::Order(order, answer) => {
                self.next_ticket += 1;
                let ticket = self.next_ticket;
                self.orders.insert(ticket, answer);
                self.step(ControlEvent::OperatorOrdered { ticket, order });
            }
        }
    }

    fn status(&self) -> Option<StatusResponse> {
        let (me, port) = (self.options.decisions.host, self.options.link_port);
        match status_page(&self.host, me, port, self.connected.get(), self.clock.now()) {
            Ok(page) => Some(page),
            Err(error) => {
                tracing::warn!(target: "control", %error, "status not shown");
                None
            }
        }
    }

    fn take_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Control(event) => {
                if let ControlEvent::PeerLinked(host) = &event
                    && let Some(peer) = self.peers.get(host)
                {
                    peer.note_reached();
                }
                self.step(event);
            }
            LinkEvent::EntryOpened(host, number, queue) => {
                self.entries.insert(host, (number, queue));
                self.step(ControlEvent::EntryLinked(host));
            }
            LinkEvent::EntryClosed(host, number) => {
                if self.entries.get(&host).is_some_and(|(current, _)| *current == number) {
                    self.entries.remove(&host);
                    self.step(ControlEvent::EntryClosed(host));
                }
            }
        }
    }

    fn step(&mut self, event: ControlEvent) {
        let effects = self.host.step(self.clock.now(), event);
        effects.into_iter().for_each(|effect| self.carry_out(effect));
        let agreement = self.host.agreement();
        let connected = match agreement.is_leader() {
            true => self.host.is_current_leader(self.clock.now()),
            false => agreement.leader().is_some(),
        };
        self.connected.set(connected);
        self.measure();
    }

    /// Sets the gauges where they changed.
    fn measure(&mut self) {
        let agreement = self.host.agreement();
        let values = [
            f64::from(u8::from(agreement.is_leader())),
            agreement.term() as f64,
            agreement.voters().len() as f64,
            self.host.control().holders.len() as f64,
            self.host.control().routes_version() as f64,
            self.host.control().applied as f64,
        ];
        if values != self.measured {
            for (name, value) in CONTROL_GAUGES.into_iter().zip(values) {
                self.metrics.set(name, value, &[]);
            }
            self.measured = values;
        }
    }

    fn carry_out(&mut self, effect: ControlEffect) {
        match effect {
            ControlEffect::Dial(peer) => {
                let (me, port) = (self.options.decisions.host, self.options.link_port);
                self.peers.entry(peer).or_insert_with(|| PeerDialler::start(me, peer, port));
            }
            ControlEffect::SendPeer(to, message) => {
                let full = self.peers.get(&to).is_some_and(|peer| !peer.send(message));
                if full {
                    tracing::debug!(target: "control", peer = %to, "message dropped, queue full");
                }
            }
            ControlEffect::SendEntry(to, update) => self.send_entry(to, update),
            ControlEffect::Persist { number, records } => self.journal.persist(number, records),
            ControlEffect::AskStatus { key, service, address } => {
                self.ask_status(StatusQuestion { key, service, address });
            }
            ControlEffect::Promote { service, key, fence } => {
                let order =
                    PromotionOrder { service: service.clone(), instance: key.id.clone(), fence };
                tracing::info!(target: "control", %service, instance = %key, fence, "promoting");
                let call = self.promotions.promote(order);
                let events = self.events.clone();
                tokio::task::spawn_local(async move {
                    let result = call.await;
                    tracing::info!(target: "control", %service, instance = %key, ?result, "promotion answered");
                    let event = ControlEvent::PromoteAnswered { service, key, result };
                    let _ = events.send(ServiceEvent::Control(event));
                });
            }
            ControlEffect::Answer(ticket, answer) => {
                if let Some(waiting) = self.orders.remove(&ticket) {
                    // The operator may have gone meanwhile.
                    let _ = waiting.send(answer);
                }
            }
            ControlEffect::Log(note) => write_note(&note),
        }
    }

    /// An entry host that does not take its updates is cut off: it connects
    /// again and gets the whole state.
    fn send_entry(&mut self, to: HostId, update: EntryUpdate) {
        let refused = self.entries.get(&to).is_some_and(|(_, q)| q.try_send(update).is_err());
        if refused {
            tracing::info!(target: "control", entry = %to, "entry host takes no updates");
            self.entries.remove(&to);
            // Taken up at once, since the step that sent this has ended.
            let _ = self.events.send(ServiceEvent::Control(ControlEvent::EntryClosed(to)));
        }
    }

    fn ask_status(&self, question: StatusQuestion) {
        let (upstreams, events) = (self.upstreams.clone(), self.events.clone());
        let caller = self.options.name.clone();
        tokio::task::spawn_local(async move {
            let status = question.ask(&*upstreams, &caller).await;
            tracing::info!(target: "control", instance = %question.key, ?status, "status");
            let event = ControlEvent::StatusAnswered(question.key, status);
            let _ = events.send(ServiceEvent::Control(event));
        });
    }
}

fn write_note(note: &ControlLogEvent) {
    match note {
        ControlLogEvent::LeadershipGained(term) => {
            tracing::info!(target: "control", term, "this host leads")
        }
        ControlLogEvent::LeadershipLost => {
            tracing::info!(target: "control", "this host no longer leads");
        }
        ControlLogEvent::VotersChanged(voters) => {
            tracing::info!(target: "control", ?voters, "voters")
        }
        ControlLogEvent::RoutesReplaced(version) => {
            tracing::info!(target: "control", version, "configuration in force");
        }
        ControlLogEvent::TermChanged { service, number, what } => {
            tracing::info!(target: "control", %service, number, %what, "term");
        }
        ControlLogEvent::InstanceChanged { key, what } => {
            tracing::info!(target: "control", instance = %key, what, "database");
        }
    }
}
