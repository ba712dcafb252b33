use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    ControlEffect, ControlEvent, ControlLogEvent, ControlMessage, ControlSettings, EntryUpdate,
    control_settings::ENTRY_LEASE_DURATION,
    entry_progress::EntryProgress,
    instance_feed::InstanceFeed,
    order_flow::PendingOrder,
    route_feed::RouteFeed,
    term_history::{SharedTerms, TermHistory},
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
    leases::{HeldLead, LeaseTable},
    primaries::{CatchUpProbe, SuspicionPoll, TermChange},
    send_pace::SendPace,
    usage::UsageLedger,
};

/// Committed log entries after which the log is replaced by a snapshot, once it is as large
/// as the state. This many configurations of the largest allowed size fit into the memory of
/// a small host.
const COMPACTION_ENTRIES: usize = 64;

/// State that only the leader keeps; a new leader starts with an empty one.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) elected_at: Moment,
    pub(super) leases: LeaseTable,
    /// Polls by service, with the number of the term that each is about.
    pub(super) polls: BTreeMap<Arc<str>, (u64, SuspicionPoll)>,
    pub(super) changes: BTreeMap<Arc<str>, TermChange>,
    /// Probes of services whose replicas must have caught up before a planned change.
    pub(super) catch_ups: BTreeMap<Arc<str>, CatchUpProbe>,
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
    /// At least one command changed what entry hosts are sent.
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
    pub(super) route_feed: RouteFeed,
    /// The terms last sent to an entry host; most hosts have received the same state.
    pub(super) last_terms: Option<SharedTerms>,
    /// Index of the last command that changed state which entry hosts apply.
    pub(super) entry_state_index: u64,
    /// Last changes of terms, from which entry hosts are sent what they lack.
    pub(super) term_history: TermHistory,
    pub(super) instance_feed: InstanceFeed,
    /// Paces the states that entry hosts are sent when they change.
    pub(super) state_pace: SendPace,
    /// Paces the leader tasks, which look at all services and databases.
    pub(super) task_pace: SendPace,
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
            tolerated_losses: settings.tolerated_losses,
            compaction_entries: COMPACTION_ENTRIES,
            seed: settings.seed,
        };
        let agreement = AgreementState::restore(settings.host, agreement_settings, journal, now);
        let control = agreement.restored_state().clone();
        let mut host = Self {
            entry_state_index: control.applied,
            term_history: TermHistory::starting_at(control.applied),
            instance_feed: InstanceFeed::new(),
            state_pace: SendPace::new(Duration::ZERO),
            task_pace: SendPace::new(Duration::ZERO),
            control,
            agreement,
            directory: InstanceDirectory::default(),
            peers: BTreeSet::new(),
            entry_hosts: BTreeMap::new(),
            leader_state: None,
            orders: Vec::new(),
            route_feed: RouteFeed::default(),
            last_terms: None,
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
            ControlEvent::Stopping => self.announce_stop(now),
            ControlEvent::PeerLinked(peer) => self.handle_peer_link(now, peer),
            ControlEvent::Peer(from, message) => self.handle_peer_message(now, from, message),
            ControlEvent::EntryLinked(host, hello) => self.handle_entry_link(now, host, hello),
            ControlEvent::EntryClosed(host) => self.handle_entry_close(host),
            ControlEvent::Entry(host, report) => self.handle_entry_report(now, host, report),
            ControlEvent::Persisted(number) => {
                self.step_agreement(now, AgreementEvent::Persisted(number));
            }
            ControlEvent::Announced(record) => self.handle_announcement(now, record),
            ControlEvent::Departed(departure) => self.handle_departure(now, departure),
            ControlEvent::StatusAnswered { key, asked_at, status } => {
                self.handle_status_answer(now, key, asked_at, status)
            }
            ControlEvent::PromoteAnswered { service, key, result } => {
                self.handle_promote_answer(now, &service, key, result);
            }
            ControlEvent::OperatorOrdered { ticket, order } => {
                self.handle_order(now, ticket, order)
            }
        }
        self.finish_step(now);
        std::mem::take(&mut self.effects)
    }

    /// Does what the step made necessary and is due.
    fn finish_step(&mut self, now: Moment) {
        loop {
            while self.pending_changes.any {
                self.publish_changes(now);
            }
            if !self.task_pace.take_due(now) {
                break;
            }
            self.run_leader_tasks(now);
        }
        if self.state_pace.take_due(now) {
            self.send_state_to_all(now);
        }
        self.send_changed_instances(now);
        let effects = self.agreement.compact(&self.control);
        self.execute_effects(now, effects);
    }

    /// Time at which the next [`ControlEvent::Tick`] is due.
    pub fn next_due(&self, now: Moment) -> Moment {
        let paced = [self.instance_feed.due(), self.state_pace.due(), self.task_pace.due()];
        let agreement = paced.into_iter().flatten().fold(self.agreement.next_due(), Moment::min);
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
        self.lead(now).is_some()
    }

    /// The lead that this host holds; `None` if it does not lead, or another leader can exist.
    pub fn lead(&self, now: Moment) -> Option<HeldLead> {
        self.leader_state.as_ref()?;
        let ends_at = self.agreement.lead_ends_at(now).filter(|end| now < *end)?;
        Some(HeldLead { term: self.agreement.term(), ends_at })
    }

    /// The leader that this host follows; `None` if it leads itself or knows no leader.
    pub(super) fn leader_elsewhere(&self) -> Option<HostId> {
        self.agreement.leader().filter(|leader| *leader != self.settings.host)
    }

    fn tick(&mut self, now: Moment) {
        self.step_agreement(now, AgreementEvent::Tick);
        self.request_leader_tasks(now);
        self.log_cap_changes(now);
    }

    fn handle_peer_link(&mut self, now: Moment, peer: HostId) {
        self.add_peer(peer);
        self.agreement.record_started(peer);
        self.agreement.admit_learner(now, peer);
        let peers = self.known_hosts();
        self.send_peer(peer, ControlMessage::Peers(peers));
        let records = self.directory.records().cloned().collect();
        self.send_peer(peer, ControlMessage::Announced(records));
        let departures = self.directory.departures().collect();
        self.send_peer(peer, ControlMessage::Departed(departures));
    }

    /// Tells the other control hosts that this one stops, so that they need not wait for its
    /// silence where it has been replaced.
    fn announce_stop(&mut self, now: Moment) {
        for peer in self.peers.clone() {
            self.send_peer(peer, ControlMessage::Stopping);
        }
        let effects = self.agreement.record_stopping(now, self.settings.host);
        self.execute_effects(now, effects);
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
            ControlMessage::Stopping => {
                let effects = self.agreement.record_stopping(now, from);
                self.execute_effects(now, effects);
            }
            ControlMessage::Peers(peers) => peers.into_iter().for_each(|p| self.add_peer(p)),
            ControlMessage::Announced(records) => self.apply_announcements(now, records),
            ControlMessage::Departed(departures) => self.apply_departures(now, departures),
            ControlMessage::Expired(departures) => self.apply_expirations(from, departures),
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
                let replaced = self.control.routes.clone();
                let knew_services = replaced.is_some();
                self.control.apply(index, &command);
                if let Some(table) = replaced
                    && table.version < self.control.routes_version()
                {
                    self.route_feed.record_replaced(table);
                }
                self.record_applied(now, index, &command);
                if !knew_services {
                    self.forget_unconfigured_databases(now);
                }
                self.answer_orders(index);
            }
        }
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
            ControlCommand::HolderJoined(_) | ControlCommand::HolderLeft(_) => {
                self.pending_changes.for_entries = true;
                return;
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
            self.request_state_feed(now);
        }
        self.request_leader_tasks(now);
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
        let knew_services = self.control.routes.is_some();
        self.control = snapshot.state;
        self.entry_state_index = self.control.applied;
        self.term_history = TermHistory::starting_at(self.control.applied);
        self.restore_instances(now);
        if !knew_services {
            self.forget_unconfigured_databases(now);
        }
        self.request_state_feed(now);
    }

    fn become_leader(&mut self, now: Moment, term: u64) {
        self.effects.push(ControlEffect::Log(ControlLogEvent::LeadershipGained(term)));
        self.leader_state = Some(LeaderState {
            elected_at: now,
            leases: LeaseTable::new(now, self.settings.lease_duration)
                .with_earlier_leases(now, ENTRY_LEASE_DURATION),
            polls: BTreeMap::new(),
            changes: BTreeMap::new(),
            catch_ups: BTreeMap::new(),
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
