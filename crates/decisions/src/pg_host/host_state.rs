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

/// All that one host knows and decides.
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
    pub(super) marks: PositionStore,
    /// Keepers that did not answer, and until when they are not waited for.
    pub(super) silent_keepers: BTreeMap<HostId, Moment>,
    pub(super) lease: HeldLease,
    pub(super) lease_due: Moment,
    pub(super) lease_asked: u32,
    pub(super) leader: Option<HostId>,
    pub(super) subscription: Subscription,
    pub(super) subscribers: BTreeMap<HostId, Subscriber>,
    pub(super) recent: VecDeque<ControlCommand>,
    pub(super) questions: Vec<PendingQuestion>,
    pub(super) draining: bool,
    pub(super) leaving: bool,
    pub(super) effects: Vec<HostEffect>,
}

/// When a waiting request must be answered; ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestDeadline {
    pub(super) at: Moment,
    pub(super) request: RequestId,
}

/// Where this host gets the configuration from, unless it votes.
#[derive(Debug, Default)]
pub(super) struct Subscription {
    pub(super) rank: usize,
    pub(super) asked_at: Moment,
    pub(super) heard_at: Moment,
}

impl HostState {
    /// Starts a host with what its journal holds; hosts that do not vote have
    /// an empty journal.
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
            marks: PositionStore::default(),
            silent_keepers: BTreeMap::new(),
            lease: HeldLease::default(),
            lease_due: now,
            lease_asked: 0,
            leader: None,
            subscription: Subscription { heard_at: now, ..Subscription::default() },
            subscribers: BTreeMap::new(),
            recent: VecDeque::new(),
            questions: Vec::new(),
            draining: false,
            leaving: false,
            effects: Vec::new(),
        };
        host.refresh_groups(now);
        host
    }

    /// Takes one event and returns what to do, in order.
    pub fn step(&mut self, now: Moment, event: HostEvent) -> Vec<HostEffect> {
        match event {
            HostEvent::Tick => self.tick(now),
            HostEvent::Leaving => self.leave(now),
            HostEvent::Peer(from, message) => self.receive(now, from, message),
            HostEvent::Persisted(number) => {
                self.step_agreement(now, AgreementEvent::Persisted(number));
            }
            HostEvent::Announced(announcement) => self.announced(now, announcement),
            HostEvent::DatabaseReported { database, sent_at, status } => {
                self.reported(now, &database, sent_at, status);
            }
            HostEvent::ReportFailed(database) => self.report_failed(now, &database),
            HostEvent::OrderAnswered { database, status } => {
                self.order_answered(now, database, status);
            }
            HostEvent::RequestArrived(arrival) => self.arrived(now, arrival),
            HostEvent::RequestExecuted(request, report) => self.executed(now, request, report),
            HostEvent::RequestAbandoned(request) => self.abandoned(now, request),
            HostEvent::OperatorAsked { ticket, question } => self.asked(now, ticket, question),
        }
        std::mem::take(&mut self.effects)
    }

    /// The configuration as applied here.
    pub fn control(&self) -> &ControlState {
        &self.control
    }

    /// The agreement, if this host votes.
    pub fn agreement(&self) -> Option<&AgreementState> {
        self.agreement.as_ref()
    }

    /// The groups that this host is a gateway of.
    pub fn groups(&self) -> &BTreeMap<GroupName, GroupView> {
        &self.groups
    }

    /// Control's leader, as far as known here.
    pub fn leader(&self) -> Option<HostId> {
        self.leader
    }

    /// True if this host may serve now.
    pub fn has_lease(&self, now: Moment) -> bool {
        self.lease.is_valid(now, self.control.applied)
    }

    /// True if this host leads control and can prove it.
    pub fn is_current_leader(&self, now: Moment) -> bool {
        self.agreement.as_ref().is_some_and(|agreement| agreement.is_current_leader(now))
    }

    /// Requests under way.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    fn tick(&mut self, now: Moment) {
        self.step_agreement(now, AgreementEvent::Tick);
        self.tend_lease(now);
        self.tend_subscription(now);
        self.lead(now);
        self.tend_groups(now);
        self.expire_requests(now);
        self.expire_questions(now);
    }

    fn receive(&mut self, now: Moment, from: HostId, message: PeerMessage) {
        match message {
            PeerMessage::Agreement(message) => {
                self.step_agreement(now, AgreementEvent::Received(from, message));
            }
            PeerMessage::LeaseRequest(request) => self.lease_requested(now, from, request),
            PeerMessage::LeaseGrant(grant) => self.lease_granted(now, from, &grant),
            PeerMessage::LeaderIs(leader) => self.leader_named(now, leader),
            PeerMessage::Subscribe { applied } => self.subscribed(now, from, applied),
            PeerMessage::Updates { first_index, commands } => {
                self.updated(now, from, first_index, commands);
            }
            PeerMessage::State(state) => self.replace_control(now, *state),
            PeerMessage::Announced(announcement) => self.announced(now, announcement),
            PeerMessage::SuspectPrimary { group, term } => {
                self.suspected(now, from, &group, term);
            }
            PeerMessage::TermFenced { group, term } => self.fenced(now, from, &group, term),
            PeerMessage::MemberReport { group, astray, caught_up, removable } => {
                self.members_reported(now, &group, astray, caught_up, removable);
            }
            PeerMessage::PositionQuery(query) => self.mark_asked(from, query),
            PeerMessage::PositionAnswer(answer) => self.mark_answered(now, from, answer),
            PeerMessage::StorePosition { request, stored, hosts_version } => {
                self.mark_received(from, request, stored, hosts_version);
            }
            PeerMessage::PositionStored { request } => self.mark_stored(now, request),
            PeerMessage::OperatorAsk { ticket, question } => {
                self.asked_by_peer(now, from, ticket, question);
            }
            PeerMessage::OperatorReply { ticket, answer } => {
                self.answered_by_peer(ticket, answer);
            }
        }
    }

    pub(super) fn send(&mut self, to: HostId, message: PeerMessage) {
        self.effects.push(HostEffect::Send(to, message));
    }

    /// Sends to control's leader, which may be this host.
    pub(super) fn send_leader(&mut self, now: Moment, message: PeerMessage) {
        match self.leader {
            Some(leader) if leader == self.settings.id() => self.receive(now, leader, message),
            Some(leader) => self.send(leader, message),
            None => {}
        }
    }
}
