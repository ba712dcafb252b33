use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    ControlEffect, ControlEvent, ControlLogEvent, ControlMessage, EntryUpdate,
    order_flow::PendingOrder,
};
use crate::{
    agreement::{
        AgreementEffect, AgreementEvent, AgreementSettings, AgreementState, EntryPayload,
        JournalRecord, StateSnapshot,
    },
    clock::Moment,
    control_state::{ControlCommand, ControlState},
    identity::HostId,
    instances::InstanceDirectory,
    leases::LeaseTable,
    primaries::{SuspicionPoll, TermChange},
    routes::PackedRoutes,
};

/// Log entries kept in memory. Entries carry whole configurations, so few are
/// kept: this many of the largest allowed size fit a small host's memory.
const COMPACTION_ENTRIES: usize = 64;

/// Silence of control's leader before an election: many times the way between
/// data centres, and short beside an entry host's lease.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between the leader's heartbeats: four fit an election timeout.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(75);
/// Lease of an entry host: it serves this long without control, and a change
/// of primary waits this long for a host that is cut off.
const ENTRY_LEASE: Duration = Duration::from_millis(3_500);
/// Announcements in a row that may stay away before a database is forgotten.
const LOST_ANNOUNCEMENTS: u32 = 10;

/// What a control host is told at its start.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Number of this host.
    pub host: HostId,
    /// Control hosts that may be asked first.
    pub seeds: BTreeSet<HostId>,
    /// The deployment starts for the first time, and the seeds are its voters.
    pub bootstrap: bool,
    /// Shortest silence of a leader before an election.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Length of an entry host's lease.
    pub lease_duration: Duration,
    /// Silence after which a database is forgotten.
    pub announcement_lifetime: Duration,
    /// Differs at every start.
    pub seed: u64,
}

impl ControlSettings {
    /// Settings with the product's own times, where databases announce
    /// themselves each `announcement_interval`.
    pub fn new(
        me: HostId,
        seeds: BTreeSet<HostId>,
        bootstrap: bool,
        announcement_interval: Duration,
        seed: u64,
    ) -> Self {
        Self {
            host: me,
            seeds,
            bootstrap,
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            lease_duration: ENTRY_LEASE,
            announcement_lifetime: announcement_interval * LOST_ANNOUNCEMENTS,
            seed,
        }
    }
}

/// What a control host knows of an entry host.
#[derive(Debug, Clone, Copy)]
pub(super) struct EntryProgress {
    pub(super) applied: u64,
    pub(super) routes_version: u64,
    pub(super) linked: bool,
    pub(super) leaving: bool,
    pub(super) heard_at: Moment,
    /// Hash of the entry hosts that it was told of.
    pub(super) told_hosts: u64,
}

/// State that only the leader holds; a new leader starts with an empty one.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) since: Moment,
    pub(super) leases: LeaseTable,
    pub(super) polls: BTreeMap<Arc<str>, (u64, SuspicionPoll)>,
    pub(super) changes: BTreeMap<Arc<str>, TermChange>,
    pub(super) steady_since: BTreeMap<Arc<str>, (u64, Moment)>,
    pub(super) proposed: Vec<(ControlCommand, Moment)>,
    pub(super) survey_due: Moment,
}

/// What applied commands changed and nobody was told yet.
#[derive(Debug, Default)]
struct UnsettledChange {
    /// The leader may have something to do.
    any: bool,
    /// Entry hosts follow at least one of the commands.
    for_entries: bool,
    routes: bool,
    /// Services whose terms changed.
    services: BTreeSet<Arc<str>>,
}

/// All that one control host knows and decides.
#[derive(Debug)]
pub struct ControlHost {
    pub(super) settings: ControlSettings,
    pub(super) agreement: AgreementState,
    pub(super) control: ControlState,
    pub(super) directory: InstanceDirectory,
    pub(super) peers: BTreeSet<HostId>,
    pub(super) entries: BTreeMap<HostId, EntryProgress>,
    pub(super) leader_state: Option<LeaderState>,
    pub(super) orders: Vec<PendingOrder>,
    /// The configuration as entry hosts get it.
    pub(super) packed: Option<Arc<PackedRoutes>>,
    /// Index of the last command that entry hosts follow.
    pub(super) entry_index: u64,
    /// What the commands of this step changed.
    unsettled: UnsettledChange,
    pub(super) effects: Vec<ControlEffect>,
}

impl ControlHost {
    /// Starts a host with what its journal holds.
    pub fn new(
        settings: ControlSettings,
        journal: impl IntoIterator<Item = JournalRecord>,
        now: Moment,
    ) -> Self {
        let first_voters = match settings.bootstrap {
            true => settings.seeds.clone(),
            false => BTreeSet::new(),
        };
        let agreement_settings = AgreementSettings {
            election_timeout: settings.election_timeout,
            heartbeat_interval: settings.heartbeat_interval,
            first_voters,
            compaction_entries: COMPACTION_ENTRIES,
            seed: settings.seed,
        };
        let agreement = AgreementState::restore(settings.host, agreement_settings, journal, now);
        let control = agreement.restored_state().clone();
        let mut host = Self {
            entry_index: control.applied,
            control,
            agreement,
            directory: InstanceDirectory::default(),
            peers: BTreeSet::new(),
            entries: BTreeMap::new(),
            leader_state: None,
            orders: Vec::new(),
            packed: None,
            unsettled: UnsettledChange::default(),
            effects: Vec::new(),
            settings,
        };
        let known: Vec<HostId> =
            host.settings.seeds.union(host.agreement.voters()).copied().collect();
        known.into_iter().for_each(|peer| host.know_peer(peer));
        host.recall_instances(now);
        host
    }

    /// Takes one event and returns what to do, in order.
    pub fn step(&mut self, now: Moment, event: ControlEvent) -> Vec<ControlEffect> {
        match event {
            ControlEvent::Tick => self.tick(now),
            ControlEvent::PeerLinked(peer) => self.peer_linked(now, peer),
            ControlEvent::Peer(from, message) => self.receive(now, from, message),
            ControlEvent::EntryLinked(host) => self.entry_linked(now, host),
            ControlEvent::EntryClosed(host) => self.entry_closed(host),
            ControlEvent::Entry(host, report) => self.entry_reported(now, host, report),
            ControlEvent::Persisted(number) => {
                self.step_agreement(now, AgreementEvent::Persisted(number));
            }
            ControlEvent::Announced(record) => self.announced(now, record),
            ControlEvent::Departed(departure) => self.departed(now, departure),
            ControlEvent::StatusAnswered(key, status) => self.status_answered(now, key, status),
            ControlEvent::PromoteAnswered { service, key, result } => {
                self.promote_answered(now, &service, key, result);
            }
            ControlEvent::OperatorOrdered { ticket, order } => self.ordered(now, ticket, order),
        }
        while self.unsettled.any {
            self.settle(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// When time alone changes something.
    pub fn next_due(&self, now: Moment) -> Moment {
        let agreement = self.agreement.next_due();
        match &self.leader_state {
            Some(leader_state) => leader_state
                .changes
                .values()
                .map(|change| change.next_due(now))
                .fold(agreement.min(leader_state.survey_due), Moment::min),
            None => agreement,
        }
    }

    /// The configuration as applied here.
    pub fn control(&self) -> &ControlState {
        &self.control
    }

    /// The agreement, for inspection.
    pub fn agreement(&self) -> &AgreementState {
        &self.agreement
    }

    /// Databases as announced.
    pub fn directory(&self) -> &InstanceDirectory {
        &self.directory
    }

    /// True if this host leads and can prove it.
    pub fn is_current_leader(&self, now: Moment) -> bool {
        self.leader_state.is_some() && self.agreement.is_current_leader(now)
    }

    fn tick(&mut self, now: Moment) {
        self.step_agreement(now, AgreementEvent::Tick);
        self.lead(now);
    }

    fn peer_linked(&mut self, now: Moment, peer: HostId) {
        self.know_peer(peer);
        self.agreement.admit_learner(now, peer);
        let peers = self.known_hosts();
        self.send_peer(peer, ControlMessage::Peers(peers));
        let records = self.directory.records().cloned().collect();
        self.send_peer(peer, ControlMessage::Announced(records));
        let departures = self.directory.departures().collect();
        self.send_peer(peer, ControlMessage::Departed(departures));
    }

    pub(super) fn known_hosts(&self) -> Vec<HostId> {
        let mut hosts = self.peers.clone();
        hosts.insert(self.settings.host);
        hosts.into_iter().collect()
    }

    fn know_peer(&mut self, peer: HostId) {
        if peer != self.settings.host && self.peers.insert(peer) {
            self.effects.push(ControlEffect::Dial(peer));
            let hosts = self.known_hosts();
            self.update_entries(EntryUpdate::Hosts(hosts));
        }
    }

    fn receive(&mut self, now: Moment, from: HostId, message: ControlMessage) {
        match message {
            ControlMessage::Agreement(message) => {
                self.step_agreement(now, AgreementEvent::Received(from, message));
            }
            ControlMessage::Peers(peers) => peers.into_iter().for_each(|p| self.know_peer(p)),
            ControlMessage::Announced(records) => self.announced_elsewhere(now, records),
            ControlMessage::Departed(departures) => self.departed_elsewhere(now, departures),
            ControlMessage::Expired(departures) => self.expired_elsewhere(departures),
        }
    }

    pub(super) fn step_agreement(&mut self, now: Moment, event: AgreementEvent) {
        let effects = self.agreement.step(now, event);
        self.carry_out(now, effects);
    }

    /// Proposes a command if this host leads; returns its index.
    pub(super) fn propose(&mut self, now: Moment, command: ControlCommand) -> Option<u64> {
        let (index, effects) = self.agreement.propose(now, command).ok()?;
        self.carry_out(now, effects);
        Some(index)
    }

    fn carry_out(&mut self, now: Moment, effects: Vec<AgreementEffect>) {
        for effect in effects {
            match effect {
                AgreementEffect::Send(to, message) => {
                    self.send_peer(to, ControlMessage::Agreement(message));
                }
                AgreementEffect::Persist { number, records } => {
                    self.effects.push(ControlEffect::Persist { number, records });
                }
                AgreementEffect::Committed { index, payload } => {
                    self.committed(now, index, payload)
                }
                AgreementEffect::Installed(snapshot) => self.installed(now, *snapshot),
                AgreementEffect::Elected(term) => self.elected(now, term),
                AgreementEffect::SteppedDown => self.deposed(),
            }
        }
    }

    fn committed(&mut self, now: Moment, index: u64, payload: EntryPayload) {
        match payload {
            EntryPayload::Voters { voters, .. } => {
                voters.iter().for_each(|voter| self.know_peer(*voter));
                let voters = voters.into_iter().collect();
                self.effects.push(ControlEffect::Log(ControlLogEvent::VotersChanged(voters)));
            }
            EntryPayload::Command(command) => {
                self.control.apply(index, &command);
                self.applied(now, index, &command);
                self.answer_orders(index);
            }
        }
        let effects = self.agreement.compact(&self.control, index);
        self.carry_out(now, effects);
    }

    /// Notes what a command changed. Acting on it waits until all that is
    /// committed is applied: a host that starts again applies its whole log at
    /// once, and decisions of long ago must not be carried out again.
    fn applied(&mut self, now: Moment, index: u64, command: &ControlCommand) {
        self.unsettled.any = true;
        match command {
            ControlCommand::RoutesReplaced { .. } => self.unsettled.routes = true,
            ControlCommand::ServicePrimaryKnown { service, .. }
            | ControlCommand::ServiceTermEnded { service, .. }
            | ControlCommand::ServicePrimaryChosen { service, .. }
            | ControlCommand::ServiceTermStarted { service, .. } => {
                self.unsettled.services.insert(service.clone());
            }
            ControlCommand::InstanceSeen(record) => {
                self.learn_instances(now, vec![record.clone()]);
                return;
            }
            _ => return,
        }
        self.entry_index = index;
        self.unsettled.for_entries = true;
    }

    /// Tells entry hosts and the log what the applied commands changed, and goes
    /// on from there.
    fn settle(&mut self, now: Moment) {
        let change = std::mem::take(&mut self.unsettled);
        if change.routes {
            let version = self.control.routes_version();
            self.effects.push(ControlEffect::Log(ControlLogEvent::RoutesReplaced(version)));
        }
        change.services.iter().for_each(|service| self.note_term(service));
        if change.for_entries {
            self.push_state();
        }
        self.lead(now);
    }

    fn note_term(&mut self, service: &Arc<str>) {
        if let Some(term) = self.control.terms.get(service) {
            let what = format!("primary {}, {:?}", term.primary, term.phase);
            self.effects.push(ControlEffect::Log(ControlLogEvent::TermChanged {
                service: service.clone(),
                number: term.number,
                what: Arc::from(what),
            }));
        }
    }

    fn installed(&mut self, now: Moment, snapshot: StateSnapshot) {
        snapshot.voters.iter().for_each(|voter| self.know_peer(*voter));
        self.control = snapshot.state;
        self.entry_index = self.control.applied;
        self.recall_instances(now);
        self.push_state();
    }

    fn elected(&mut self, now: Moment, term: u64) {
        self.effects.push(ControlEffect::Log(ControlLogEvent::LeadershipGained(term)));
        self.leader_state = Some(LeaderState {
            since: now,
            leases: LeaseTable::new(now, self.settings.lease_duration),
            polls: BTreeMap::new(),
            changes: BTreeMap::new(),
            steady_since: BTreeMap::new(),
            proposed: Vec::new(),
            survey_due: now,
        });
        for entry in self.entries.values_mut() {
            entry.applied = 0;
        }
        for peer in self.peers.clone() {
            self.agreement.admit_learner(now, peer);
        }
        let leader = Some(self.settings.host);
        self.update_entries(EntryUpdate::NotLeader { leader });
    }

    fn deposed(&mut self) {
        self.effects.push(ControlEffect::Log(ControlLogEvent::LeadershipLost));
        self.leader_state = None;
        self.refuse_orders();
    }

    pub(super) fn send_peer(&mut self, to: HostId, message: ControlMessage) {
        self.effects.push(ControlEffect::SendPeer(to, message));
    }
}
