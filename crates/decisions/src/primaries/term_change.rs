use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{ServiceTerm, TermPhase, log_reports::LogReports};
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
/// The same once the wait for a complete log takes long: each request opens a connection.
const LATE_STATUS_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait of a planned change for a replica to receive all that the old
/// primary has.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a successor after which the old primary may be chosen again.
const OLD_PRIMARY_EXCLUSION: Duration = Duration::from_millis(1_000);
/// Time between two calls that promote the same database.
const PROMOTE_RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Time for which a leader leaves a choice of an earlier one to the call that may be on its way:
/// a throttled process may end its calls a tenth of a second after its lead.
const TAKEOVER_WAIT: Duration = Duration::from_millis(150);
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

impl InstanceStatus {
    /// True if the database holds any commit: one that has just started again may have lost
    /// its log, or not received the one that is transferred to it.
    pub(super) fn has_log(&self) -> bool {
        self.received.offset > 0
    }
}

/// Preference among databases that hold every acknowledged commit, least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateRank {
    /// A replica whose drain period is over. It leads without being used, so that
    /// another database can receive its log.
    DrainedReplica,
    /// The old primary, after a failure.
    FailedPrimary,
    /// A draining replica; its own drain would be the next change.
    DrainingReplica,
    /// The old primary, in a planned change.
    ServingPrimary,
    /// A replica that does not drain.
    StayingReplica,
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
    Start {
        /// The successor must not be used, as its drain period is over: a planned change
        /// follows at once.
        drained: bool,
    },
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
    reports: LogReports,
    asked_at: BTreeMap<InstanceKey, Moment>,
    promoted_at: Option<Moment>,
    excluded: BTreeSet<InstanceKey>,
    proposed: bool,
    /// An earlier leader may have asked for the promotion that is due in this phase.
    taken_over: bool,
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
#[derive(Debug, Clone)]
pub struct SuccessionRules {
    /// Number of replicas that hold each acknowledged commit.
    pub sync_replicas: u32,
    /// Replicas that are gone and may have held an acknowledged commit alone.
    pub unseen_replicas: usize,
    /// Databases in the place of such replicas: later starts of them, or databases at their
    /// addresses. They hold what those held only if they have a log.
    pub replacements: Vec<InstanceKey>,
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
            reports: LogReports::default(),
            asked_at: BTreeMap::new(),
            promoted_at: None,
            excluded: BTreeSet::new(),
            proposed: false,
            taken_over: matches!(term.phase, TermPhase::Promoting { .. }),
        }
    }

    /// True if this state belongs to the term's current phase.
    pub fn matches_phase(&self, term: &ServiceTerm) -> bool {
        self.since_index == term.since_index
    }

    /// Creates the state for the next phase; databases that were excluded stay
    /// so.
    pub fn next_phase(&self, now: Moment, term: &ServiceTerm) -> Self {
        Self { excluded: self.excluded.clone(), taken_over: false, ..Self::new(now, term) }
    }

    /// Records the answer to a status request, `None` if there was none in time. An answer to a
    /// request from before this phase, or from before the old primary was fenced, is ignored:
    /// logs may have grown since.
    pub fn record_status(
        &mut self,
        key: InstanceKey,
        asked_at: Moment,
        status: Option<InstanceStatus>,
    ) {
        if asked_at >= self.fenced_at.unwrap_or(self.started_at) {
            self.reports.record(key, asked_at, status);
        }
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
        rules: &SuccessionRules,
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
                match rules.sync_replicas {
                    0 => self.select_successor(now, term, directory, *planned, rules),
                    _ => self.select_complete_successor(now, term, directory, *planned, rules),
                }
            }
            TermPhase::Promoting { chosen } => {
                self.plan_promotion(now, chosen, term.above_term, directory, rules)
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
            self.reports.clear();
        }
        fenced
    }

    /// Selects a successor where a commit is acknowledged before any replica has it: the
    /// longest log that can be had soon.
    fn select_successor(
        &mut self,
        now: Moment,
        term: &ServiceTerm,
        directory: &InstanceDirectory,
        planned: bool,
        rules: &SuccessionRules,
    ) -> Vec<TermStep> {
        let old_primary_allowed = self.is_old_primary_allowed(now, planned);
        let candidates: Vec<&InstanceRecord> = directory
            .instances_of_service(&term.service)
            .filter(|record| record.key.id != term.primary.id || old_primary_allowed)
            .filter(|record| !directory.has_drained(now, &record.key, rules.drain_limit))
            .collect();
        if candidates.is_empty() {
            self.candidates_since = None;
            return Vec::new();
        }
        let waited = now.since(*self.candidates_since.get_or_insert(now));
        let best = self.longest_log(term, &candidates);
        let awaits_catch_up =
            planned && waited < CATCH_UP_TIMEOUT && directory.get_by_key(&term.primary).is_some();
        let old_status = self.reports.get(&term.primary);
        let all_answered = candidates.iter().all(|record| self.has_answered(&record.key));
        let ready = match (awaits_catch_up, old_status, &best) {
            (true, Some(old), Some((_, status))) => status.received >= old.received,
            (true, ..) => false,
            (false, ..) => all_answered || waited >= STATUS_TIMEOUT,
        };
        if ready && let Some((chosen, status)) = best {
            return self.choose(term, chosen, status);
        }
        let old_primary = planned.then(|| term.primary.clone());
        let keys = candidates.iter().map(|record| record.key.clone()).chain(old_primary).collect();
        self.request_statuses(now, keys, STATUS_RETRY_INTERVAL)
    }

    /// Selects a successor that holds every acknowledged commit, where these are on
    /// replicas, and waits as long as none is known to.
    fn select_complete_successor(
        &mut self,
        now: Moment,
        term: &ServiceTerm,
        directory: &InstanceDirectory,
        planned: bool,
        rules: &SuccessionRules,
    ) -> Vec<TermStep> {
        let records: Vec<&InstanceRecord> = directory.instances_of_service(&term.service).collect();
        let replicas: Vec<&InstanceRecord> =
            records.iter().copied().filter(|record| record.key.id != term.primary.id).collect();
        let lowest_rank = self.lowest_rank(now, term, directory, planned);
        let required = match lowest_rank {
            // Commits that are not acknowledged yet are kept, too.
            CandidateRank::StayingReplica => self.reports.primary_position(term),
            _ => self.reports.required_position(term, &replicas, rules),
        };
        let old_primary_allowed = self.is_old_primary_allowed(now, planned);
        let best = records
            .iter()
            .filter(|record| self.has_answered(&record.key) && !self.reports.is_silent(&record.key))
            .filter(|record| record.key.id != term.primary.id || old_primary_allowed)
            .filter_map(|record| Some((*record, self.reports.get(&record.key)?)))
            .filter(|(record, status)| {
                record.key == term.primary || required.is_some_and(|held| status.received >= held)
            })
            .filter_map(|(record, status)| {
                let drained = directory.has_drained(now, &record.key, rules.drain_limit);
                Some((candidate_rank(term, record, planned, drained)?, record, status))
            })
            .filter(|(rank, ..)| *rank >= lowest_rank)
            .max_by_key(|(rank, _, status)| (*rank, status.received));
        if let Some((_, record, status)) = best {
            return self.choose(term, record.key.clone(), status);
        }
        let keys = replicas.iter().map(|record| record.key.clone());
        let interval = match now.since(self.fenced_at.unwrap_or(now)) < CATCH_UP_TIMEOUT {
            true => STATUS_RETRY_INTERVAL,
            false => LATE_STATUS_RETRY_INTERVAL,
        };
        self.request_statuses(now, keys.chain([term.primary.clone()]).collect(), interval)
    }

    /// The lowest rank that may be chosen now.
    fn lowest_rank(
        &self,
        now: Moment,
        term: &ServiceTerm,
        directory: &InstanceDirectory,
        planned: bool,
    ) -> CandidateRank {
        let waits_over = self.is_old_primary_allowed(now, planned);
        let serves =
            directory.get_by_key(&term.primary).is_some() && !self.reports.is_silent(&term.primary);
        match (planned, waits_over) {
            // Other databases receive the rest of its log meanwhile.
            (true, false) if serves => CandidateRank::StayingReplica,
            (true, _) if serves => CandidateRank::DrainingReplica,
            _ => CandidateRank::DrainedReplica,
        }
    }

    /// After a failure the old primary may have recovered; in a planned change it still
    /// serves if no successor can be had.
    fn is_old_primary_allowed(&self, now: Moment, planned: bool) -> bool {
        let exclusion = match planned {
            true => CATCH_UP_TIMEOUT,
            false => OLD_PRIMARY_EXCLUSION,
        };
        now.since(self.fenced_at.unwrap_or(now)) >= exclusion
    }

    fn choose(
        &mut self,
        term: &ServiceTerm,
        chosen: InstanceKey,
        status: InstanceStatus,
    ) -> Vec<TermStep> {
        self.proposed = true;
        let above_term = self.term_to_exceed(term, status);
        vec![TermStep::Choose { chosen, above_term }]
    }

    fn has_answered(&self, key: &InstanceKey) -> bool {
        self.reports.get(key).is_some() && !self.excluded.contains(key)
    }

    /// The candidate with the longest log among those that answered, replicas that do not
    /// drain first and the old primary last.
    fn longest_log(
        &self,
        term: &ServiceTerm,
        candidates: &[&InstanceRecord],
    ) -> Option<(InstanceKey, InstanceStatus)> {
        candidates
            .iter()
            .filter(|record| self.has_answered(&record.key))
            .filter_map(|record| Some((*record, self.reports.get(&record.key)?)))
            .max_by_key(|(record, status)| {
                let is_replica = record.key.id != term.primary.id;
                (is_replica, !record.draining, status.received)
            })
            .map(|(record, status)| (record.key.clone(), status))
    }

    /// Term above which the chosen database leads: the highest known one, since a
    /// former primary may call itself primary of its own term. A database that
    /// already leads the highest term keeps it: the present primary, or the one that
    /// took over its log and address.
    fn term_to_exceed(&self, term: &ServiceTerm, status: InstanceStatus) -> u64 {
        let highest = self.reports.highest_term().max(term.above_term);
        let leads_already = status.role == InstanceRole::Primary
            && status.term == highest
            && status.term > term.above_term;
        if leads_already { highest - 1 } else { highest }
    }

    /// Requests the status of those databases that were not asked lately.
    fn request_statuses(
        &mut self,
        now: Moment,
        keys: Vec<InstanceKey>,
        interval: Duration,
    ) -> Vec<TermStep> {
        let mut steps = Vec::new();
        for key in keys {
            if self.asked_at.get(&key).is_none_or(|at| now.since(*at) >= interval) {
                self.asked_at.insert(key.clone(), now);
                steps.push(TermStep::AskStatus(key));
            }
        }
        steps
    }

    fn plan_promotion(
        &mut self,
        now: Moment,
        chosen: &InstanceKey,
        above_term: u64,
        directory: &InstanceDirectory,
        rules: &SuccessionRules,
    ) -> Vec<TermStep> {
        let leads = self
            .reports
            .get(chosen)
            .is_some_and(|status| status.role == InstanceRole::Primary && status.term > above_term);
        if leads {
            self.proposed = true;
            let drained = directory.has_drained(now, chosen, rules.drain_limit);
            return vec![TermStep::Start { drained }];
        }
        let timed_out = now.since(self.started_at) >= PROMOTION_TIMEOUT;
        if timed_out || self.excluded.contains(chosen) {
            self.proposed = true;
            return vec![TermStep::Restart];
        }
        let mut steps = Vec::new();
        let is_left_to_earlier_leader =
            self.taken_over && now.since(self.started_at) < TAKEOVER_WAIT;
        let is_due = self.promoted_at.is_none_or(|at| now.since(at) >= PROMOTE_RETRY_INTERVAL);
        if is_due && !is_left_to_earlier_leader {
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

/// Preference for a database that holds every acknowledged commit; `None` if it must not
/// be chosen.
fn candidate_rank(
    term: &ServiceTerm,
    record: &InstanceRecord,
    planned: bool,
    drained: bool,
) -> Option<CandidateRank> {
    let is_old_primary = record.key.id == term.primary.id;
    match (is_old_primary, drained) {
        // It leads as it is: others receive its log without a promotion.
        (true, true) => None,
        (true, false) if planned => Some(CandidateRank::ServingPrimary),
        (true, false) => Some(CandidateRank::FailedPrimary),
        (false, true) => Some(CandidateRank::DrainedReplica),
        (false, false) if record.draining => Some(CandidateRank::DrainingReplica),
        (false, false) => Some(CandidateRank::StayingReplica),
    }
}
