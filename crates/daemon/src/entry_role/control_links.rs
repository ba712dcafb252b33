use std::{collections::BTreeMap, io, rc::Rc, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    control_role::{EntryReport, EntryUpdate, LinkFrame, LinkRole},
    identity::HostId,
    primaries::{ServiceTerm, TermPhase},
};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout_at},
};

use super::{
    entry_shared::{EntryShared, ShutdownStage},
    primary_probe::probe_primary,
};
use crate::links::{LinkDialler, host_address};

/// Time between two requests for a lease: a lease outlives six lost ones.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two requests to control hosts that do not lead, which shows
/// whether their links still work.
const IDLE_RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Silence after which a link to the leader is opened anew.
const LEADER_SILENCE: Duration = Duration::from_millis(1_200);
/// Silence after which any link is opened anew.
const LINK_SILENCE: Duration = Duration::from_secs(5);
/// Pause before a control host is dialled again: callers wait for the first
/// control host that is back after a loss of all.
const REDIAL_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for writes to end before a planned change of primary goes on.
const PLANNED_DRAIN: Duration = Duration::from_millis(400);

enum LinkEvent {
    Opened(HostId),
    Closed(HostId),
    Update(HostId, EntryUpdate),
    /// Index that this host may say it has applied.
    Applied(u64),
}

struct ControlLink {
    frames: mpsc::UnboundedSender<EntryReport>,
    is_open: bool,
    heard_at: Instant,
    asked_at: Instant,
}

/// Keeps a link to every control host, renews the lease and takes what control
/// says.
pub(super) struct ControlLinks {
    shared: Rc<EntryShared>,
    links: BTreeMap<HostId, ControlLink>,
    leader: Option<HostId>,
    events: mpsc::UnboundedSender<LinkEvent>,
    /// Applied, and drained where that was asked for.
    confirmed: u64,
}

impl ControlLinks {
    /// Runs until the host stops.
    pub(super) async fn run(
        shared: Rc<EntryShared>,
        mut reports: mpsc::UnboundedReceiver<EntryReport>,
    ) {
        let (events, mut received) = mpsc::unbounded_channel();
        let seeds = shared.settings.seeds.clone();
        let mut links = Self { shared, links: BTreeMap::new(), leader: None, events, confirmed: 0 };
        links.dial_all(&seeds);
        let mut renew_at = Instant::now();
        loop {
            tokio::select! {
                biased;
                Some(event) = received.recv() => links.take(event),
                Some(report) = reports.recv() => links.send_leader(&report),
                () = sleep_until(renew_at) => {
                    renew_at = Instant::now() + RENEW_INTERVAL;
                    links.renew_all();
                    links.shared.tend_pools();
                    links.shared.measure();
                }
            }
        }
    }

    fn dial_all(&mut self, hosts: &[HostId]) {
        for host in hosts {
            if !self.links.contains_key(host) {
                self.dial(*host);
            }
        }
    }

    fn dial(&mut self, host: HostId) {
        let (frames, queued) = mpsc::unbounded_channel();
        let now = Instant::now();
        self.links
            .insert(host, ControlLink { frames, is_open: false, heard_at: now, asked_at: now });
        let (shared, events) = (self.shared.clone(), self.events.clone());
        let tasks = shared.tasks.clone();
        tasks.spawn_local(async move {
            let cancel = shared.cancel.clone();
            let _ = cancel.run_until_cancelled(keep_link(&shared, host, queued, &events)).await;
        });
    }

    fn take(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Opened(host) => {
                if let Some(link) = self.links.get_mut(&host) {
                    link.is_open = true;
                    link.heard_at = Instant::now();
                }
                self.renew(host);
            }
            LinkEvent::Closed(host) => {
                if let Some(link) = self.links.get_mut(&host) {
                    link.is_open = false;
                }
                if self.leader == Some(host) {
                    self.leader = None;
                    self.renew_all();
                }
            }
            LinkEvent::Update(host, update) => {
                if let Some(link) = self.links.get_mut(&host) {
                    link.heard_at = Instant::now();
                }
                self.updated(host, update);
            }
            LinkEvent::Applied(index) => {
                if index > self.confirmed {
                    self.confirmed = index;
                    self.renew_leader();
                }
            }
        }
    }

    fn updated(&mut self, host: HostId, update: EntryUpdate) {
        let shared = self.shared.clone();
        let now = shared.now();
        match update {
            EntryUpdate::Grant { sent_at, duration, required_index, entry_hosts } => {
                self.leader = Some(host);
                shared.view.borrow_mut().extend_lease(
                    sent_at,
                    duration,
                    required_index,
                    entry_hosts,
                );
            }
            EntryUpdate::NotLeader { leader } => return self.leader_named(host, leader),
            EntryUpdate::State { index, routes, terms } => {
                self.leader = Some(host);
                let routes = match routes.map(|packed| packed.unpack()).transpose() {
                    Ok(routes) => routes.map(Arc::new),
                    Err(error) => {
                        // The next renewal asks for it again.
                        tracing::error!(target: "entry", %error, "configuration not read");
                        return;
                    }
                };
                let planned = newly_planned(&shared, &terms);
                let newer = shared.view.borrow_mut().apply_state(index, routes, terms);
                if newer {
                    self.confirm(index, planned);
                }
            }
            EntryUpdate::Hosts(hosts) => return self.dial_all(&hosts),
            EntryUpdate::EntryHosts(hosts) => shared.view.borrow_mut().set_entry_hosts(hosts),
            EntryUpdate::Announced(records) => {
                shared.view.borrow_mut().record_announcements(now, &records)
            }
            EntryUpdate::Departed(departures) => {
                shared.view.borrow_mut().record_departures(&departures)
            }
            EntryUpdate::Expired(departures) => {
                shared.view.borrow_mut().remove_expired(&departures)
            }
            EntryUpdate::Probe { service, number } => {
                return probe_primary(&shared, &service, number);
            }
        }
        shared.changed.notify_waiters();
    }

    /// Says that a state is applied; after the start of a planned change only
    /// once the writes under way have ended.
    fn confirm(&mut self, index: u64, planned: Vec<ServiceTerm>) {
        let (shared, events) = (self.shared.clone(), self.events.clone());
        if planned.is_empty() {
            let _ = events.send(LinkEvent::Applied(index));
            return;
        }
        let tasks = shared.tasks.clone();
        tasks.spawn_local(async move {
            let deadline = Instant::now() + PLANNED_DRAIN;
            loop {
                let changed = shared.changed.notified();
                let open = planned.iter().any(|t| shared.open_writes(&t.service, t.number) > 0);
                if !open || timeout_at(deadline, changed).await.is_err() {
                    break;
                }
            }
            let _ = events.send(LinkEvent::Applied(index));
        });
    }

    fn leader_named(&mut self, host: HostId, leader: Option<HostId>) {
        match leader {
            Some(leader) if leader != host => self.dial_all(&[leader]),
            _ => {}
        }
        let was_leader = self.leader == Some(host);
        let is_news = leader.is_some() && leader != self.leader;
        if was_leader || (self.leader.is_none() && is_news) {
            self.leader = leader.filter(|leader| *leader != host || !was_leader);
            self.renew_leader();
        }
    }

    fn renew_all(&mut self) {
        let now = Instant::now();
        let due: Vec<HostId> = self
            .links
            .iter()
            .filter(|(host, link)| {
                let leads = self.leader.is_none_or(|leader| leader == **host);
                leads || now - link.asked_at >= IDLE_RENEW_INTERVAL
            })
            .map(|(host, _)| *host)
            .collect();
        due.into_iter().for_each(|host| self.renew(host));
        self.drop_silent(now);
    }

    fn renew_leader(&mut self) {
        match self.leader {
            Some(leader) => self.renew(leader),
            None => self.renew_all(),
        }
    }

    fn renew(&mut self, host: HostId) {
        let view = self.shared.view.borrow();
        let report = EntryReport::Renew {
            sent_at: self.shared.now(),
            applied: self.confirmed,
            routes_version: view.routes_version(),
            leaving: self.shared.stage.get() != ShutdownStage::Serving,
        };
        if let Some(link) = self.links.get_mut(&host).filter(|link| link.is_open) {
            link.asked_at = Instant::now();
            // A closed queue means that the link is about to be dialled anew.
            let _ = link.frames.send(report);
        }
    }

    fn send_leader(&mut self, report: &EntryReport) {
        let links = self.links.iter().filter(|(host, link)| {
            link.is_open && self.leader.is_none_or(|leader| leader == **host)
        });
        for (_, link) in links {
            let _ = link.frames.send(report.clone());
        }
    }

    /// Opens links anew on which answers stay away.
    fn drop_silent(&mut self, now: Instant) {
        let silent: Vec<HostId> = self
            .links
            .iter()
            .filter(|(host, link)| {
                let limit = match self.leader == Some(**host) {
                    true => LEADER_SILENCE,
                    false => LINK_SILENCE,
                };
                link.is_open && now - link.heard_at > limit
            })
            .map(|(host, _)| *host)
            .collect();
        for host in silent {
            tracing::info!(target: "entry", control = %host, "control host is silent");
            if self.leader == Some(host) {
                self.leader = None;
            }
            self.dial(host);
        }
    }
}

/// Terms that a new state begins to end by plan.
fn newly_planned(shared: &EntryShared, terms: &[ServiceTerm]) -> Vec<ServiceTerm> {
    let view = shared.view.borrow();
    terms
        .iter()
        .filter(|term| term.phase == TermPhase::Fencing { planned: true })
        .filter(|term| view.term(&term.service).is_some_and(ServiceTerm::is_steady))
        .cloned()
        .collect()
}

/// Dials a control host again and again until the queue is replaced.
async fn keep_link(
    shared: &Rc<EntryShared>,
    host: HostId,
    mut queued: mpsc::UnboundedReceiver<EntryReport>,
    events: &mpsc::UnboundedSender<LinkEvent>,
) {
    let mut dialler = LinkDialler::new(host_address(host, shared.settings.link_port));
    while !queued.is_closed() {
        if let Err(error) = serve_link(shared, host, &mut dialler, &mut queued, events).await {
            tracing::debug!(target: "entry", control = %host, %error, "link to control closed");
        }
        if queued.is_closed() || events.send(LinkEvent::Closed(host)).is_err() {
            return;
        }
        while queued.try_recv().is_ok() {}
        sleep(REDIAL_PAUSE).await;
    }
}

async fn serve_link(
    shared: &Rc<EntryShared>,
    host: HostId,
    dialler: &mut LinkDialler,
    queued: &mut mpsc::UnboundedReceiver<EntryReport>,
    events: &mpsc::UnboundedSender<LinkEvent>,
) -> io::Result<()> {
    let (mut reader, mut writer) = dialler.open_link().await?;
    let hello = LinkFrame::Hello { role: LinkRole::Entry, host: shared.settings.me };
    writer.send(&hello).await?;
    let _ = events.send(LinkEvent::Opened(host));
    loop {
        tokio::select! {
            biased;
            frame = reader.next() => match frame? {
                Some(LinkFrame::Update(update)) => {
                    let _ = events.send(LinkEvent::Update(host, update));
                }
                Some(_) => return Err(io::ErrorKind::InvalidData.into()),
                None => return Ok(()),
            },
            report = queued.recv() => match report {
                Some(report) => writer.send(&LinkFrame::Report(report)).await?,
                None => return Ok(()),
            },
        }
    }
}
