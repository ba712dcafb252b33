use std::{collections::BTreeMap, io, rc::Rc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    control_role::{EntryReport, EntryUpdate, LinkFrame, LinkRole},
    entry_role::{GatewayMap, StateConfirmations},
    identity::HostId,
    primaries::{ServiceTerm, TermPhase},
    send_pace::SendPace,
};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout_at},
};

use super::{
    control_updates::{record_announcements, record_departures, unpack_state},
    entry_shared::{EntryShared, ShutdownStage},
    primary_probe::probe_primary,
};
use crate::links::{LinkDialler, host_address};

/// Interval between checks of idle connections and updates of gauges.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between renewals sent to control hosts that are not the leader, to
/// check that their links still work.
const FOLLOWER_RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest time between renewals by which this host follows control hosts that name a
/// leader: a third of an election.
const REDIRECT_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between renewals that confirm states. Services that change together are
/// confirmed together.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time between them. While hundreds of services change, each confirmation is
/// answered by the next state, and hundreds of hosts kept the leader busy with 10,000
/// confirmations a second.
const MAX_CONFIRM_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an update after which the link to the leader is reopened.
const LEADER_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time without an update after which any other link is reopened.
const LINK_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a control host is dialled again. It is short because after a loss
/// of all control hosts callers wait for the first one to return.
const REDIAL_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for open writes before a planned change of primary is confirmed.
const PLANNED_DRAIN_TIMEOUT: Duration = Duration::from_millis(400);

enum LinkEvent {
    Opened(HostId),
    Closed(HostId),
    Update(HostId, EntryUpdate),
    /// The writes of the terms that the state at this index ended are no longer
    /// open.
    WritesEnded(u64),
}

struct ControlLink {
    reports: mpsc::UnboundedSender<EntryReport>,
    is_open: bool,
    last_received_at: Instant,
    last_renewed_at: Instant,
}

/// Maintains a link to every control host, renews the lease and applies the updates
/// that the control hosts send.
pub(super) struct ControlLinks {
    shared: Rc<EntryShared>,
    links: BTreeMap<HostId, ControlLink>,
    leader: Option<HostId>,
    /// The host that sent the last grant, while its link is open.
    granted_by: Option<HostId>,
    events: mpsc::UnboundedSender<LinkEvent>,
    confirmations: StateConfirmations,
    redirects: SendPace,
    confirms: SendPace,
    /// A configuration could not be unpacked: states without one are not applied until
    /// it comes again, since leases would then prove a configuration that this host
    /// lacks.
    lacks_routes: bool,
}

impl ControlLinks {
    /// Runs until the host stops.
    pub(super) async fn run(
        shared: Rc<EntryShared>,
        mut reports: mpsc::UnboundedReceiver<EntryReport>,
    ) {
        let (events, mut received) = mpsc::unbounded_channel();
        let seeds = shared.settings.seeds.clone();
        let mut links = Self {
            shared: shared.clone(),
            links: BTreeMap::new(),
            leader: None,
            granted_by: None,
            events,
            confirmations: StateConfirmations::default(),
            redirects: SendPace::new(REDIRECT_INTERVAL),
            confirms: SendPace::growing(CONFIRM_INTERVAL, MAX_CONFIRM_INTERVAL),
            lacks_routes: false,
        };
        links.dial_all(&seeds);
        let (mut renewed_at, mut upkeep_at) = (None::<Instant>, Instant::now());
        loop {
            links.send_due_renewals();
            let interval = shared.view.borrow().renewal_interval();
            let renew_at = renewed_at.map_or_else(Instant::now, |at| at + interval);
            let requested = links.time_to_renewal();
            tokio::select! {
                biased;
                Some(event) = received.recv() => links.apply_event(event),
                () = sleep(requested.unwrap_or_default()), if requested.is_some() => {}
                Some(report) = reports.recv() => links.send_to_leader(&report),
                () = shared.usage.wait_for_request() => links.request_usage(),
                () = sleep_until(renew_at) => {
                    renewed_at = Some(Instant::now());
                    links.renew_all();
                }
                () = sleep_until(upkeep_at) => {
                    upkeep_at = Instant::now() + UPKEEP_INTERVAL;
                    links.shared.trim_pools();
                    links.shared.update_gauges();
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
        let (reports, queued) = mpsc::unbounded_channel();
        let now = Instant::now();
        self.links.insert(
            host,
            ControlLink { reports, is_open: false, last_received_at: now, last_renewed_at: now },
        );
        let (shared, events) = (self.shared.clone(), self.events.clone());
        let tasks = shared.tasks.clone();
        tasks.spawn_local(async move {
            let cancel = shared.cancel.clone();
            let _ = cancel.run_until_cancelled(maintain_link(&shared, host, queued, &events)).await;
        });
    }

    fn apply_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Opened(host) => {
                if let Some(link) = self.links.get_mut(&host) {
                    link.is_open = true;
                    link.last_received_at = Instant::now();
                }
                self.renew(host);
            }
            LinkEvent::Closed(host) => {
                if let Some(link) = self.links.get_mut(&host) {
                    link.is_open = false;
                }
                if self.lose_leader(host) {
                    self.renew_all();
                }
            }
            LinkEvent::Update(host, update) => {
                let shared = &self.shared;
                shared.view.borrow_mut().record_control_message(shared.now());
                if let Some(link) = self.links.get_mut(&host) {
                    link.last_received_at = Instant::now();
                }
                self.apply_update(host, update);
            }
            LinkEvent::WritesEnded(index) => {
                self.confirmations.record_writes_ended(index);
                self.renew_leader();
            }
        }
    }

    fn apply_update(&mut self, host: HostId, update: EntryUpdate) {
        let shared = self.shared.clone();
        let now = shared.now();
        match update {
            EntryUpdate::Grant { sent_at, duration, required_index, entry_hosts } => {
                self.leader = Some(host);
                if self.granted_by.replace(host) != Some(host) {
                    self.renew_followers(host);
                }
                shared.view.borrow_mut().extend_lease(
                    sent_at,
                    duration,
                    required_index,
                    entry_hosts,
                );
            }
            EntryUpdate::NotLeader { leader } => return self.follow_named_leader(host, leader),
            EntryUpdate::State { index, since, routes, terms, packed_terms } => {
                self.leader = Some(host);
                let has_routes = routes.is_some();
                let (routes, terms) = match unpack_state(&shared, routes, terms, packed_terms) {
                    Ok(state) => state,
                    Err(error) => {
                        tracing::error!(
                            target: "entry",
                            %error,
                            "failed to unpack a state; later renewals request it again"
                        );
                        self.lacks_routes |= has_routes;
                        return;
                    }
                };
                self.lacks_routes &= !has_routes;
                if self.lacks_routes {
                    return;
                }
                let planned = find_newly_planned(&shared, &terms);
                let newer = shared.view.borrow_mut().apply_state(index, since, routes, terms);
                if let Some(table) = shared.view.borrow().routes() {
                    shared.usage.follow(table);
                }
                if newer {
                    self.confirm_applied(index, planned);
                }
            }
            EntryUpdate::Hosts(hosts) => return self.dial_all(&hosts),
            EntryUpdate::EntryHosts(hosts) => {
                shared.view.borrow_mut().set_gateways(GatewayMap::without_places(hosts))
            }
            EntryUpdate::GatewayHosts(sites) => {
                shared.view.borrow_mut().set_gateways(GatewayMap::by_data_centre(sites))
            }
            EntryUpdate::Announced(records) => record_announcements(&shared, host, &records),
            EntryUpdate::PackedInstances(packed) => match packed.unpack() {
                Ok(records) => record_announcements(&shared, host, &records),
                Err(error) => {
                    tracing::error!(
                        target: "entry",
                        %error,
                        "failed to unpack announcements; a new link requests them again"
                    );
                    return self.reopen_link(host);
                }
            },
            EntryUpdate::Departed(departures) => record_departures(&shared, host, &departures),
            EntryUpdate::Expired(departures) => {
                shared.view.borrow_mut().remove_expired(&departures)
            }
            EntryUpdate::Probe { service, number } => {
                return probe_primary(&shared, &service, number);
            }
            EntryUpdate::UsageGrant { sent_at, lifetime, grants } => {
                return shared.usage.apply_grant(now, sent_at, lifetime, &grants);
            }
        }
        shared.changed.notify_waiters();
    }

    /// Confirms that a state is applied. If it starts a planned change of primary,
    /// waits until the open writes have ended, for `PLANNED_DRAIN_TIMEOUT` at most;
    /// later answers to them are not accepted.
    fn confirm_applied(&mut self, index: u64, planned: Vec<ServiceTerm>) {
        let ended_at = planned.iter().map(|term| term.since_index).min();
        self.confirmations.record_applied(index, ended_at);
        // Also while writes are open: the renewal requests what was committed since.
        self.confirms.request(self.shared.now());
        if planned.is_empty() {
            return;
        }
        let (shared, events) = (self.shared.clone(), self.events.clone());
        let tasks = shared.tasks.clone();
        tasks.spawn_local(async move {
            let deadline = Instant::now() + PLANNED_DRAIN_TIMEOUT;
            loop {
                let changed = shared.changed.notified();
                let open = planned.iter().any(|t| shared.open_writes(&t.service, t.number) > 0);
                if !open || timeout_at(deadline, changed).await.is_err() {
                    break;
                }
            }
            let mut view = shared.view.borrow_mut();
            planned.iter().for_each(|term| view.surrender_term(&term.service, term.number));
            drop(view);
            let _ = events.send(LinkEvent::WritesEnded(index));
        });
    }

    /// Records that the link to a control host is lost; true if it was the leader.
    fn lose_leader(&mut self, host: HostId) -> bool {
        self.granted_by.take_if(|granter| *granter == host);
        self.leader.take_if(|leader| *leader == host).is_some()
    }

    /// Replaces the link to a control host.
    fn reopen_link(&mut self, host: HostId) {
        self.lose_leader(host);
        self.dial(host);
    }

    /// Handles the answer of a control host that is not the leader: dials the
    /// leader that it names, if any, and renews the lease there.
    fn follow_named_leader(&mut self, host: HostId, leader: Option<HostId>) {
        match leader {
            Some(leader) if leader != host => self.dial_all(&[leader]),
            _ => {}
        }
        let was_leader = self.leader == Some(host);
        let is_new_leader = leader.is_some() && leader != self.leader;
        // A host that names itself was elected after the leader that this host knows.
        if was_leader || (is_new_leader && (self.leader.is_none() || leader == Some(host))) {
            self.leader = leader.filter(|leader| *leader != host || !was_leader);
            self.redirects.request(self.shared.now());
        }
    }

    /// Sends the renewals that messages of control hosts have requested.
    fn send_due_renewals(&mut self) {
        let now = self.shared.now();
        let is_redirected = self.redirects.take_due(now);
        let confirms = self.confirms.take_due(now);
        if is_redirected || confirms {
            self.renew_leader();
        }
    }

    /// Time until the next requested renewal, if any.
    fn time_to_renewal(&self) -> Option<Duration> {
        let due = [self.redirects.due(), self.confirms.due()].into_iter().flatten().min();
        due.map(|due: Moment| due.since(self.shared.now()))
    }

    /// Sends a renewal to the leader, or to all while it is unknown, and to the
    /// others after `FOLLOWER_RENEW_INTERVAL`; then reopens silent links.
    fn renew_all(&mut self) {
        let now = Instant::now();
        let due: Vec<HostId> = self
            .links
            .iter()
            .filter(|(host, link)| {
                let leads = self.leader.is_none_or(|leader| leader == **host);
                leads || now - link.last_renewed_at >= FOLLOWER_RENEW_INTERVAL
            })
            .map(|(host, _)| *host)
            .collect();
        due.into_iter().for_each(|host| self.renew(host));
        self.redial_silent_links(now);
    }

    /// Tells the other control hosts that the leader grants leases to this host, and so
    /// sends it all databases: the next leader sends what changed since.
    fn renew_followers(&mut self, leader: HostId) {
        let followers = self.links.keys().copied().filter(|host| *host != leader);
        let followers: Vec<HostId> = followers.collect();
        followers.into_iter().for_each(|host| self.renew(host));
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
            applied: self.confirmations.confirmed(),
            received: Some(view.applied()),
            follows: self.granted_by.filter(|host| self.leader == Some(*host)),
            // A whole configuration is sent to a host that has none.
            routes_version: if self.lacks_routes { 0 } else { view.routes_version() },
            leaving: self.shared.stage.get() != ShutdownStage::Serving,
        };
        if let Some(link) = self.links.get_mut(&host).filter(|link| link.is_open) {
            link.last_renewed_at = Instant::now();
            // If the queue is closed, the link is about to be replaced.
            let _ = link.reports.send(report);
        }
    }

    /// Sends a report to the leader, or to all open links while it is unknown.
    fn send_to_leader(&mut self, report: &EntryReport) {
        let links = self.links.iter().filter(|(host, link)| {
            link.is_open && self.leader.is_none_or(|leader| leader == **host)
        });
        for (_, link) in links {
            let _ = link.reports.send(report.clone());
        }
    }

    /// Requests tokens for all workspaces that are short of them.
    fn request_usage(&mut self) {
        if let Some(report) = self.shared.usage.next_request(self.shared.now()) {
            self.send_to_leader(&report);
        }
    }

    /// Replaces links on which no update came within their time limit.
    fn redial_silent_links(&mut self, now: Instant) {
        let silent: Vec<HostId> = self
            .links
            .iter()
            .filter(|(host, link)| {
                let limit = match self.leader == Some(**host) {
                    true => LEADER_SILENCE_TIMEOUT,
                    false => LINK_SILENCE_TIMEOUT,
                };
                link.is_open && now - link.last_received_at > limit
            })
            .map(|(host, _)| *host)
            .collect();
        for host in silent {
            tracing::info!(
                target: "entry",
                control = %host,
                "no answer from the control host; opening a new link"
            );
            self.reopen_link(host);
        }
    }
}

/// Terms that a new state starts to fence for a planned change of primary.
fn find_newly_planned(shared: &EntryShared, terms: &[ServiceTerm]) -> Vec<ServiceTerm> {
    let view = shared.view.borrow();
    terms
        .iter()
        .filter(|term| term.phase == TermPhase::Fencing { planned: true })
        .filter(|term| view.term(&term.service).is_some_and(ServiceTerm::is_steady))
        .cloned()
        .collect()
}

/// Connects to a control host, and reconnects after `REDIAL_DELAY` whenever the link
/// fails, until the sender of the queue is dropped because a new link replaces it.
async fn maintain_link(
    shared: &Rc<EntryShared>,
    host: HostId,
    mut queued: mpsc::UnboundedReceiver<EntryReport>,
    events: &mpsc::UnboundedSender<LinkEvent>,
) {
    let mut dialler = LinkDialler::new(host_address(host, shared.settings.link_port));
    while !queued.is_closed() {
        if let Err(error) = serve_link(shared, host, &mut dialler, &mut queued, events).await {
            tracing::debug!(
                target: "entry",
                control = %host,
                %error,
                "link to the control host failed; reconnecting"
            );
        }
        if queued.is_closed() || events.send(LinkEvent::Closed(host)).is_err() {
            return;
        }
        while queued.try_recv().is_ok() {}
        sleep(REDIAL_DELAY).await;
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
    let hello = LinkFrame::Hello {
        role: LinkRole::Entry,
        host: shared.settings.host,
        data_centre: Some(shared.settings.data_centre.clone()),
        unpacks_records: true,
    };
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
