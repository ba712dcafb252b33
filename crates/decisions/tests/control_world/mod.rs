//! Control hosts on a simulated clock and network: links with a delay, disks
//! with a sync time, and hosts that stop, freeze, lose their disks or are cut
//! off.

#![allow(dead_code, missing_docs, unused_imports)]

mod host_schedule;
mod promotion_calls;
mod records;
mod schedule_count;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use hawthornstack_decisions::{
    agreement::{AgreementMessage, AppendMessage, JournalRecord},
    clock::Moment,
    control_role::{
        ControlEffect, ControlEvent, ControlHost, ControlMessage, ControlSettings, EntryHello,
        EntryUpdate, OperatorOrder, OrderAnswer, PromoteResult,
    },
    identity::HostId,
    instances::{InstanceKey, InstanceRecord, InstanceRole},
    positions::LogPosition,
    primaries::InstanceStatus,
};

pub use host_schedule::HostSchedule;
use promotion_calls::{PromotionCall, PromotionCalls};
pub use records::{departure_of, instance, numbered_instance, renewal, table};
pub use schedule_count::schedule_count;

/// One-way delay between two hosts.
const LINK_DELAY: Duration = Duration::from_millis(1);
/// Default duration of a disk sync.
const SYNC_TIME: Duration = Duration::from_millis(1);

/// Time for which a stopping host goes on.
const STOP_TIME: Duration = Duration::from_millis(200);

pub struct WorldHost {
    pub host: Option<ControlHost>,
    pub disk: Vec<JournalRecord>,
    pub frozen: bool,
    pub sync_time: Duration,
    /// Time at which all syncs so far are done; the disk syncs in order.
    disk_free_at: Moment,
    boot: u64,
    unsynced: Vec<JournalRecord>,
    dialled: BTreeSet<HostId>,
    linked: BTreeSet<HostId>,
}

enum SimulatedEvent {
    Delivered {
        to: HostId,
        boot: u64,
        event: ControlEvent,
    },
    Synced {
        host: HostId,
        boot: u64,
        number: u64,
        records: Vec<JournalRecord>,
    },
    /// The promotion of a database takes effect.
    Promoted {
        id: Arc<str>,
    },
}

pub struct ControlWorld {
    pub now: Moment,
    pub hosts: BTreeMap<HostId, WorldHost>,
    pub cut_links: BTreeSet<(HostId, HostId)>,
    pub answers: BTreeMap<u64, OrderAnswer>,
    pub updates: Vec<(HostId, EntryUpdate)>,
    /// Databases in the snapshots that control hosts wrote to their disks, by host.
    pub records_in_snapshots: BTreeMap<HostId, usize>,
    /// Snapshots of the log sent between control hosts.
    pub snapshots_sent: usize,
    /// Log entries sent to each control host.
    pub entries_sent: BTreeMap<HostId, usize>,
    /// Messages with log entries, if they are to be kept.
    pub kept_appends: Option<Vec<AppendMessage>>,
    /// Control hosts that sent the updates, in the same order.
    pub update_senders: Vec<HostId>,
    pub promoted: Vec<(Moment, HostId, InstanceKey, u64)>,
    promotion_calls: PromotionCalls,
    pub instances: BTreeMap<Arc<str>, InstanceRecord>,
    /// Terms that databases lead or follow, 1 unless listed.
    pub database_terms: BTreeMap<Arc<str>, u64>,
    /// Ends of the databases' logs, entry 1 of term 1 unless listed.
    pub log_ends: BTreeMap<Arc<str>, LogPosition>,
    /// Times after which databases' answers to status requests arrive, unless they arrive at once.
    pub status_delays: BTreeMap<Arc<str>, Duration>,
    /// `sync_replicas` of the service in configurations given from now on.
    pub sync_replicas: u32,
    /// Disks of control hosts that may be lost at once, as set at the next start of one.
    pub tolerated_losses: Option<usize>,
    /// Time from the call to the moment at which a database leads.
    pub promotion_time: Duration,
    /// Lease of entry hosts, as set at the next start of a control host.
    pub lease_duration: Duration,
    seeds: BTreeSet<HostId>,
    queue: BTreeMap<(Moment, u64), SimulatedEvent>,
    count: u64,
}

impl ControlWorld {
    /// Starts `count` hosts for the first time, all of them seeds.
    pub fn start(count: u32) -> Self {
        let seeds: BTreeSet<HostId> = (1..=count).map(HostId).collect();
        let mut world = Self {
            now: Moment::from_millis(1_000),
            hosts: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            answers: BTreeMap::new(),
            updates: Vec::new(),
            records_in_snapshots: BTreeMap::new(),
            snapshots_sent: 0,
            entries_sent: BTreeMap::new(),
            kept_appends: None,
            update_senders: Vec::new(),
            promoted: Vec::new(),
            promotion_calls: PromotionCalls::default(),
            instances: BTreeMap::new(),
            database_terms: BTreeMap::new(),
            log_ends: BTreeMap::new(),
            status_delays: BTreeMap::new(),
            sync_replicas: 0,
            tolerated_losses: Some(count as usize / 2),
            promotion_time: Duration::ZERO,
            lease_duration: Duration::from_millis(3_500),
            seeds: seeds.clone(),
            queue: BTreeMap::new(),
            count: 0,
        };
        for id in seeds {
            world.boot(id, true);
        }
        world
    }

    /// Starts three hosts and waits for their leader.
    pub fn start_with_leader() -> (Self, HostId) {
        let mut world = Self::start(3);
        world.run(Duration::from_secs(3));
        let leader = world.leader().expect("a leader");
        (world, leader)
    }

    /// Sets the control hosts that the settings of hosts name from now on.
    pub fn set_seeds(&mut self, seeds: BTreeSet<HostId>) {
        self.seeds = seeds;
    }

    /// Starts a host with what its disk holds.
    pub fn boot(&mut self, id: HostId, bootstrap: bool) {
        let settings = ControlSettings {
            host: id,
            seeds: self.seeds.clone(),
            bootstrap,
            election_timeout: Duration::from_millis(500),
            heartbeat_interval: Duration::from_millis(125),
            lease_duration: self.lease_duration,
            announcement_lifetime: Duration::from_secs(12),
            drain_period: Some(Duration::from_secs(7)),
            tolerated_losses: self.tolerated_losses,
            usage_bounds: Default::default(),
            // The agreement mixes the host's number into the seed; equal
            // results would make hosts draw the same election timeouts forever.
            seed: (self.count + 1) * 1_000_003 + u64::from(id.0) * 8_191,
        };
        let known = self.hosts.remove(&id);
        let (disk, boot) = known.map_or((Vec::new(), 1), |host| (host.disk, host.boot + 1));
        let host = ControlHost::new(settings, disk.clone(), self.now);
        let host = WorldHost {
            host: Some(host),
            disk,
            frozen: false,
            sync_time: SYNC_TIME,
            disk_free_at: self.now,
            boot,
            unsynced: Vec::new(),
            dialled: BTreeSet::new(),
            linked: BTreeSet::new(),
        };
        self.hosts.insert(id, host);
        self.step(id, ControlEvent::Tick);
    }

    /// Kills a host; its disk keeps the synced records.
    pub fn kill(&mut self, id: HostId) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.host = None;
            host.unsynced.clear();
        }
        self.promotion_calls.end_all(id);
        for other in self.hosts.values_mut() {
            other.linked.remove(&id);
        }
    }

    /// Ends a host as SIGTERM does: it says so and goes on for a moment.
    pub fn stop(&mut self, id: HostId) {
        self.step(id, ControlEvent::Stopping);
        self.run(STOP_TIME);
        self.kill(id);
    }

    /// Kills a host and empties its disk.
    pub fn wipe(&mut self, id: HostId) {
        self.kill(id);
        if let Some(host) = self.hosts.get_mut(&id) {
            host.disk.clear();
        }
    }

    /// Cuts a host off from others, or reconnects it.
    pub fn isolate(&mut self, id: HostId, others: &[HostId], cut: bool) {
        for other in others.iter().filter(|other| **other != id) {
            for pair in [(id, *other), (*other, id)] {
                match cut {
                    true => self.cut_links.insert(pair),
                    false => self.cut_links.remove(&pair),
                };
            }
        }
    }

    pub fn host(&self, id: HostId) -> Option<&ControlHost> {
        self.hosts.get(&id)?.host.as_ref()
    }

    /// The current leader, if there is one.
    pub fn leader(&self) -> Option<HostId> {
        self.leaders().next()
    }

    /// All hosts that claim to be the current leader; more than one is a fault.
    pub fn leaders(&self) -> impl Iterator<Item = HostId> + '_ {
        let leads =
            |id: &HostId| self.host(*id).is_some_and(|host| host.is_current_leader(self.now));
        self.hosts.keys().copied().filter(leads)
    }

    pub fn voters(&self, id: HostId) -> BTreeSet<HostId> {
        self.host(id).map(|host| host.agreement().voters().clone()).unwrap_or_default()
    }

    /// Gives an order to a host; the answer appears in `answers`.
    pub fn order(&mut self, id: HostId, order: OperatorOrder) -> u64 {
        self.count += 1;
        let ticket = self.count;
        self.step(id, ControlEvent::OperatorOrdered { ticket, order });
        ticket
    }

    /// Sends a configuration to the leader until it is accepted or the timeout
    /// has passed; true if it was accepted.
    pub fn replace(&mut self, version: u64, timeout: Duration) -> bool {
        let end = self.now + timeout;
        while self.now < end {
            if let Some(leader) = self.leader() {
                let mut table = table(version);
                table.services[0].sync_replicas = self.sync_replicas;
                let table = Arc::new(table);
                let ticket =
                    self.order(leader, OperatorOrder::ReplaceRoutes { table, at_unix_ms: 0 });
                self.run(Duration::from_millis(100));
                if matches!(self.answers.get(&ticket), Some(OrderAnswer::Accepted { .. })) {
                    return true;
                }
            }
            self.run(Duration::from_millis(50));
        }
        false
    }

    pub fn handle_event(&mut self, id: HostId, event: ControlEvent) {
        self.step(id, event);
    }

    /// Announces a database to a host and makes it answer status requests and
    /// promotions.
    pub fn announce(&mut self, id: HostId, record: &InstanceRecord) {
        self.instances.insert(record.key.id.clone(), record.clone());
        self.step(id, ControlEvent::Announced(record.clone()));
    }

    /// Announces the primary of a service of its own.
    pub fn announce_primary(&mut self, id: HostId, number: u64) {
        let service = Arc::from(format!("service-{number}"));
        let record = numbered_instance(number, InstanceRole::Primary);
        self.announce(id, &InstanceRecord { service, ..record });
    }

    /// Links an entry host without any state to a control host, where it renews its lease.
    pub fn link_and_renew(&mut self, at: HostId, entry: HostId, hello: EntryHello) {
        self.step(at, ControlEvent::EntryLinked(entry, hello));
        self.step(at, ControlEvent::Entry(entry, renewal(self.now, 0, 0, None)));
    }

    /// Repeats the announcements of all databases that answer, as they do themselves.
    pub fn repeat_announcements(&mut self, id: HostId) {
        let mut records: Vec<InstanceRecord> = self.instances.values().cloned().collect();
        for record in &mut records {
            record.sequence += 1;
            self.announce(id, record);
        }
    }

    /// Renews an entry host's lease at a control host, reporting the newest
    /// state that was sent to it.
    pub fn renew_lease(&mut self, at: HostId, entry: HostId) {
        let applied = self
            .updates
            .iter()
            .filter(|(host, _)| *host == entry)
            .filter_map(|(_, update)| match update {
                EntryUpdate::State { index, .. } => Some(*index),
                _ => None,
            })
            .max()
            .unwrap_or(0);
        let report = renewal(self.now, applied, 0, None);
        self.step(at, ControlEvent::Entry(entry, report));
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let next_event = self.queue.keys().next().map(|(at, _)| *at);
            let next_tick = self
                .hosts
                .iter()
                .filter(|(_, host)| !host.frozen)
                .filter_map(|(id, host)| Some((host.host.as_ref()?.next_due(self.now), *id)))
                .min();
            let tick_at = next_tick.map(|(at, _)| at.max(self.now));
            match (next_event, tick_at) {
                (Some(at), tick) if at <= end && tick.is_none_or(|tick| at <= tick) => {
                    self.now = self.now.max(at);
                    self.process_next_event();
                }
                (_, Some(at)) if at <= end => {
                    // The clock advances even if the tick changes nothing.
                    self.now = at.max(self.now + Duration::from_micros(100));
                    if let Some((_, id)) = next_tick {
                        self.step(id, ControlEvent::Tick);
                    }
                }
                _ => {
                    // The last tick may have moved the clock past the end.
                    self.now = self.now.max(end);
                    return;
                }
            }
        }
    }

    fn process_next_event(&mut self) {
        let Some((_, event)) = self.queue.pop_first() else {
            return;
        };
        match event {
            SimulatedEvent::Delivered { to, boot, event } => {
                let deliverable = self.hosts.get(&to).is_some_and(|h| h.boot == boot && !h.frozen);
                if deliverable {
                    self.step(to, event);
                }
            }
            SimulatedEvent::Promoted { id } => self.promote(&id),
            SimulatedEvent::Synced { host, boot, number, records } => {
                let Some(state) = self.hosts.get_mut(&host).filter(|h| h.boot == boot) else {
                    return;
                };
                if state.host.is_some() {
                    state.disk.extend(records);
                    self.step(host, ControlEvent::Persisted(number));
                }
            }
        }
    }

    /// Makes a database lead the next term. The old primary does not notice.
    fn promote(&mut self, id: &Arc<str>) {
        let newest = self.database_terms.values().max().copied().unwrap_or(1);
        if let Some(record) = self.instances.get_mut(id) {
            record.role = InstanceRole::Primary;
            self.database_terms.insert(id.clone(), newest + 1);
        }
    }

    fn schedule(&mut self, delay: Duration, event: SimulatedEvent) {
        self.count += 1;
        self.queue.insert((self.now + delay, self.count), event);
    }

    fn step(&mut self, id: HostId, event: ControlEvent) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id).and_then(|host| host.host.as_mut()) else {
            return;
        };
        let effects = host.step(now, event);
        self.promotion_calls.follow_lead(now, id, host.lead(now));
        for effect in effects {
            self.execute_effect(id, effect);
        }
    }

    fn record_call(&mut self, id: HostId, service: &Arc<str>, key: &InstanceKey, fence: u64) {
        let lead = self.host(id).and_then(|host| host.lead(self.now)).expect("a lead");
        assert_eq!(lead.term, fence);
        let call = PromotionCall {
            host: id,
            service: service.clone(),
            key: key.clone(),
            fence,
            ends_at: lead.ends_at,
        };
        self.promotion_calls.send(self.now, call);
    }

    fn can_reach(&self, from: HostId, to: HostId) -> bool {
        !self.cut_links.contains(&(from, to))
            && self.hosts.get(&to).is_some_and(|h| h.host.is_some())
    }

    /// Sends an event; the first one on a link is preceded by the opening of
    /// the link.
    fn send(&mut self, from: HostId, to: HostId, event: ControlEvent) {
        if !self.can_reach(from, to) {
            return;
        }
        let is_new = self.hosts.get_mut(&from).is_some_and(|host| host.linked.insert(to));
        let boot = self.hosts[&to].boot;
        if is_new {
            let event = ControlEvent::PeerLinked(from);
            self.schedule(LINK_DELAY, SimulatedEvent::Delivered { to, boot, event });
        }
        self.schedule(LINK_DELAY, SimulatedEvent::Delivered { to, boot, event });
    }

    fn execute_effect(&mut self, id: HostId, effect: ControlEffect) {
        match effect {
            ControlEffect::Dial(peer) => {
                if let Some(host) = self.hosts.get_mut(&id) {
                    host.dialled.insert(peer);
                }
                if self.can_reach(id, peer) {
                    self.hosts.get_mut(&id).map(|host| host.linked.insert(peer));
                    let boot = self.hosts[&peer].boot;
                    let event = ControlEvent::PeerLinked(id);
                    self.schedule(LINK_DELAY, SimulatedEvent::Delivered { to: peer, boot, event });
                }
            }
            ControlEffect::SendPeer(to, message) => {
                let dialled = self.hosts.get(&id).is_some_and(|h| h.dialled.contains(&to));
                if dialled {
                    let is_snapshot = matches!(
                        message,
                        ControlMessage::Agreement(AgreementMessage::InstallSnapshot { .. })
                    );
                    self.snapshots_sent += usize::from(is_snapshot);
                    if let ControlMessage::Agreement(AgreementMessage::Append(append)) = &message {
                        *self.entries_sent.entry(to).or_default() += append.entries.len();
                        if let Some(kept) = &mut self.kept_appends {
                            kept.push(append.clone());
                        }
                    }
                    self.send(id, to, ControlEvent::Peer(id, message));
                }
            }
            ControlEffect::SendEntry(to, update) => {
                self.updates.push((to, update));
                self.update_senders.push(id);
            }
            ControlEffect::Persist { number, records } => {
                let now = self.now;
                let copied = records.iter().map(|record| match record {
                    JournalRecord::Snapshot(snapshot) => snapshot.state.instances.len(),
                    _ => 0,
                });
                *self.records_in_snapshots.entry(id).or_default() += copied.sum::<usize>();
                let Some(host) = self.hosts.get_mut(&id) else {
                    return;
                };
                host.disk_free_at = host.disk_free_at.max(now) + host.sync_time;
                let (boot, delay) = (host.boot, host.disk_free_at.since(now));
                self.schedule(delay, SimulatedEvent::Synced { host: id, boot, number, records });
            }
            ControlEffect::AskStatus { key, asked_at, .. } => {
                let status = self.instances.get(&key.id).map(|record| InstanceStatus {
                    role: record.role,
                    term: self.database_terms.get(&key.id).copied().unwrap_or(1),
                    received: self.log_ends.get(&key.id).copied().unwrap_or(LogPosition::new(1, 1)),
                });
                let boot = self.hosts[&id].boot;
                let delay = self.status_delays.get(&key.id).copied().unwrap_or(2 * LINK_DELAY);
                let event = ControlEvent::StatusAnswered { key, asked_at, status };
                self.schedule(delay, SimulatedEvent::Delivered { to: id, boot, event });
            }
            ControlEffect::EndPromotions(service) => self.promotion_calls.end(id, &service),
            ControlEffect::Promote { service, key, fence } => {
                self.record_call(id, &service, &key, fence);
                self.promoted.push((self.now, id, key.clone(), fence));
                let result = match self.instances.contains_key(&key.id) {
                    true => PromoteResult::Accepted,
                    false => PromoteResult::NotRunning,
                };
                let promoted = SimulatedEvent::Promoted { id: key.id.clone() };
                match self.promotion_time.is_zero() {
                    true => self.promote(&key.id),
                    false => self.schedule(self.promotion_time, promoted),
                }
                let boot = self.hosts[&id].boot;
                let event = ControlEvent::PromoteAnswered { service, key, result };
                self.schedule(2 * LINK_DELAY, SimulatedEvent::Delivered { to: id, boot, event });
            }
            ControlEffect::Answer(ticket, answer) => {
                self.answers.insert(ticket, answer);
            }
            ControlEffect::Log(_) => {}
        }
    }
}
