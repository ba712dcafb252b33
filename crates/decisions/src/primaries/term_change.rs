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

/// Time for replicas to report their positions before the furthest of those
/// that answered is chosen.
const STATUS_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two status requests to one database.
const STATUS_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Longest wait of a planned change for a replica to receive all that the old
/// primary has.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a successor after which the old primary may be chosen again.
const OLD_PRIMARY_EXCLUSION: Duration = Duration::from_millis(1_000);
/// Time between two calls that promote the same database.
const PROMOTE_RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Time after which another database is chosen if this one has not become
/// primary.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Role and log position as reported by a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Role in the database's own view.
    pub role: InstanceRole,
    /// Number of primaries as counted by the database.
    pub term: u64,
    /// Position of the last log entry that it received.
    pub received: LogPosition,
}

/// Order in which databases that answered are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CandidateOrder {
    /// A replica that does not drain, then the longest log.
    StayingFirst,
    /// The replica with the longest log.
    LongestReplica,
    /// The longest log, be it the old primary's.
    LongestLog,
}

/// Next step of the leader in a change of primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TermStep {
    /// Ask a database for its status.
    AskStatus(InstanceKey),
    /// Commit a database as the successor.
    Choose {
        /// The database.
        chosen: InstanceKey,
        /// Term, as databases count them, above which it must lead.
        above_term: u64,
    },
    /// Ask the platform to promote this database.
    Promote(InstanceKey),
    /// Commit the start of the successor's term.
    Start,
    /// Select another successor: this one is not running or did not become
    /// primary in time.
    Restart,
}

/// Leader state of one change of primary; a new leader collects it again.
#[derive(Debug)]
pub struct TermChange {
    since_index: u64,
    started_at: Moment,
    fenced_at: Option<Moment>,
    /// Time since which, after the fencing, there has been a candidate.
    candidates_since: Option<Moment>,
    statuses: BTreeMap<InstanceKey, InstanceStatus>,
    asked_at: BTreeMap<InstanceKey, Moment>,
    promoted_at: Option<Moment>,
    excluded: BTreeSet<InstanceKey>,
    proposed: bool,
}

/// State of the hosts that may use the old primary, as known to the leader.
#[derive(Debug, Clone, Copy)]
pub struct HolderView<'a> {
    /// Hosts that may hold a lease.
    pub holders: &'a BTreeSet<HostId>,
    /// Expiry times of their leases.
    pub leases: &'a LeaseTable,
    /// Index of the control log that each host has applied.
    pub applied: &'a BTreeMap<HostId, u64>,
}

/// Rules for the choice of a service's next primary.
#[derive(Debug, Clone, Copy)]
pub struct SuccessionRules {
    /// Number of replicas that hold each acknowledged commit.
    pub sync_replicas: u32,
    /// Time after which a draining database is no longer chosen; `None` for no limit.
    pub drain_limit: Option<Duration>,
}

impl TermChange {
    /// Creates the state for a change that this leader starts to handle.
    pub fn new(now: Moment, term: &ServiceTerm) -> Self {
        Self {
            since_index: term.since_index,
            started_at: now,
            fenced_at: None,
            candidates_since: None,
            statuses: BTreeMap::new(),
            asked_at: BTreeMap::new(),
            promoted_at: None,
            excluded: BTreeSet::new(),
            proposed: false,
        }
    }

    /// True if this state belongs to the term's current phase.
    pub fn matches_phase(&self, term: &ServiceTerm) -> bool {
        self.since_index == term.since_index
    }

    /// Creates the state for the next phase; databases that were excluded stay
    /// so.
    pub fn next_phase(&self, now: Moment, term: &ServiceTerm) -> Self {
        Self { excluded: self.excluded.clone(), ..Self::new(now, term) }
    }

    /// Records the answer to a status request.
    pub fn record_status(&mut self, key: InstanceKey, status: InstanceStatus) {
        self.statuses.insert(key, status);
    }

    /// Excludes a database that the platform reports as not running.
    pub fn exclude_candidate(&mut self, key: InstanceKey) {
        self.excluded.insert(key);
    }

    /// Time at which a step may be due without further events.
    pub fn next_due(&self, now: Moment) -> Moment {
        now + STATUS_RETRY_INTERVAL
    }

    /// Returns the steps that are due now, none once a command was proposed.
    pub fn next_steps(
        &mut self,
        now: Moment,
        term: &ServiceTerm,
        directory: &InstanceDirectory,
        view: HolderView<'_>,
        rules: SuccessionRules,
    ) -> Vec<TermStep> {
        if self.proposed {
            return Vec::new();
        }
        match &term.phase {
            TermPhase::Steady => Vec::new(),
            TermPhase::Fencing { planned } => {
                if !self.check_fenced(now, view) {
                    return Vec::new();
                }
                self.select_successor(now, term, directory, *planned, rules)
            }
            TermPhase::Promoting { chosen } => {
                self.plan_promotion(now, chosen, term.above_term, directory)
            }
        }
    }

    /// True once no host can use the old primary: each has applied the end of
    /// the term, or its earlier lease has expired.
    fn check_fenced(&mut self, now: Moment, view: HolderView<'_>) -> bool {
        if self.fenced_at.is_some() {
            return true;
        }
        let fenced = view.holders.iter().all(|host| {
            let applied = view.applied.get(host).copied().unwrap_or(0);
            applied >= self.since_index || now >= view.leases.expires_at(*host)
        });
        if fenced {
            self.fenced_at = Some(now);
            self.statuses.clear();
        }
        fenced
    }

    fn select_successor(
        &mut self,
        now: Moment,
        term: &ServiceTerm,
        directory: &InstanceDirectory,
        planned: bool,
        rules: SuccessionRules,
    ) -> Vec<TermStep> {
        // After a failure the old primary may have recovered; in a planned change it
        // still serves if no successor answers.
        let old_primary_exclusion = match planned {
            true => CATCH_UP_TIMEOUT,
            false => OLD_PRIMARY_EXCLUSION,
        };
        let old_primary_allowed = now.since(self.fenced_at.unwrap_or(now)) >= old_primary_exclusion;
        let is_candidate = |record: &InstanceRecord| {
            let is_replica = record.key.id != term.primary.id;
            // A drained replica may be the only one with an acknowledged commit.
            let needed = is_replica && !planned && rules.sync_replicas > 0;
            (is_replica || old_primary_allowed)
                && (needed || !directory.has_drained(now, &record.key, rules.drain_limit))
        };
        let candidates: Vec<&InstanceRecord> = directory
            .instances_of_service(&term.service)
            .filter(|record| is_candidate(record))
            .collect();
        if candidates.is_empty() {
            self.candidates_since = None;
            return Vec::new();
        }
        let waited = now.since(*self.candidates_since.get_or_insert(now));
        let order = self.candidate_order(term, &candidates, rules.sync_replicas);
        let best = order.and_then(|order| self.best_candidate(term, &candidates, order));
        let awaits_catch_up =
            planned && waited < CATCH_UP_TIMEOUT && directory.get_by_key(&term.primary).is_some();
        let old_status = self.statuses.get(&term.primary);
        let all_answered = candidates.iter().all(|record| self.has_answered(&record.key));
        let ready = match (awaits_catch_up, old_status, &best) {
            (true, Some(old), Some((_, status))) => status.received >= old.received,
            (true, ..) => false,
            (false, ..) => rules.sync_replicas > 0 || all_answered || waited >= STATUS_TIMEOUT,
        };
        if ready && let Some((chosen, status)) = best {
            self.proposed = true;
            let above_term = self.term_to_exceed(term, status);
            return vec![TermStep::Choose { chosen, above_term }];
        }
        let old_primary = planned.then(|| term.primary.clone());
        let keys: Vec<InstanceKey> =
            candidates.iter().map(|r| r.key.clone()).chain(old_primary).collect();
        keys.into_iter().filter_map(|key| self.request_status(now, key)).collect()
    }

    fn has_answered(&self, key: &InstanceKey) -> bool {
        self.statuses.contains_key(key) && !self.excluded.contains(key)
    }

    /// How to choose among the databases that answered; `None` if all of them may
    /// lack an acknowledged commit.
    fn candidate_order(
        &self,
        term: &ServiceTerm,
        candidates: &[&InstanceRecord],
        sync_replicas: u32,
    ) -> Option<CandidateOrder> {
        if sync_replicas == 0 {
            return Some(CandidateOrder::StayingFirst);
        }
        // An acknowledged commit is on at least `sync_replicas` replicas, so that one
        // of those that answered has it if fewer did not answer.
        let is_old_primary = |record: &InstanceRecord| record.key.id == term.primary.id;
        let missing = candidates
            .iter()
            .filter(|record| !is_old_primary(record) && !self.has_answered(&record.key))
            .count();
        if missing < sync_replicas as usize {
            return Some(CandidateOrder::LongestReplica);
        }
        let old_answered = candidates
            .iter()
            .any(|record| is_old_primary(record) && self.has_answered(&record.key));
        old_answered.then_some(CandidateOrder::LongestLog)
    }

    /// Returns the preferred candidate among those that answered.
    fn best_candidate(
        &self,
        term: &ServiceTerm,
        candidates: &[&InstanceRecord],
        order: CandidateOrder,
    ) -> Option<(InstanceKey, InstanceStatus)> {
        candidates
            .iter()
            .filter(|record| self.has_answered(&record.key))
            .filter_map(|record| Some((*record, *self.statuses.get(&record.key)?)))
            .max_by_key(|(record, status)| {
                let is_replica = record.key.id != term.primary.id;
                let (first, stays) = match order {
                    CandidateOrder::StayingFirst => (is_replica, !record.draining),
                    CandidateOrder::LongestReplica => (is_replica, true),
                    CandidateOrder::LongestLog => (true, true),
                };
                (first, stays, status.received, !record.draining, is_replica)
            })
            .map(|(record, status)| (record.key.clone(), status))
    }

    /// Term above which the chosen database leads: the highest known one, since a
    /// former primary may call itself primary of its own term. A database that
    /// already leads the highest term keeps it: the present primary, or the one that
    /// took over its log and address.
    fn term_to_exceed(&self, term: &ServiceTerm, status: InstanceStatus) -> u64 {
        let counted = self.statuses.values().map(|status| status.term).max().unwrap_or(0);
        let highest = counted.max(term.above_term);
        let leads_already = status.role == InstanceRole::Primary
            && status.term == highest
            && status.term > term.above_term;
        if leads_already { highest - 1 } else { highest }
    }

    fn request_status(&mut self, now: Moment, key: InstanceKey) -> Option<TermStep> {
        let asked_at = self.asked_at.get(&key);
        if asked_at.is_some_and(|at| now.since(*at) < STATUS_RETRY_INTERVAL) {
            return None;
        }
        self.asked_at.insert(key.clone(), now);
        Some(TermStep::AskStatus(key))
    }

    fn plan_promotion(
        &mut self,
        now: Moment,
        chosen: &InstanceKey,
        above_term: u64,
        directory: &InstanceDirectory,
    ) -> Vec<TermStep> {
        let leads = self
            .statuses
            .get(chosen)
            .is_some_and(|status| status.role == InstanceRole::Primary && status.term > above_term);
        if leads {
            self.proposed = true;
            return vec![TermStep::Start];
        }
        let timed_out = now.since(self.started_at) >= PROMOTION_TIMEOUT;
        if timed_out || self.excluded.contains(chosen) {
            self.proposed = true;
            return vec![TermStep::Restart];
        }
        let mut steps = Vec::new();
        if self.promoted_at.is_none_or(|at| now.since(at) >= PROMOTE_RETRY_INTERVAL) {
            self.promoted_at = Some(now);
            steps.push(TermStep::Promote(chosen.clone()));
        }
        // An announced role does not tell in which term, but that it is time to ask.
        let announced_primary =
            directory.get_by_key(chosen).is_some_and(|r| r.role == InstanceRole::Primary);
        let interval = match announced_primary {
            true => STATUS_RETRY_INTERVAL,
            false => 3 * STATUS_RETRY_INTERVAL,
        };
        let asked_at = self.asked_at.get(chosen).copied().unwrap_or(self.started_at);
        if now.since(asked_at) >= interval {
            self.asked_at.insert(chosen.clone(), now);
            steps.push(TermStep::AskStatus(chosen.clone()));
        }
        steps
    }
}
