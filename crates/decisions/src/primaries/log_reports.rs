use std::collections::{BTreeMap, BTreeSet};

use super::{InstanceStatus, ServiceTerm, SuccessionRules};
use crate::{
    clock::Moment,
    instances::{InstanceKey, InstanceRecord},
    positions::LogPosition,
};

/// What databases reported of their logs since the old primary was fenced, and which
/// log holds every acknowledged commit.
#[derive(Debug, Default)]
pub(super) struct LogReports {
    statuses: BTreeMap<InstanceKey, InstanceStatus>,
    /// Databases that did not answer the last request.
    silent: BTreeSet<InstanceKey>,
    /// Time of the last request that each database answered, or left without an answer.
    asked_at: BTreeMap<InstanceKey, Moment>,
}

impl LogReports {
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Records the answer to a status request, `None` if there was none in time; ignored if the
    /// outcome of a later request is known.
    pub(super) fn record(
        &mut self,
        key: InstanceKey,
        asked_at: Moment,
        status: Option<InstanceStatus>,
    ) {
        if self.asked_at.get(&key).is_some_and(|known| *known > asked_at) {
            return;
        }
        self.asked_at.insert(key.clone(), asked_at);
        match status {
            Some(status) => {
                self.silent.remove(&key);
                self.statuses.insert(key, status);
            }
            None => {
                self.silent.insert(key);
            }
        }
    }

    pub(super) fn get(&self, key: &InstanceKey) -> Option<InstanceStatus> {
        self.statuses.get(key).copied()
    }

    /// True if the database did not answer the last request.
    pub(super) fn is_silent(&self, key: &InstanceKey) -> bool {
        self.silent.contains(key)
    }

    /// Highest term that any database counts, 0 without an answer.
    pub(super) fn highest_term(&self) -> u64 {
        self.statuses.values().map(|status| status.term).max().unwrap_or(0)
    }

    /// Position of the old primary's log: its own answer, or one with a log of the database
    /// which took over its log, or of its restart.
    pub(super) fn primary_position(&self, term: &ServiceTerm) -> Option<LogPosition> {
        let restarted = || {
            let own = self.statuses.iter().filter(|(key, _)| key.id == term.primary.id);
            own.map(|(_, status)| *status)
                .filter(InstanceStatus::has_log)
                .max_by_key(|status| status.received)
        };
        let log_successor = || {
            let successor = term.log_successor.as_ref()?;
            self.get(successor).filter(InstanceStatus::has_log)
        };
        let status = self.get(&term.primary).or_else(log_successor).or_else(restarted);
        status.map(|status| status.received)
    }

    /// Position that a log must have reached to hold every acknowledged commit; `None` if
    /// too few databases answered.
    ///
    /// The fenced primary holds all commits. So does one of the replicas, if fewer than
    /// `sync_replicas` of them did not answer. Replicas that may not be promoted count
    /// as well: a draining replica acknowledges commits until it ends. So do replicas that
    /// are gone, until a database with a log has taken their place.
    pub(super) fn required_position(
        &self,
        term: &ServiceTerm,
        replicas: &[&InstanceRecord],
        rules: &SuccessionRules,
    ) -> Option<LogPosition> {
        let of_primary = self.primary_position(term);
        let answers: Vec<LogPosition> = replicas
            .iter()
            .filter_map(|record| self.get(&record.key))
            .map(|status| status.received)
            .collect();
        let empty = rules.replacements.iter().filter_map(|key| self.get(key));
        let empty = empty.filter(|status| !status.has_log()).count();
        let missing = replicas.len() - answers.len() + rules.unseen_replicas + empty;
        let of_replicas =
            answers.into_iter().max().filter(|_| missing < rules.sync_replicas as usize);
        match (of_primary, of_replicas) {
            (Some(primary), Some(replica)) => Some(primary.min(replica)),
            (primary, replica) => primary.or(replica),
        }
    }
}
