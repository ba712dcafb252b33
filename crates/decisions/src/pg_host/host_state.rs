use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{
    GroupView, HostEffect, HostEvent, HostSettings, PeerMessage, control_flow::Subscriber,
    leader_state::LeaderState, operator_flow::PendingQuestion,
};
use crate::{
    agreement::{
        AgreementEvent, AgreementSettings, AgreementState, COMPACTION_ENTRIES, JournalRecord,
    },
    clock::Moment,
    control_state::ControlCommand,
    control_state::ControlState,
    identity::{DatabaseName, GroupName, HostId, RequestId},
    leases::HeldLease,
    requests::RequestRecord,
    sessions::PositionStore,
};

/// The state of one host, advanced by `step`.
#[derive(Debug)]
pub struct HostState {
    pub(super) settings: HostSettings,
    pub(super) control: ControlState,
    pub(super) agreement: Option<AgreementState>,
    pub(super) leader_state: Option<LeaderState>,
    pub(super) groups: BTreeMap<GroupName, GroupView>,
    pub(super) database_groups: BTreeMap<DatabaseName, GroupName>,
    pub(super) requests: BTreeMap<RequestId, RequestRecord>,
    pub(super) deadlines: BTreeSet<RequestDeadline>,
    pub(super) positions: PositionStore,
    /// Position hosts that did not answer a lookup, each with the time until
    /// which lookups do not wait for it.
    pub(super) silent_position_hosts: BTreeMap<HostId, Moment>,
    pub(super) lease: HeldLease,
    pub(super) lease_due: Moment,
    pub(super) unanswered_lease_requests: u32,
    pub(super) leader: Option<HostId>,
    pub(super) subscription: Subscription,
    pub(super) subscribers: BTreeMap<HostId, Subscriber>,
    pub(super) recent_commands: VecDeque<ControlCommand>,
    pub(super) questions: Vec<PendingQuestion>,
    pub(super) draining: bool,
    pub(super) leaving: bool,
    pub(super) effects: Vec<HostEffect>,
}

/// When a waiting request is checked for expiry; ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestDeadline {
    pub(super) at: Moment,
    pub(super) request: RequestId,
}

/// A non-voter's subscription to the control state, at one of the voters.
#[derive(Debug, Default)]
pub(super) struct Subscription {
    pub(super) voter_rank: usize,
    pub(super) last_request_at: Moment,
    pub(super) last_message_at: Moment,
}

impl HostState {
    /// Creates the state of a host that starts with the given journal records;
    /// the journal of a non-voter is empty.
    pub fn new(
        settings: HostSettings,
        journal: impl IntoIterator<Item = JournalRecord>,
        now: Moment,
    ) -> Self {
        let agreement = settings.is_voter().then(|| {
            let agreement_settings = AgreementSettings {
                election_timeout: settings.election_timeout,
                heartbeat_interval: settings.heartbeat_interval,
                first_voters: settings.voters.clone(),
                tolerated_losses: None,
                compaction_entries: COMPACTION_ENTRIES,
                seed: settings.seed,
            };
            AgreementState::restore(settings.id(), agreement_settings, journal, now)
        });
        let control = agreement
            .as_ref()
            .map(|agreement| agreement.restored_state().clone())
            .unwrap_or_default();
        let mut host = Self {
            settings,
            control,
            agreement,
            leader_state: None,
            groups: BTreeMap::new(),
            database_groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            positions: PositionStore::default(),
            silent_position_hosts: BTreeMap::new(),
            lease: HeldLease::default(),
            lease_due: now,
            unanswered_lease_requests: 0,
            leader: None,
            subscription: Subscription { last_message_at: now, ..Subscription::default() },
            subscribers: BTreeMap::new(),
            recent_commands: VecDeque::new(),
            questions: Vec::new(),
            draining: false,
            leaving: false,
            effects: Vec::new(),
        };
        host.refresh_groups(now);
        host
    }

    /// Processes one event and returns the effects, to be executed in order.
    pub fn step(&mut self, now: Moment, event: HostEvent) -> Vec<HostEffect> {
        match event {
            HostEvent::Tick => self.run_tick(now),
            HostEvent::Leaving => self.announce_shutdown(now),
            HostEvent::Peer(from, message) => self.handle_message(now, from, message),
            HostEvent::Persisted(number) => {
                self.step_agreement(now, AgreementEvent::Persisted(number));
            }
            HostEvent::Announced(announcement) => self.handle_announcement(now, announcement),
            HostEvent::DatabaseReported { database, sent_at, status } => {
                self.record_report(now, &database, sent_at, status);
            }
            HostEvent::ReportFailed(database) => self.record_report_failure(now, &database),
            HostEvent::OrderAnswered { database, status } => {
                self.handle_order_answer(now, database, status);
            }
            HostEvent::RequestArrived(arrival) => self.handle_arrival(now, arrival),
            HostEvent::RequestExecuted(request, report) => {
                self.handle_execution(now, request, report);
            }
            HostEvent::RequestAbandoned(request) => self.abandon_request(now, request),
            HostEvent::OperatorAsked { ticket, question } => {
                self.handle_question(now, ticket, question);
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// The replicated control state as applied here.
    pub fn control(&self) -> &ControlState {
        &self.control
    }

    /// The agreement state; `None` if this host is not a voter.
    pub fn agreement(&self) -> Option<&AgreementState> {
        self.agreement.as_ref()
    }

    /// The groups that this host is a gateway of.
    pub fn groups(&self) -> &BTreeMap<GroupName, GroupView> {
        &self.groups
    }

    /// The control leader, as far as this host knows.
    pub fn leader(&self) -> Option<HostId> {
        self.leader
    }

    /// True if this host has a valid lease and may serve requests.
    pub fn has_lease(&self, now: Moment) -> bool {
        self.lease.is_valid(now, self.control.applied)
    }

    /// True if this host is the control leader and no other can exist yet.
    pub fn is_current_leader(&self, now: Moment) -> bool {
        self.agreement.as_ref().is_some_and(|agreement| agreement.is_current_leader(now))
    }

    /// Number of requests that have not ended.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    fn run_tick(&mut self, now: Moment) {
        self.step_agreement(now, AgreementEvent::Tick);
        self.renew_lease(now);
        self.renew_subscription(now);
        self.run_leader_tasks(now);
        self.check_groups(now);
        self.expire_requests(now);
        self.expire_questions(now);
    }

    fn handle_message(&mut self, now: Moment, from: HostId, message: PeerMessage) {
        match message {
            PeerMessage::Agreement(message) => {
                self.step_agreement(now, AgreementEvent::Received(from, message));
            }
            PeerMessage::LeaseRequest(request) => self.handle_lease_request(now, from, request),
            PeerMessage::LeaseGrant(grant) => self.handle_lease_grant(now, from, &grant),
            PeerMessage::LeaderIs(leader) => self.update_leader(now, leader),
            PeerMessage::Subscribe { applied } => self.handle_subscribe(now, from, applied),
            PeerMessage::Updates { first_index, commands } => {
                self.apply_updates(now, from, first_index, commands);
            }
            PeerMessage::State(state) => self.replace_control_state(now, *state),
            PeerMessage::Announced(announcement) => self.handle_announcement(now, announcement),
            PeerMessage::SuspectPrimary { group, term } => {
                self.record_suspicion(now, from, &group, term);
            }
            PeerMessage::TermFenced { group, term } => self.record_fence(now, from, &group, term),
            PeerMessage::MemberReport { group, astray, caught_up, removable } => {
                self.apply_member_report(now, &group, astray, caught_up, removable);
            }
            PeerMessage::PositionQuery(query) => self.handle_position_query(from, query),
            PeerMessage::PositionAnswer(answer) => self.handle_position_answer(now, from, answer),
            PeerMessage::StorePosition { request, stored, hosts_version } => {
                self.handle_store_position(from, request, stored, hosts_version);
            }
            PeerMessage::PositionStored { request } => self.handle_position_stored(now, request),
            PeerMessage::OperatorAsk { ticket, question } => {
                self.handle_peer_question(now, from, ticket, question);
            }
            PeerMessage::OperatorReply { ticket, answer } => {
                self.handle_peer_answer(ticket, answer);
            }
        }
    }

    pub(super) fn send(&mut self, to: HostId, message: PeerMessage) {
        self.effects.push(HostEffect::Send(to, message));
    }

    /// Sends a message to the control leader, or handles it here if this host leads.
    pub(super) fn send_to_leader(&mut self, now: Moment, message: PeerMessage) {
        match self.leader {
            Some(leader) if leader == self.settings.id() => {
                self.handle_message(now, leader, message);
            }
            Some(leader) => self.send(leader, message),
            None => {}
        }
    }
}
