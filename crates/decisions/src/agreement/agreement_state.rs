use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use snafu::Snafu;

use super::{
    AdmittedVoter, AgreementEffect, AgreementEvent, AgreementMessage, EntryLog, EntryPayload,
    HardState, JournalRecord, LogEntry, StateSnapshot, leader_inquiry::LeaderInquiry,
};
use crate::{
    clock::Moment,
    control_state::{ControlCommand, ControlState},
    identity::HostId,
};

/// Default of [`AgreementSettings::compaction_entries`].
pub const COMPACTION_ENTRIES: usize = 2_048;
/// Length of a leader's lease as a percentage of the election timeout; the
/// remainder covers clock drift between two hosts.
const LEADER_LEASE_PERCENT: u32 = 90;

/// Why a proposal was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// This host is not the leader.
    #[snafu(display("this host is not the control leader"))]
    NotLeader {
        /// The leader, if known.
        leader: Option<HostId>,
    },
    /// An earlier change of voters is not committed yet, or the new set does
    /// not differ from the current one by exactly one host.
    #[snafu(display("an earlier change of voters is not committed yet"))]
    ChangePending,
}

/// Timing, initial voters and log size of the agreement.
#[derive(Debug, Clone)]
pub struct AgreementSettings {
    /// Shortest silence of a leader before an election. The actual timeout is
    /// drawn at random between this value and twice this value.
    pub election_timeout: Duration,
    /// Interval of a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Voters of a deployment that is formed for the first time. A leader keeps
    /// replicating to them after they are removed from the voters.
    pub first_voters: BTreeSet<HostId>,
    /// Number of voters whose disks may be lost at once. Voters that are gone are removed
    /// while enough remain for it; `None` removes only the one of an even number.
    pub tolerated_losses: Option<usize>,
    /// Committed log entries after which a snapshot replaces them, once the log is as large
    /// as the state.
    pub compaction_entries: usize,
    /// Seed for random timeouts and ids; must differ at every start.
    pub seed: u64,
}

/// Replication progress of one voter or learner, as its leader knows it.
#[derive(Debug, Clone)]
pub(super) struct FollowerProgress {
    pub(super) next_index: u64,
    pub(super) match_index: u64,
    pub(super) eligible: bool,
    pub(super) incarnation: u64,
    /// Send time of the newest message that the follower has answered.
    pub(super) acknowledged_at: Option<Moment>,
    pub(super) sent_at: Moment,
    /// Index of the last snapshot sent, and when.
    pub(super) snapshot_sent: Option<(u64, Moment)>,
    /// When the host last rejected entries, so that they were sent again from an earlier
    /// index.
    pub(super) rewound_at: Option<Moment>,
    /// When this leader started to replicate to the host.
    pub(super) followed_since: Moment,
}

#[derive(Debug, Clone)]
pub(super) struct LeaderState {
    pub(super) followers: BTreeMap<HostId, FollowerProgress>,
    pub(super) elected_at: Moment,
    pub(super) heartbeat_due: Moment,
    /// Index of the first entry of this leader's term.
    pub(super) first_index: u64,
    /// Voters with lost disks that this leader was elected without.
    pub(super) excluded: BTreeSet<HostId>,
}

#[derive(Debug, Clone)]
pub(super) struct CandidateState {
    pub(super) pre_vote: bool,
    pub(super) forming: bool,
    pub(super) granted: BTreeSet<HostId>,
    /// Voters with lost disks that this vote is counted without.
    pub(super) excluded: BTreeSet<HostId>,
    /// Voters that reported a lost disk in the pre-vote, and may be excluded from the vote.
    pub(super) excludable: BTreeSet<HostId>,
}

#[derive(Debug, Clone)]
pub(super) enum AgreementRole {
    Follower,
    Candidate(CandidateState),
    Leader(LeaderState),
}

/// State machine of one host that takes part in the agreement.
#[derive(Debug)]
pub struct AgreementState {
    pub(super) me: HostId,
    pub(super) settings: AgreementSettings,
    pub(super) hard_state: HardState,
    pub(super) log: EntryLog,
    pub(super) commit: u64,
    pub(super) role: AgreementRole,
    pub(super) leader: Option<HostId>,
    /// Time before which this host grants no vote, because a leader's lease may
    /// rely on it.
    pub(super) abstains_until: Moment,
    /// A message from a current leader has arrived since the start.
    pub(super) heard_leader: bool,
    /// Inquiry for a leader after the start, until it is concluded.
    pub(super) inquiry: Option<LeaderInquiry>,
    pub(super) election_due: Moment,
    /// Hosts that said that they stop, and when.
    pub(super) stopping: BTreeMap<HostId, Moment>,
    /// Hosts that have not answered yet, and when the first message without an answer was sent.
    pub(super) unanswered: BTreeMap<HostId, Moment>,
    /// Hosts that have sent something since this host last followed a leader.
    pub(super) heard: BTreeSet<HostId>,
    /// Elections that this host has started since it last knew a leader.
    pub(super) elections_without_leader: u32,
    pub(super) synced_index: u64,
    /// Persist number and last log index of each batch that is not synced yet.
    unsynced_batches: VecDeque<(u64, u64)>,
    /// Number of the newest batch of records.
    persist_number: u64,
    /// Number of the newest batch known to be synced.
    synced_number: u64,
    /// Messages to send once the batch with the given number is synced.
    pending_sends: VecDeque<(u64, AgreementEffect)>,
    /// Records that this step adds to the journal.
    records: Vec<JournalRecord>,
    pub(super) effects: Vec<AgreementEffect>,
    rng: ChaCha8Rng,
}

impl AgreementState {
    /// Rebuilds a host's state from its journal; an empty journal stands for an
    /// empty disk.
    ///
    /// The host grants no vote for one election timeout after `now`, since it
    /// may have answered a leader just before it stopped. The wait ends early
    /// if all voters report that there is no leader.
    pub fn restore(
        me: HostId,
        settings: AgreementSettings,
        journal: impl IntoIterator<Item = JournalRecord>,
        now: Moment,
    ) -> Self {
        let mut hard_state = HardState::default();
        let mut log = EntryLog::new(StateSnapshot::initial(settings.first_voters.clone()));
        for record in journal {
            match record {
                JournalRecord::Hard(state) => hard_state = state,
                JournalRecord::Entry(entry) => log.append(entry),
                JournalRecord::Snapshot(snapshot) => log.install(*snapshot),
            }
        }
        let rng = ChaCha8Rng::seed_from_u64(settings.seed ^ u64::from(me.0));
        let mut state = Self {
            me,
            settings,
            hard_state,
            commit: log.snapshot().index,
            synced_index: log.last_index(),
            log,
            role: AgreementRole::Follower,
            leader: None,
            abstains_until: now,
            heard_leader: false,
            inquiry: None,
            election_due: now,
            stopping: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            heard: BTreeSet::new(),
            elections_without_leader: 0,
            unsynced_batches: VecDeque::new(),
            persist_number: 0,
            synced_number: 0,
            pending_sends: VecDeque::new(),
            records: Vec::new(),
            effects: Vec::new(),
            rng,
        };
        if state.hard_state.incarnation == 0 {
            let incarnation = state.rng.random_range(1..=u64::MAX);
            state.update_hard_state(|hard| hard.incarnation = incarnation);
        }
        // No leader is known yet, so the host starts its first pre-vote soon
        // after it may vote itself.
        let spread = state.settings.election_timeout / 4;
        state.abstains_until = now + state.settings.election_timeout;
        state.election_due = state.abstains_until + state.random_timeout(spread);
        if state.hard_state.eligible && state.log.voters().contains(&me) {
            let number = state.rng.random();
            let voters = state.voting_hosts();
            let ends_at = state.abstains_until;
            state.inquiry = Some(LeaderInquiry::new(me, number, now, ends_at, voters));
        }
        state
    }

    /// Replicated state of the snapshot at the start of the log in memory.
    pub fn restored_state(&self) -> &ControlState {
        &self.log.snapshot().state
    }

    /// Handles one event and returns the effects to execute, in order.
    pub fn step(&mut self, now: Moment, event: AgreementEvent) -> Vec<AgreementEffect> {
        match event {
            AgreementEvent::Tick => self.tick(now),
            AgreementEvent::Received(from, message) => self.receive_message(now, from, message),
            AgreementEvent::Persisted(number) => self.mark_persisted(now, number),
        }
        self.take_effects()
    }

    /// Appends a command to the log and replicates it; returns its index and
    /// the effects to execute.
    ///
    /// # Errors
    /// `ProposeError::NotLeader` with the leader, if known.
    pub fn propose(
        &mut self,
        now: Moment,
        command: ControlCommand,
    ) -> Result<(u64, Vec<AgreementEffect>), ProposeError> {
        self.ensure_leader()?;
        let index = self.append_payload(EntryPayload::Command(command));
        self.replicate(now);
        Ok((index, self.take_effects()))
    }

    /// Proposes a set of voters that adds or removes exactly one host.
    ///
    /// # Errors
    /// `ProposeError` if this host does not lead, an earlier change is not
    /// committed yet, or the set does not differ by exactly one host.
    pub fn propose_voters(
        &mut self,
        now: Moment,
        voters: BTreeSet<HostId>,
    ) -> Result<Vec<AgreementEffect>, ProposeError> {
        self.change_voters(now, voters)?;
        Ok(self.take_effects())
    }

    pub(super) fn change_voters(
        &mut self,
        now: Moment,
        voters: BTreeSet<HostId>,
    ) -> Result<(), ProposeError> {
        self.ensure_leader()?;
        let last_change_committed = self.commit >= self.log.last_voter_change_index();
        if !last_change_committed || self.log.voters().symmetric_difference(&voters).count() != 1 {
            return Err(ProposeError::ChangePending);
        }
        let admitted = self.admitted_voter(&voters);
        if let (AgreementRole::Leader(leader), Some(admitted)) = (&mut self.role, admitted) {
            leader.excluded.remove(&admitted.host);
        }
        self.append_payload(EntryPayload::Voters { voters, admitted });
        self.replicate(now);
        Ok(())
    }

    /// Replaces the committed part of the log by a snapshot of `state` once that part has
    /// `compaction_entries` entries and the log is about as large as the state: a state of
    /// thousands of databases takes a megabyte, which must not be copied, and synced, for
    /// each few entries. `state` must be the state after all committed entries.
    /// Returns the effects to execute, as `step` does.
    pub fn compact(&mut self, state: &ControlState) -> Vec<AgreementEffect> {
        let index = self.commit;
        let committed = index - self.log.snapshot().index;
        if committed < self.settings.compaction_entries as u64
            || self.log.approximate_bytes() < state.approximate_bytes()
        {
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
        self.take_effects()
    }

    /// Time at which the next `AgreementEvent::Tick` is due.
    pub fn next_due(&self) -> Moment {
        match &self.role {
            AgreementRole::Leader(leader) => leader.heartbeat_due,
            _ => self.inquiry.iter().map(LeaderInquiry::due).fold(self.election_due, Moment::min),
        }
    }

    /// Starts replication to a host that links to this one, if this host leads. A
    /// learner becomes a voter once it has caught up.
    pub fn admit_learner(&mut self, now: Moment, host: HostId) {
        let first = self.log.last_index() + 1;
        if let AgreementRole::Leader(leader) = &mut self.role
            && host != self.me
        {
            let follower = leader.followers.entry(host);
            let follower = follower.or_insert_with(|| FollowerProgress::new(first, now));
            // It may have restarted, so that a snapshot on its way is lost.
            follower.snapshot_sent = None;
        }
    }

    /// The current leader, if known.
    pub fn leader(&self) -> Option<HostId> {
        self.leader
    }

    /// Highest term that this host has seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Index of the last committed entry.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The log in memory, including entries that are not committed.
    pub fn log(&self) -> &EntryLog {
        &self.log
    }

    /// The voters of the last change in the log, committed or not.
    pub fn voters(&self) -> &BTreeSet<HostId> {
        self.log.voters()
    }

    /// True if this host may vote and counts, see [`HardState::eligible`].
    pub fn is_eligible(&self) -> bool {
        self.hard_state.eligible
    }

    /// True if this host is in the leader role, even if its lease has expired.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, AgreementRole::Leader(_))
    }

    /// True if this host leads, has committed an entry of its own term, and
    /// holds a valid lease, so that no other leader can exist.
    pub fn is_current_leader(&self, now: Moment) -> bool {
        self.lead_ends_at(now).is_some_and(|end| now < end)
    }

    /// Time before which no other leader can exist, as far as the voters have answered by now;
    /// `None` if this host does not lead or has not committed an entry of its own term.
    pub fn lead_ends_at(&self, now: Moment) -> Option<Moment> {
        let AgreementRole::Leader(leader) = &self.role else {
            return None;
        };
        let lease = self.settings.election_timeout * LEADER_LEASE_PERCENT / 100;
        let has_committed = self.commit >= leader.first_index;
        has_committed.then(|| self.quorum_contact_time(leader, now) + lease)
    }

    /// The host that a new set of voters adds, with the id of its disk.
    fn admitted_voter(&self, voters: &BTreeSet<HostId>) -> Option<AdmittedVoter> {
        let host = *voters.difference(self.log.voters()).next()?;
        let AgreementRole::Leader(leader) = &self.role else {
            return None;
        };
        let incarnation = leader.followers.get(&host)?.incarnation;
        Some(AdmittedVoter { host, incarnation })
    }

    fn ensure_leader(&self) -> Result<(), ProposeError> {
        if self.is_leader() {
            return Ok(());
        }
        Err(ProposeError::NotLeader { leader: self.leader })
    }

    pub(super) fn reset_election_timer(&mut self, now: Moment) {
        self.election_due = now + self.random_timeout(self.settings.election_timeout);
    }

    /// A random duration between `shortest` and twice `shortest`.
    pub(super) fn random_timeout(&mut self, shortest: Duration) -> Duration {
        let shortest = (shortest.as_micros() as u64).max(1);
        Duration::from_micros(self.rng.random_range(shortest..2 * shortest))
    }

    /// A random duration of at most `longest`.
    pub(super) fn random_delay(&mut self, longest: Duration) -> Duration {
        let longest = longest.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(0..=longest))
    }

    pub(super) fn update_hard_state(&mut self, change: impl FnOnce(&mut HardState)) {
        let before = self.hard_state;
        change(&mut self.hard_state);
        if self.hard_state != before {
            self.records.push(JournalRecord::Hard(self.hard_state));
        }
    }

    pub(super) fn append_entry(&mut self, entry: LogEntry) {
        self.synced_index = self.synced_index.min(entry.index - 1);
        self.unsynced_batches.retain_mut(|(_, index)| {
            *index = (*index).min(entry.index - 1);
            true
        });
        self.records.push(JournalRecord::Entry(entry.clone()));
        self.log.append(entry);
    }

    pub(super) fn append_payload(&mut self, payload: EntryPayload) -> u64 {
        let index = self.log.last_index() + 1;
        self.append_entry(LogEntry { index, term: self.hard_state.term, payload });
        index
    }

    pub(super) fn install_snapshot(&mut self, snapshot: StateSnapshot) {
        self.log.install(snapshot.clone());
        self.commit = self.commit.max(snapshot.index);
        self.records.push(JournalRecord::Snapshot(Box::new(snapshot.clone())));
        self.effects.push(AgreementEffect::Installed(Box::new(snapshot)));
    }

    /// Sends a message that is to be answered.
    pub(super) fn ask(&mut self, now: Moment, to: HostId, message: AgreementMessage) {
        self.unanswered.entry(to).or_insert(now);
        self.send(to, message);
    }

    pub(super) fn send(&mut self, to: HostId, message: AgreementMessage) {
        self.effects.push(AgreementEffect::Send(to, message));
    }

    fn mark_persisted(&mut self, now: Moment, number: u64) {
        self.synced_number = self.synced_number.max(number);
        while let Some((batch, index)) = self.unsynced_batches.front().copied() {
            if batch > number {
                break;
            }
            self.synced_index = self.synced_index.max(index);
            self.unsynced_batches.pop_front();
        }
        while let Some((batch, _)) = self.pending_sends.front() {
            if *batch > self.synced_number {
                break;
            }
            if let Some((_, effect)) = self.pending_sends.pop_front() {
                self.effects.push(effect);
            }
        }
        self.advance_commit(now);
    }

    /// Returns the effects of this step, preceded by its journal records.
    /// Messages are withheld until all records before them are synced.
    pub(super) fn take_effects(&mut self) -> Vec<AgreementEffect> {
        let produced = std::mem::take(&mut self.effects);
        let mut ready = Vec::new();
        if !self.records.is_empty() {
            self.persist_number += 1;
            let number = self.persist_number;
            self.unsynced_batches.push_back((number, self.log.last_index()));
            let records = std::mem::take(&mut self.records);
            ready.push(AgreementEffect::Persist { number, records });
        }
        for effect in produced {
            let must_wait = matches!(effect, AgreementEffect::Send(..))
                && self.synced_number < self.persist_number;
            if must_wait {
                self.pending_sends.push_back((self.persist_number, effect));
            } else {
                ready.push(effect);
            }
        }
        ready
    }
}
