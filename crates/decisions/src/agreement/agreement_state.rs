use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use snafu::Snafu;

use super::{
    AdmittedVoter, AgreementEffect, AgreementEvent, AgreementMessage, EntryLog, EntryPayload,
    HardState, JournalRecord, LogEntry, StateSnapshot, start_inquiry::StartInquiry,
};
use crate::{
    clock::Moment,
    control_state::{ControlCommand, ControlState},
    identity::HostId,
};

/// Entries kept in memory before a snapshot replaces them, unless the settings
/// say otherwise.
pub const COMPACTION_ENTRIES: usize = 2_048;
/// Share of the election timeout for which a leader's lease holds; the rest
/// covers the drift between two hosts' clocks.
const LEASE_DRIFT_PERCENT: u32 = 90;

/// Why a command was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// This host does not lead.
    #[snafu(display("this host does not lead control"))]
    NotLeader {
        /// The leader, if known.
        leader: Option<HostId>,
    },
    /// A change of voters is still under way.
    #[snafu(display("a change of voters is still under way"))]
    ChangePending,
}

/// Times and the first voters of the agreement.
#[derive(Debug, Clone)]
pub struct AgreementSettings {
    /// Shortest silence of a leader before an election; the longest is twice
    /// this.
    pub election_timeout: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Voters of a deployment that is formed for the first time.
    pub first_voters: BTreeSet<HostId>,
    /// Entries kept in memory before a snapshot replaces them.
    pub compaction_entries: usize,
    /// Seed for election timeouts and disk numbers; differs at every start.
    pub seed: u64,
}

/// What a leader knows of one voter or learner.
#[derive(Debug, Clone)]
pub(super) struct FollowerProgress {
    pub(super) next_index: u64,
    pub(super) match_index: u64,
    pub(super) eligible: bool,
    pub(super) incarnation: u64,
    /// Send time of the newest message that was answered.
    pub(super) acknowledged_at: Option<Moment>,
    pub(super) sent_at: Moment,
    /// When this leader began to follow it.
    pub(super) followed_since: Moment,
}

#[derive(Debug, Clone)]
pub(super) struct LeaderState {
    pub(super) followers: BTreeMap<HostId, FollowerProgress>,
    pub(super) elected_at: Moment,
    pub(super) heartbeat_due: Moment,
    pub(super) first_index: u64,
}

#[derive(Debug, Clone)]
pub(super) enum AgreementRole {
    Follower,
    Candidate { pre_vote: bool, forming: bool, granted: BTreeSet<HostId> },
    Leader(LeaderState),
}

/// One voter's part in the agreement.
#[derive(Debug)]
pub struct AgreementState {
    pub(super) me: HostId,
    pub(super) settings: AgreementSettings,
    pub(super) hard: HardState,
    pub(super) log: EntryLog,
    pub(super) commit: u64,
    pub(super) role: AgreementRole,
    pub(super) leader: Option<HostId>,
    /// Until when it gives no vote: a leader's lease may count on it.
    pub(super) abstains_until: Moment,
    /// A leader was heard since the start.
    pub(super) heard_leader: bool,
    /// Questions after the start, until they are settled.
    pub(super) inquiry: Option<StartInquiry>,
    pub(super) election_due: Moment,
    pub(super) synced_index: u64,
    unsynced: VecDeque<(u64, u64)>,
    persist_number: u64,
    synced_number: u64,
    held: VecDeque<(u64, AgreementEffect)>,
    records: Vec<JournalRecord>,
    pub(super) effects: Vec<AgreementEffect>,
    rng: ChaCha8Rng,
}

impl AgreementState {
    /// Rebuilds a voter from its journal; an empty journal is an empty disk.
    ///
    /// The voter does not vote for one election timeout after `now`, since it
    /// may have heard from a leader just before it stopped, unless all voters
    /// tell it that nobody leads.
    pub fn restore(
        me: HostId,
        settings: AgreementSettings,
        journal: impl IntoIterator<Item = JournalRecord>,
        now: Moment,
    ) -> Self {
        let snapshot = StateSnapshot {
            index: 0,
            term: 0,
            voters: settings.first_voters.clone(),
            state: ControlState::default(),
        };
        let mut hard = HardState::default();
        let mut log = EntryLog::new(snapshot);
        for record in journal {
            match record {
                JournalRecord::Hard(state) => hard = state,
                JournalRecord::Entry(entry) => log.append(entry),
                JournalRecord::Snapshot(snapshot) => log.install(*snapshot),
            }
        }
        let rng = ChaCha8Rng::seed_from_u64(settings.seed ^ u64::from(me.0));
        let mut state = Self {
            me,
            settings,
            hard,
            commit: log.snapshot().index,
            synced_index: log.last_index(),
            log,
            role: AgreementRole::Follower,
            leader: None,
            abstains_until: now,
            heard_leader: false,
            inquiry: None,
            election_due: now,
            unsynced: VecDeque::new(),
            persist_number: 0,
            synced_number: 0,
            held: VecDeque::new(),
            records: Vec::new(),
            effects: Vec::new(),
            rng,
        };
        if state.hard.incarnation == 0 {
            let incarnation = state.rng.random_range(1..=u64::MAX);
            state.change_hard(|hard| hard.incarnation = incarnation);
        }
        // Nobody is known to lead: the host asks as soon as it may vote itself.
        let spread = state.settings.election_timeout / 4;
        state.abstains_until = now + state.settings.election_timeout;
        state.election_due = state.abstains_until + state.jittered(spread);
        if state.hard.eligible && state.log.voters().contains(&me) {
            let number = state.rng.random();
            let voters = state.log.voters().clone();
            let ends_at = state.abstains_until;
            state.inquiry = Some(StartInquiry::new(me, number, now, ends_at, voters));
        }
        state
    }

    /// The configuration at the start of the kept log.
    pub fn restored_state(&self) -> &ControlState {
        &self.log.snapshot().state
    }

    /// Takes one event and returns what to do, in order.
    pub fn step(&mut self, now: Moment, event: AgreementEvent) -> Vec<AgreementEffect> {
        match event {
            AgreementEvent::Tick => self.tick(now),
            AgreementEvent::Received(from, message) => self.receive(now, from, message),
            AgreementEvent::Persisted(number) => self.persisted(now, number),
        }
        self.finish()
    }

    /// Appends a command if this host leads.
    ///
    /// # Errors
    /// `ProposeError` names the leader, if known.
    pub fn propose(
        &mut self,
        now: Moment,
        command: ControlCommand,
    ) -> Result<(u64, Vec<AgreementEffect>), ProposeError> {
        self.check_leads()?;
        let index = self.append_own(EntryPayload::Command(command));
        self.replicate(now);
        Ok((index, self.finish()))
    }

    /// Changes the set of voters by one host.
    ///
    /// # Errors
    /// `ProposeError` if this host does not lead or a change is under way.
    pub fn propose_voters(
        &mut self,
        now: Moment,
        voters: BTreeSet<HostId>,
    ) -> Result<Vec<AgreementEffect>, ProposeError> {
        self.change_voters(now, voters)?;
        Ok(self.finish())
    }

    pub(super) fn change_voters(
        &mut self,
        now: Moment,
        voters: BTreeSet<HostId>,
    ) -> Result<(), ProposeError> {
        self.check_leads()?;
        let settled = self.commit >= self.log.last_voters_index();
        if !settled || self.log.voters().symmetric_difference(&voters).count() != 1 {
            return Err(ProposeError::ChangePending);
        }
        let admitted = self.admission(&voters);
        self.append_own(EntryPayload::Voters { voters, admitted });
        self.replicate(now);
        Ok(())
    }

    /// Replaces the log up to `state.applied` by a snapshot once it has grown
    /// long enough. Effects must be carried out as for a step.
    pub fn compact(&mut self, state: &ControlState, index: u64) -> Vec<AgreementEffect> {
        if self.log.len() < self.settings.compaction_entries || index > self.commit {
            return Vec::new();
        }
        let Some(term) = self.log.term_at(index) else {
            return Vec::new();
        };
        let snapshot = StateSnapshot {
            index,
            term,
            voters: self.log.voters_before(index + 1).clone(),
            state: state.clone(),
        };
        self.log.install(snapshot.clone());
        self.records.push(JournalRecord::Snapshot(Box::new(snapshot)));
        self.finish()
    }

    /// When time alone changes something.
    pub fn next_due(&self) -> Moment {
        match &self.role {
            AgreementRole::Leader(leader) => leader.heartbeat_due,
            _ => self.inquiry.iter().map(StartInquiry::due).fold(self.election_due, Moment::min),
        }
    }

    /// Lets a host that asks to join follow the log of this leader; it becomes
    /// a voter once it has caught up.
    pub fn admit_learner(&mut self, now: Moment, host: HostId) {
        let first = self.log.last_index() + 1;
        if let AgreementRole::Leader(leader) = &mut self.role
            && host != self.me
        {
            leader.followers.entry(host).or_insert_with(|| FollowerProgress::new(first, now));
        }
    }

    /// The leader, as far as known.
    pub fn leader(&self) -> Option<HostId> {
        self.leader
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// The commit index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The log, for inspection.
    pub fn log(&self) -> &EntryLog {
        &self.log
    }

    /// The voters in force.
    pub fn voters(&self) -> &BTreeSet<HostId> {
        self.log.voters()
    }

    /// True if this voter's disk is known to the others.
    pub fn is_eligible(&self) -> bool {
        self.hard.eligible
    }

    /// True if this host leads, whether or not it can still prove it.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, AgreementRole::Leader(_))
    }

    /// True if this host leads, has committed an entry of its term, and no
    /// other leader can exist yet.
    pub fn is_current_leader(&self, now: Moment) -> bool {
        let AgreementRole::Leader(leader) = &self.role else {
            return false;
        };
        let lease = self.settings.election_timeout * LEASE_DRIFT_PERCENT / 100;
        let quorum_at = self.quorum_contact(leader, now);
        self.commit >= leader.first_index && now.since(quorum_at) < lease
    }

    /// The voter that a new set takes in, with the disk that caught up.
    fn admission(&self, voters: &BTreeSet<HostId>) -> Option<AdmittedVoter> {
        let host = *voters.difference(self.log.voters()).next()?;
        let AgreementRole::Leader(leader) = &self.role else {
            return None;
        };
        let incarnation = leader.followers.get(&host)?.incarnation;
        Some(AdmittedVoter { host, incarnation })
    }

    fn check_leads(&self) -> Result<(), ProposeError> {
        if self.is_leader() {
            return Ok(());
        }
        Err(ProposeError::NotLeader { leader: self.leader })
    }

    pub(super) fn quorum(&self) -> usize {
        self.log.voters().len() / 2 + 1
    }

    /// Latest moment by which a quorum had been sent something that it
    /// answered since.
    pub(super) fn quorum_contact(&self, leader: &LeaderState, now: Moment) -> Moment {
        let mut contacts: Vec<Moment> = self
            .log
            .voters()
            .iter()
            .map(|voter| match leader.followers.get(voter) {
                _ if *voter == self.me => now,
                Some(follower) if follower.eligible => {
                    follower.acknowledged_at.unwrap_or(Moment::ZERO)
                }
                _ => Moment::ZERO,
            })
            .collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts.get(self.quorum() - 1).copied().unwrap_or(Moment::ZERO)
    }

    pub(super) fn reset_election(&mut self, now: Moment) {
        self.election_due = now + self.jittered(self.settings.election_timeout);
    }

    /// A random time from `shortest` to twice that.
    pub(super) fn jittered(&mut self, shortest: Duration) -> Duration {
        let shortest = (shortest.as_micros() as u64).max(1);
        Duration::from_micros(self.rng.random_range(shortest..2 * shortest))
    }

    /// A random time up to `longest`.
    pub(super) fn spread(&mut self, longest: Duration) -> Duration {
        let longest = longest.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(0..=longest))
    }

    pub(super) fn change_hard(&mut self, change: impl FnOnce(&mut HardState)) {
        let before = self.hard;
        change(&mut self.hard);
        if self.hard != before {
            self.records.push(JournalRecord::Hard(self.hard));
        }
    }

    pub(super) fn append_entry(&mut self, entry: LogEntry) {
        self.synced_index = self.synced_index.min(entry.index - 1);
        self.unsynced.retain_mut(|(_, index)| {
            *index = (*index).min(entry.index - 1);
            true
        });
        self.records.push(JournalRecord::Entry(entry.clone()));
        self.log.append(entry);
    }

    pub(super) fn append_own(&mut self, payload: EntryPayload) -> u64 {
        let index = self.log.last_index() + 1;
        self.append_entry(LogEntry { index, term: self.hard.term, payload });
        index
    }

    pub(super) fn install_snapshot(&mut self, snapshot: StateSnapshot) {
        self.log.install(snapshot.clone());
        self.commit = self.commit.max(snapshot.index);
        self.records.push(JournalRecord::Snapshot(Box::new(snapshot.clone())));
        self.effects.push(AgreementEffect::Installed(Box::new(snapshot)));
    }

    pub(super) fn send(&mut self, to: HostId, message: AgreementMessage) {
        self.effects.push(AgreementEffect::Send(to, message));
    }

    fn persisted(&mut self, now: Moment, number: u64) {
        self.synced_number = self.synced_number.max(number);
        while let Some((batch, index)) = self.unsynced.front().copied() {
            if batch > number {
                break;
            }
            self.synced_index = self.synced_index.max(index);
            self.unsynced.pop_front();
        }
        while let Some((batch, _)) = self.held.front() {
            if *batch > self.synced_number {
                break;
            }
            if let Some((_, effect)) = self.held.pop_front() {
                self.effects.push(effect);
            }
        }
        self.advance_commit(now);
    }

    /// Puts the records of this step before its effects, and holds messages
    /// back until every record before them is synced.
    fn finish(&mut self) -> Vec<AgreementEffect> {
        let produced = std::mem::take(&mut self.effects);
        let mut ready = Vec::new();
        if !self.records.is_empty() {
            self.persist_number += 1;
            let number = self.persist_number;
            self.unsynced.push_back((number, self.log.last_index()));
            let records = std::mem::take(&mut self.records);
            ready.push(AgreementEffect::Persist { number, records });
        }
        for effect in produced {
            let waits = matches!(effect, AgreementEffect::Send(..))
                && self.synced_number < self.persist_number;
            if waits {
                self.held.push_back((self.persist_number, effect));
            } else {
                ready.push(effect);
            }
        }
        ready
    }
}
