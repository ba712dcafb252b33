use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    ControlEffect, ControlEvent, ControlLogEvent, ControlMessage, EntryUpdate,
    entry_progress::EntryProgress, order_flow::PendingOrder, recent_changes::RecentChanges,
    term_history::TermHistory,
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
    send_pace::SendPace,
    usage::{UsageBounds, UsageLedger},
};

/// Number of log entries kept in memory. Entries carry whole configurations,
/// and this many of the largest allowed size fit into the memory of a small
/// host.
const COMPACTION_ENTRIES: usize = 64;

/// Shortest time between changes of databases that are sent to entry hosts; those in
/// between are sent together.
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// Silence of the control leader before an election: many times the latency
/// between data centres, and short compared with an entry host's lease.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between the leader's heartbeats: four fit into an election timeout.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(75);
/// Lease of an entry host: it serves this long without contact with the control
/// leader, and a change of primary waits this long for a host that is cut off.
const ENTRY_LEASE_DURATION: Duration = Duration::from_millis(3_500);
/// Share of the time limit for revoking a key that a lease may take, in percent; the
/// rest is left for drifting clocks and for statements on their way.
const REVOCATION_LEASE_PERCENT: u32 = 70;
/// Time before the end of a draining database's use at which its term ends: until
/// then all entry hosts in contact with control must have stopped using it.
const DRAIN_END_MARGIN: Duration = Duration::from_millis(1_000);
/// Consecutive announcements that may be missed before a database is removed.
const MISSED_ANNOUNCEMENT_LIMIT: u32 = 10;
/// Part of the announcement lifetime after which a silent database no longer counts as
/// a successor of a draining primary: two announcements may be missed.
const SUCCESSOR_SILENCE_DIVISOR: u32 = 4;

/// Settings of a control host, given at its start.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Number of this host.
    pub host: HostId,
    /// Control hosts to contact first.
    pub seeds: BTreeSet<HostId>,
    /// True at the first start of the deployment: the seeds become its voters.
    pub bootstrap: bool,
    /// Shortest silence of a leader before an election.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Length of an entry host's lease.
    pub lease_duration: Duration,
    /// Time without an announcement after which a database is removed.
    pub announcement_lifetime: Duration,
    /// Time for which a database may be used after it announced that it drains;
    /// `None` for no limit.
    pub drain_period: Option<Duration>,
    /// Limits on how far workspaces may exceed their caps.
    pub usage_bounds: UsageBounds,
    /// Random seed, different at every start.
    pub seed: u64,
}

impl ControlSettings {
    /// Settings with the default times, for databases that announce themselves
    /// every `announcement_interval` and may be used for `drain_period` once they
    /// drain.
    pub fn new(
        host: HostId,
        seeds: BTreeSet<HostId>,
        bootstrap: bool,
        announcement_interval: Duration,
        drain_period: Option<Duration>,
        seed: u64,
    ) -> Self {
        Self {
            host,
            seeds,
            bootstrap,
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            lease_duration: ENTRY_LEASE_DURATION,
            announcement_lifetime: announcement_interval * MISSED_ANNOUNCEMENT_LIMIT,
            drain_period,
            usage_bounds: UsageBounds::default(),
            seed,
        }
    }

    /// Shortens leases so that a host that is cut off stops serving a removed key
    /// within `limit` after the removal was acknowledged: a lease proves a
    /// configuration that is no older than the lease.
    pub fn with_revocation_limit(mut self, limit: Duration) -> Self {
        self.lease_duration = self.lease_duration.min(limit * REVOCATION_LEASE_PERCENT / 100);
        self
    }

    /// Sets the limits on how far workspaces may exceed their caps.
    pub fn with_usage_bounds(mut self, bounds: UsageBounds) -> Self {
        self.usage_bounds = bounds;
        self
    }

    /// Silence after which a database is not relied on as a successor.
    pub(super) fn successor_silence(&self) -> Duration {
        self.announcement_lifetime / SUCCESSOR_SILENCE_DIVISOR
    }

    /// Time after which a draining database is neither kept nor chosen as primary.
    pub(super) fn drain_limit(&self) -> Option<Duration> {
        self.drain_period.map(|period| period.saturating_sub(DRAIN_END_MARGIN))
    }
}

/// State that only the leader keeps; a new leader starts with an empty one.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) elected_at: Moment,
    pub(super) leases: LeaseTable,
    /// Polls by service, with the number of the term that each is about.
    pub(super) polls: BTreeMap<Arc<str>, (u64, SuspicionPoll)>,
    pub(super) changes: BTreeMap<Arc<str>, TermChange>,
    /// Time at which this leader first saw the steady phase of a service's term
    /// of that number.
    pub(super) steady_since: BTreeMap<Arc<str>, (u64, Moment)>,
    /// Services whose draining primary was logged as having no successor, with
    /// the number of the term.
    pub(super) without_successor: BTreeMap<Arc<str>, u64>,
    /// Commands, with the time at which each may be proposed again.
    pub(super) recent_proposals: Vec<(ControlCommand, Moment)>,
    pub(super) next_check_at: Moment,
    /// Token buckets of the workspaces with a cap.
    pub(super) usage: UsageLedger,
}

/// Changes by applied commands that have not been published yet.
#[derive(Debug, Default)]
struct PendingChanges {
    /// At least one command was applied, so leader tasks may be due.
    any: bool,
    /// At least one command changed state that entry hosts apply.
    for_entries: bool,
    routes: bool,
    /// Services whose terms changed.
    services: BTreeSet<Arc<str>>,
}

/// State machine of one control host: it takes events and returns effects, and
/// does no I/O itself.
#[derive(Debug)]
pub struct ControlHost {
    pub(super) settings: ControlSettings,
    pub(super) agreement: AgreementState,
    pub(super) control: ControlState,
    pub(super) directory: InstanceDirectory,
    pub(super) peers: BTreeSet<HostId>,
    pub(super) entry_hosts: BTreeMap<HostId, EntryProgress>,
    pub(super) leader_state: Option<LeaderState>,
    pub(super) orders: Vec<PendingOrder>,
    /// The configuration, packed for entry hosts.
    pub(super) packed: Option<Arc<PackedRoutes>>,
    /// Index of the last command that changed state which entry hosts apply.
    pub(super) entry_state_index: u64,
    /// Last changes of terms, from which entry hosts are sent what they lack.
    pub(super) term_history: TermHistory,
    /// Databases that changed lately, for entry hosts that stop following the leader.
    pub(super) recent_changes: RecentChanges,
    /// Ids of databases whose changes have not been sent to entry hosts yet.
    pub(super) unsent_changes: BTreeSet<Arc<str>>,
    pub(super) change_pace: SendPace,
    /// Changes by the commands applied in this step.
    pending_changes: PendingChanges,
    pub(super) effects: Vec<ControlEffect>,
}

impl ControlHost {
    /// Restores a host from the records of its journal.
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
            entry_state_index: control.applied,
            term_history: TermHistory::starting_at(control.applied),
            recent_changes: RecentChanges::default(),
            unsent_changes: BTreeSet::new(),
            change_pace: SendPace::new(CHANGE_INTERVAL),
            control,
            agreement,
            directory: InstanceDirectory::default(),
            peers: BTreeSet::new(),
            entry_hosts: BTreeMap::new(),
            leader_state: None,
            orders: Vec::new(),
            packed: None,
            pending_changes: PendingChanges::default(),
            effects: Vec::new(),
            settings,
        };
        let known: Vec<HostId> =
            host.settings.seeds.union(host.agreement.voters()).copied().collect();
        known.into_iter().for_each(|peer| host.add_peer(peer));
        host.restore_instances(now);
        host
    }

    /// Processes one event and returns the effects to execute, in order.
    pub fn step(&mut self, now: Moment, event: ControlEvent) -> Vec<ControlEffect> {
        match event {
            ControlEvent::Tick => self.tick(now),
            ControlEvent::PeerLinked(peer) => self.handle_peer_link(now, peer),
            ControlEvent::Peer(from, message) => self.handle_peer_message(now, from, message),
            ControlEvent::EntryLinked(host, place) => self.handle_entry_link(now, host, place),
            ControlEvent::EntryClosed(host) => self.handle_entry_close(host),
            ControlEvent::Entry(host, report) => self.handle_entry_report(now, host, report),
            ControlEvent::Persisted(number) => {
                self.step_agreement(now, AgreementEvent::Persisted(number));
            }
            ControlEvent::Announced(record) => self.handle_announcement(now, record),
            ControlEvent::Departed(departure) => self.handle_departure(now, departure),
            ControlEvent::StatusAnswered(key, status) => {
                self.handle_status_answer(now, key, status)
            }
            ControlEvent::PromoteAnswered { service, key, result } => {
                self.handle_promote_answer(now, &service, key, result);
            }
            ControlEvent::OperatorOrdered { ticket, order } => {
                self.handle_order(now, ticket, order)
            }
        }
        while self.pending_changes.any {
            self.publish_changes(now);
        }
        self.send_changed_instances(now);
        std::mem::take(&mut self.effects)
    }

    /// Time at which the next [`ControlEvent::Tick`] is due.
    pub fn next_due(&self, now: Moment) -> Moment {
        let agreement = self.agreement.next_due();
        let agreement = self.change_pace.due().map_or(agreement, |due| agreement.min(due));
        match &self.leader_state {
            Some(leader_state) => leader_state
                .changes
                .values()
                .map(|change| change.next_due(now))
                .fold(agreement.min(leader_state.next_check_at), Moment::min),
            None => agreement,
        }
    }

    /// The replicated state as applied on this host.
    pub fn control(&self) -> &ControlState {
        &self.control
    }

    /// State of the agreement, for inspection.
    pub fn agreement(&self) -> &AgreementState {
        &self.agreement
    }

    /// Databases by their announcements.
    pub fn directory(&self) -> &InstanceDirectory {
        &self.directory
    }

    /// True if this host is the leader and no other leader can exist yet.
    pub fn is_current_leader(&self, now: Moment) -> bool {
        self.leader_state.is_some() && self.agreement.is_current_leader(now)
    }

    /// The leader that this host follows; `None` if it leads itself or knows no leader.
    pub(super) fn leader_elsewhere(&self) -> Option<HostId> {
        self.agreement.leader().filter(|leader| *leader != self.settings.host)
    }

    fn tick(&mut self, now: Moment) {
        self.step_agreement(now, AgreementEvent::Tick);
        self.run_leader_tasks(now);
        self.log_cap_changes(now);
    }

    fn handle_peer_link(&mut self, now: Moment, peer: HostId) {
        self.add_peer(peer);
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

    fn add_peer(&mut self, peer: HostId) {
        if peer != self.settings.host && self.peers.insert(peer) {
            self.effects.push(ControlEffect::Dial(peer));
            let hosts = self.known_hosts();
            self.broadcast_to_entry_hosts(EntryUpdate::Hosts(hosts));
        }
    }

    fn handle_peer_message(&mut self, now: Moment, from: HostId, message: ControlMessage) {
        match message {
            ControlMessage::Agreement(message) => {
                self.step_agreement(now, AgreementEvent::Received(from, message));
            }
            ControlMessage::Peers(peers) => peers.into_iter().for_each(|p| self.add_peer(p)),
            ControlMessage::Announced(records) => self.apply_announcements(now, records),
            ControlMessage::Departed(departures) => self.apply_departures(now, departures),
            ControlMessage::Expired(departures) => self.apply_expirations(departures),
        }
    }

    pub(super) fn step_agreement(&mut self, now: Moment, event: AgreementEvent) {
        let effects = self.agreement.step(now, event);
        self.execute_effects(now, effects);
    }

    /// Proposes a command if this host leads; returns its index.
    pub(super) fn propose(&mut self, now: Moment, command: ControlCommand) -> Option<u64> {
        let (index, effects) = self.agreement.propose(now, command).ok()?;
        self.execute_effects(now, effects);
        Some(index)
    }

    fn execute_effects(&mut self, now: Moment, effects: Vec<AgreementEffect>) {
        for effect in effects {
            match effect {
                AgreementEffect::Send(to, message) => {
                    self.send_peer(to, ControlMessage::Agreement(message));
                }
                AgreementEffect::Persist { number, records } => {
                    self.effects.push(ControlEffect::Persist { number, records });
                }
                AgreementEffect::Committed { index, payload } => {
                    self.apply_committed(now, index, payload)
                }
                AgreementEffect::Installed(snapshot) => self.install_snapshot(now, *snapshot),
                AgreementEffect::Elected(term) => self.become_leader(now, term),
                AgreementEffect::SteppedDown => self.step_down(),
            }
        }
    }

    fn apply_committed(&mut self, now: Moment, index: u64, payload: EntryPayload) {
        match payload {
            EntryPayload::Voters { voters, .. } => {
                voters.iter().for_each(|voter| self.add_peer(*voter));
                let voters = voters.into_iter().collect();
                self.effects.push(ControlEffect::Log(ControlLogEvent::VotersChanged(voters)));
            }
            EntryPayload::Command(command) => {
                self.control.apply(index, &command);
                self.record_applied(now, index, &command);
                self.answer_orders(index);
            }
        }
        let effects = self.agreement.compact(&self.control, index);
        self.execute_effects(now, effects);
    }

    /// Records what a command changed. The changes are published after all
    /// committed commands are applied: a restarted host applies its whole log
    /// at once and must not execute old decisions again.
    fn record_applied(&mut self, now: Moment, index: u64, command: &ControlCommand) {
        self.pending_changes.any = true;
        match command {
            ControlCommand::RoutesReplaced { .. } => self.pending_changes.routes = true,
            ControlCommand::ServicePrimaryKnown { service, .. }
            | ControlCommand::ServiceTermEnded { service, .. }
            | ControlCommand::ServicePrimaryChosen { service, .. }
            | ControlCommand::ServiceTermStarted { service, .. } => {
                self.pending_changes.services.insert(service.clone());
                self.term_history.record(service.clone(), index);
            }
            ControlCommand::InstanceSeen(record) => {
                self.restore_announcements(now, vec![record.clone()]);
                return;
            }
            _ => return,
        }
        self.entry_state_index = index;
        self.pending_changes.for_entries = true;
    }

    /// Sends the changes by applied commands to entry hosts and the log, then
    /// runs the leader tasks.
    fn publish_changes(&mut self, now: Moment) {
        let change = std::mem::take(&mut self.pending_changes);
        if change.routes {
            let version = self.control.routes_version();
            self.effects.push(ControlEffect::Log(ControlLogEvent::RoutesReplaced(version)));
            self.follow_caps(now);
        }
        change.services.iter().for_each(|service| self.log_term_change(service));
        if change.for_entries {
            self.send_state_to_all(now);
        }
        self.run_leader_tasks(now);
    }

    fn log_term_change(&mut self, service: &Arc<str>) {
        if let Some(term) = self.control.terms.get(service) {
            let what = format!("primary {}, {:?}", term.primary, term.phase);
            self.effects.push(ControlEffect::Log(ControlLogEvent::TermChanged {
                service: service.clone(),
                number: term.number,
                what: Arc::from(what),
            }));
        }
    }

    fn install_snapshot(&mut self, now: Moment, snapshot: StateSnapshot) {
        snapshot.voters.iter().for_each(|voter| self.add_peer(*voter));
        self.control = snapshot.state;
        self.entry_state_index = self.control.applied;
        self.term_history = TermHistory::starting_at(self.control.applied);
        self.restore_instances(now);
        self.send_state_to_all(now);
    }

    fn become_leader(&mut self, now: Moment, term: u64) {
        self.effects.push(ControlEffect::Log(ControlLogEvent::LeadershipGained(term)));
        self.leader_state = Some(LeaderState {
            elected_at: now,
            leases: LeaseTable::new(now, self.settings.lease_duration)
                .with_earlier_leases(now, ENTRY_LEASE_DURATION),
            polls: BTreeMap::new(),
            changes: BTreeMap::new(),
            steady_since: BTreeMap::new(),
            without_successor: BTreeMap::new(),
            recent_proposals: Vec::new(),
            next_check_at: now,
            usage: UsageLedger::new(self.settings.usage_bounds),
        });
        self.follow_caps(now);
        for entry_host in self.entry_hosts.values_mut() {
            entry_host.applied = 0;
            entry_host.sent_state = None;
        }
        for peer in self.peers.clone() {
            self.agreement.admit_learner(now, peer);
        }
        let leader = Some(self.settings.host);
        self.broadcast_to_entry_hosts(EntryUpdate::NotLeader { leader });
    }

    fn step_down(&mut self) {
        self.effects.push(ControlEffect::Log(ControlLogEvent::LeadershipLost));
        self.leader_state = None;
        self.fail_pending_orders();
    }

    pub(super) fn send_peer(&mut self, to: HostId, message: ControlMessage) {
        self.effects.push(ControlEffect::SendPeer(to, message));
    }
}
