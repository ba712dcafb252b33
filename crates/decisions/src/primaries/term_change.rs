use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{ServiceTerm, TermPhase};
use crate::{
    clock::Moment,
    identity::HostId,
    instances::{InstanceDirectory, InstanceKey, InstanceRecord, InstanceRole},
    leases::LeaseTable,
    positions::LogPosition,
};

/// Time for the replicas to say how far they are before the furthest of those
/// that answered is taken.
const STATUS_WAIT: Duration = Duration::from_millis(250);
/// Time between two questions to one database.
const STATUS_RETRY: Duration = Duration::from_millis(60);
/// Longest wait of a planned change for a replica to hold all that the old
/// primary has.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a successor after which the old primary may lead again.
const RETURN_WAIT: Duration = Duration::from_millis(1_000);
/// Time between two calls that promote the same database.
const PROMOTE_RETRY: Duration = Duration::from_millis(700);
/// Time after which another database is chosen.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(3_000);

/// What a database says of its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceStatus {
    /// How it sees itself.
    pub role: InstanceRole,
    /// Its own count of primaries.
    pub term: u64,
    /// Last entry that it received.
    pub received: LogPosition,
}

/// What the leader does next for a change of primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TermStep {
    /// Ask a database for its status.
    AskStatus(InstanceKey),
    /// Commit the successor.
    Choose(InstanceKey),
    /// Tell the platform that this database leads.
    Promote(InstanceKey),
    /// Commit that the successor leads.
    Start,
    /// The successor did not lead in time: look for another one.
    Restart,
}

/// The leader's state of one change of primary; a new leader gathers it again.
#[derive(Debug)]
pub struct TermChange {
    since_index: u64,
    started_at: Moment,
    clear_at: Option<Moment>,
    statuses: BTreeMap<InstanceKey, InstanceStatus>,
    asked_at: BTreeMap<InstanceKey, Moment>,
    promoted_at: Option<Moment>,
    refused: BTreeSet<InstanceKey>,
    proposed: bool,
}

/// What the leader knows of the hosts that may use the old primary.
#[derive(Debug, Clone, Copy)]
pub struct HolderView<'a> {
    /// Hosts that may hold a lease.
    pub holders: &'a BTreeSet<HostId>,
    /// When their leases run out.
    pub leases: &'a LeaseTable,
    /// What each host applied.
    pub applied: &'a BTreeMap<HostId, u64>,
}

impl TermChange {
    /// State for a change that this leader begins to drive.
    pub fn new(now: Moment, term: &ServiceTerm) -> Self {
        Self {
            since_index: term.since_index,
            started_at: now,
            clear_at: None,
            statuses: BTreeMap::new(),
            asked_at: BTreeMap::new(),
            promoted_at: None,
            refused: BTreeSet::new(),
            proposed: false,
        }
    }

    /// True if this state belongs to the term's present phase.
    pub fn matches_phase(&self, term: &ServiceTerm) -> bool {
        self.since_index == term.since_index
    }

    /// State for the next phase, which keeps the databases that refused.
    pub fn next_phase(&self, now: Moment, term: &ServiceTerm) -> Self {
        Self { refused: self.refused.clone(), ..Self::new(now, term) }
    }

    /// A database answered a question.
    pub fn record_status(&mut self, key: InstanceKey, status: InstanceStatus) {
        self.statuses.insert(key, status);
    }

    /// The platform says that the database does not run.
    pub fn record_refusal(&mut self, key: InstanceKey) {
        self.refused.insert(key);
    }

    /// When a step may be due without further events.
    pub fn next_due(&self, now: Moment) -> Moment {
        now + STATUS_RETRY
    }

    /// What to do now.
    pub fn next_steps(
        &mut self,
        now: Moment,
        term: &ServiceTerm,
        directory: &InstanceDirectory,
        view: HolderView<'_>,
        sync_replicas: u32,
    ) -> Vec<TermStep> {
        if self.proposed {
            return Vec::new();
        }
        match &term.phase {
            TermPhase::Steady => Vec::new(),
            TermPhase::Fencing { planned } => {
                if !self.is_clear(now, view) {
                    return Vec::new();
                }
                self.look_for_successor(now, term, directory, *planned, sync_replicas)
            }
            TermPhase::Promoting { chosen } => self.promote(now, chosen, directory),
        }
    }

    /// True once no host can use the old primary: each has applied the end of
    /// the term, or its lease from before has run out.
    fn is_clear(&mut self, now: Moment, view: HolderView<'_>) -> bool {
        if self.clear_at.is_some() {
            return true;
        }
        let clear = view.holders.iter().all(|host| {
            let applied = view.applied.get(host).copied().unwrap_or(0);
            applied >= self.since_index || now >= view.leases.expires_at(*host)
        });
        if clear {
            self.clear_at = Some(now);
            self.statuses.clear();
        }
        clear
    }

    fn look_for_successor(
        &mut self,
        now: Moment,
        term: &ServiceTerm,
        directory: &InstanceDirectory,
        planned: bool,
        sync_replicas: u32,
    ) -> Vec<TermStep> {
        let waited = now.since(self.clear_at.unwrap_or(now));
        let may_return = !planned && waited >= RETURN_WAIT;
        let candidates: Vec<&InstanceRecord> = directory
            .instances_of_service(&term.service)
            .filter(|record| may_return || record.key.id != term.primary.id)
            .collect();
        let goal = match planned && waited < CATCH_UP_TIMEOUT {
            true => self.statuses.get(&term.primary).map(|status| status.received),
            false => None,
        };
        let waits_for_goal = planned && waited < CATCH_UP_TIMEOUT;
        let answered = candidates.iter().filter(|r| self.statuses.contains_key(&r.key)).count();
        let all_answered = answered == candidates.len();
        // An acknowledged commit is on `sync_replicas` databases at least, so
        // one of any set that misses fewer than that holds it.
        let enough = candidates.len() - answered < sync_replicas.max(1) as usize;
        let ready = match (waits_for_goal, goal) {
            (true, None) => false,
            (true, Some(goal)) => {
                self.best(term, &candidates).is_some_and(|(_, s)| s.received >= goal)
            }
            (false, _) if sync_replicas > 0 => enough,
            (false, _) => all_answered || waited >= STATUS_WAIT,
        };
        if ready && let Some((key, _)) = self.best(term, &candidates) {
            self.proposed = true;
            return vec![TermStep::Choose(key)];
        }
        let asked_primary = planned.then(|| term.primary.clone());
        let keys: Vec<InstanceKey> =
            candidates.iter().map(|r| r.key.clone()).chain(asked_primary).collect();
        keys.into_iter().filter_map(|key| self.ask(now, key)).collect()
    }

    /// The furthest replica that stays.
    fn best(
        &self,
        term: &ServiceTerm,
        candidates: &[&InstanceRecord],
    ) -> Option<(InstanceKey, InstanceStatus)> {
        candidates
            .iter()
            .filter(|record| !self.refused.contains(&record.key))
            .filter_map(|record| Some((*record, *self.statuses.get(&record.key)?)))
            .max_by_key(|(record, status)| {
                (record.key.id != term.primary.id, !record.draining, status.received)
            })
            .map(|(record, status)| (record.key.clone(), status))
    }

    fn ask(&mut self, now: Moment, key: InstanceKey) -> Option<TermStep> {
        let asked = self.asked_at.get(&key);
        if asked.is_some_and(|at| now.since(*at) < STATUS_RETRY) {
            return None;
        }
        self.asked_at.insert(key.clone(), now);
        Some(TermStep::AskStatus(key))
    }

    fn promote(
        &mut self,
        now: Moment,
        chosen: &InstanceKey,
        directory: &InstanceDirectory,
    ) -> Vec<TermStep> {
        let record = directory.get(&chosen.id);
        let says_so = record.is_some_and(|r| r.role == InstanceRole::Primary && r.key == *chosen);
        let answers_so =
            self.statuses.get(chosen).is_some_and(|status| status.role == InstanceRole::Primary);
        if says_so || answers_so {
            self.proposed = true;
            return vec![TermStep::Start];
        }
        let late = now.since(self.started_at) >= PROMOTION_TIMEOUT;
        if late || self.refused.contains(chosen) {
            self.proposed = true;
            return vec![TermStep::Restart];
        }
        let mut steps = Vec::new();
        if self.promoted_at.is_none_or(|at| now.since(at) >= PROMOTE_RETRY) {
            self.promoted_at = Some(now);
            steps.push(TermStep::Promote(chosen.clone()));
        }
        let asked = self.asked_at.get(chosen).copied().unwrap_or(self.started_at);
        if now.since(asked) >= 3 * STATUS_RETRY {
            self.asked_at.insert(chosen.clone(), now);
            steps.push(TermStep::AskStatus(chosen.clone()));
        }
        steps
    }
}
