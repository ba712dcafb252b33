use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{ControlEffect, ControlHost, ControlLogEvent, PromoteResult};
use crate::{
    clock::Moment,
    control_state::ControlCommand,
    identity::HostId,
    instances::{InstanceDeparture, InstanceKey, InstanceRecord, InstanceRole},
    primaries::{
        HolderView, InstanceStatus, LostDatabase, ServiceTerm, SuccessionRules, TermChange,
        TermPhase, TermStep,
    },
};

/// Time for which the same command is not proposed again.
const PROPOSAL_DEDUP_WINDOW: Duration = Duration::from_millis(500);
/// Time between two runs of the leader tasks for each service.
const TASK_TIME_PER_SERVICE: Duration = Duration::from_micros(20);
/// Time between two checks for silent databases and silent entry hosts.
const PERIODIC_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a new primary must have announced its role: a database
/// announces a changed role at once, and one announcement may be lost.
const ROLE_CHANGE_TIMEOUT: Duration = Duration::from_secs(3);

impl ControlHost {
    /// Requests the leader tasks: at once after a pause, else once in a time that grows
    /// with the number of services. Hundreds of databases that announce themselves would
    /// otherwise keep the leader from its heartbeats.
    pub(super) fn request_leader_tasks(&mut self, now: Moment) {
        if self.leader_state.is_some() {
            let services = self.control.terms.len() as u32;
            self.task_pace.request_every(TASK_TIME_PER_SERVICE * services, now);
        }
    }

    /// Runs the leader tasks; does nothing on other hosts.
    pub(super) fn run_leader_tasks(&mut self, now: Moment) {
        if !self.is_current_leader(now) {
            return;
        }
        self.record_steady_terms(now);
        self.log_missing_successors(now);
        self.run_periodic_checks(now);
        for command in self.collect_commands(now) {
            self.propose_once(now, command);
        }
        self.advance_primary_changes(now);
        self.advance_catch_up_probes(now);
    }

    /// Proposes a command unless the same one was proposed within
    /// `PROPOSAL_DEDUP_WINDOW`.
    pub(super) fn propose_once(&mut self, now: Moment, command: ControlCommand) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.recent_proposals.retain(|(_, until)| *until > now);
        if leader_state.recent_proposals.iter().any(|(proposed, _)| *proposed == command) {
            return;
        }
        leader_state.recent_proposals.push((command.clone(), now + PROPOSAL_DEDUP_WINDOW));
        self.propose(now, command);
    }

    fn run_periodic_checks(&mut self, now: Moment) {
        let Some(leader_state) =
            self.leader_state.as_mut().filter(|leader_state| now >= leader_state.next_check_at)
        else {
            return;
        };
        leader_state.next_check_at = now + PERIODIC_CHECK_INTERVAL;
        let elected_at = leader_state.elected_at;
        if now.since(elected_at) > self.settings.announcement_lifetime {
            self.expire_silent_instances(now);
        }
        self.remove_silent_holders(now);
    }

    /// Records when this leader first saw each term in the steady phase.
    fn record_steady_terms(&mut self, now: Moment) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for term in self.control.terms.values().filter(|term| term.is_steady()) {
            let known = leader_state.steady_since.get(&term.service);
            if known.is_none_or(|(number, _)| *number != term.number) {
                leader_state.steady_since.insert(term.service.clone(), (term.number, now));
            }
        }
    }

    /// Logs, once a term, that the primary drains and has no successor.
    fn log_missing_successors(&mut self, now: Moment) {
        let unreplaced: Vec<ServiceTerm> = self
            .control
            .terms
            .values()
            .filter(|term| term.is_steady())
            .filter(|term| self.directory.get(&term.primary.id).is_some_and(|r| r.draining))
            .filter(|term| !self.has_successor(now, term))
            .cloned()
            .collect();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for term in unreplaced {
            let ServiceTerm { service, number, primary, .. } = term;
            if leader_state.without_successor.insert(service.clone(), number) != Some(number) {
                let event = ControlLogEvent::NoSuccessor { service, number, primary };
                self.effects.push(ControlEffect::Log(event));
            }
        }
    }

    fn collect_commands(&self, now: Moment) -> Vec<ControlCommand> {
        let mut commands = Vec::new();
        for record in self.directory.records() {
            let term = self.control.terms.get(&record.service);
            if is_unknown_primary(record, term) {
                commands.push(ControlCommand::ServicePrimaryKnown {
                    service: record.service.clone(),
                    primary: record.key.clone(),
                });
            }
            let known = self.control.instances.get(&record.key.id);
            if known.is_none_or(|known| !known.equals_ignoring_sequence(record)) {
                commands.push(ControlCommand::InstanceSeen(record.clone()));
            }
        }
        for record in self.control.instances.values() {
            // It has departed, or another database has taken its address.
            if self.directory.get(&record.key.id).is_none() {
                commands.push(ControlCommand::InstanceGone(InstanceDeparture {
                    id: record.key.id.clone(),
                    born_ms: Some(record.key.born_ms),
                }));
            }
        }
        for term in self.control.terms.values() {
            if let Some(planned) = self.check_term_end(now, term) {
                commands.push(ControlCommand::ServiceTermEnded {
                    service: term.service.clone(),
                    number: term.number,
                    planned,
                });
            }
        }
        commands
    }

    /// Decides whether a term must end: `Some(true)` for a planned change,
    /// `Some(false)` after a failure, `None` if the term continues.
    fn check_term_end(&self, now: Moment, term: &ServiceTerm) -> Option<bool> {
        let leader_state = self.leader_state.as_ref()?;
        let steady_since = self.steady_since(now, term);
        let polled =
            leader_state.polls.get(&term.service).filter(|(number, _)| *number == term.number);
        let suspected = polled
            .is_some_and(|(_, poll)| poll.is_confirmed(now, &self.hosts_with_live_lease(now)));
        let can_fail_over = || self.can_fail_over(now, term);
        match &term.phase {
            TermPhase::Steady | TermPhase::Fencing { planned: true }
                if suspected && can_fail_over() =>
            {
                Some(false)
            }
            TermPhase::Steady => match self.directory.get(&term.primary.id) {
                Some(record) if record.draining => {
                    let limit = self.settings.drain_limit();
                    let drained = self.directory.has_drained(now, &term.primary, limit);
                    (drained || self.has_ready_successor(now, term)).then_some(true)
                }
                Some(record) if record.role == InstanceRole::Replica => {
                    let silence = self
                        .directory
                        .time_since_announcement(now, &record.key.id)
                        .unwrap_or_default();
                    let deposed = now.since(steady_since) > ROLE_CHANGE_TIMEOUT + silence;
                    (deposed && can_fail_over()).then_some(false)
                }
                Some(_) => None,
                None => {
                    let gone = self.directory.has_departed(&term.primary)
                        || now.since(steady_since) > self.settings.announcement_lifetime;
                    (gone && can_fail_over()).then_some(false)
                }
            },
            _ => None,
        }
    }

    /// True if another database could replace a failed primary.
    fn can_fail_over(&self, now: Moment, term: &ServiceTerm) -> bool {
        let limit = self.settings.drain_limit();
        self.directory.instances_of_service(&term.service).any(|record| {
            record.key.id != term.primary.id && !self.directory.has_drained(now, &record.key, limit)
        })
    }

    /// True if another database can replace a draining primary: one that does not
    /// drain and has lately announced itself, also since this term began. A database
    /// that just failed, or did not answer in an abandoned change, has not.
    pub(super) fn has_successor(&self, now: Moment, term: &ServiceTerm) -> bool {
        let silence_limit =
            now.since(self.steady_since(now, term)).min(self.settings.successor_silence());
        self.directory.instances_of_service(&term.service).any(|record| {
            let silence = self.directory.time_since_announcement(now, &record.key.id);
            record.key.id != term.primary.id
                && !record.draining
                && silence.is_some_and(|silence| silence < silence_limit)
        })
    }

    /// The same, where commits are acknowledged once replicas have them, for a database
    /// that has received about all that the primary has: until it has received all, no
    /// host may write.
    fn has_ready_successor(&self, now: Moment, term: &ServiceTerm) -> bool {
        self.has_successor(now, term)
            && (self.sync_replicas(&term.service) == 0 || self.has_caught_up_replica(now, term))
    }

    /// Time since which this leader knows the term to be steady.
    fn steady_since(&self, now: Moment, term: &ServiceTerm) -> Moment {
        let known =
            self.leader_state.as_ref().and_then(|state| state.steady_since.get(&term.service));
        match known {
            Some((number, since)) if *number == term.number => *since,
            _ => now,
        }
    }

    fn hosts_with_live_lease(&self, now: Moment) -> BTreeSet<HostId> {
        let Some(leader_state) = &self.leader_state else {
            return BTreeSet::new();
        };
        let holders = self.control.holders.iter().copied();
        holders.filter(|host| leader_state.leases.has_live_lease(now, *host)).collect()
    }

    fn advance_primary_changes(&mut self, now: Moment) {
        if self.control.terms.values().all(ServiceTerm::is_steady) {
            // The usual case, handled first because this runs at every
            // heartbeat.
            self.leader_state.iter_mut().for_each(|leader_state| leader_state.changes.clear());
            return;
        }
        let Some(mut leader_state) = self.leader_state.take() else {
            return;
        };
        let applied: BTreeMap<HostId, u64> =
            self.entry_hosts.iter().map(|(host, entry)| (*host, entry.applied)).collect();
        let view = HolderView {
            holders: &self.control.holders,
            leases: &leader_state.leases,
            applied: &applied,
        };
        let mut steps = Vec::new();
        let changing_terms = self.control.terms.values().filter(|term| !term.is_steady());
        let mut changes = BTreeMap::new();
        for term in changing_terms {
            let mut change = match leader_state.changes.remove(&term.service) {
                Some(change) if change.matches_phase(term) => change,
                Some(change) => change.next_phase(now, term),
                None => TermChange::new(now, term),
            };
            let rules = self.succession_rules(term);
            let next = change.next_steps(now, term, &self.directory, view, &rules);
            steps.extend(next.into_iter().map(|step| (term.clone(), step)));
            changes.insert(term.service.clone(), change);
        }
        leader_state.changes = changes;
        self.leader_state = Some(leader_state);
        for (term, step) in steps {
            self.execute_step(now, &term, step);
        }
    }

    /// Number of replicas of a service that hold each acknowledged commit.
    pub(super) fn sync_replicas(&self, service: &str) -> u32 {
        let routes = self.control.routes.as_ref();
        routes.and_then(|table| table.service(service)).map_or(0, |rule| rule.sync_replicas)
    }

    fn succession_rules(&self, term: &ServiceTerm) -> SuccessionRules {
        let (mut unseen, mut replacements) = (BTreeSet::new(), BTreeSet::new());
        for lost in self.lost_replicas(term) {
            let mut records = self.directory.instances_of_service(&term.service);
            match records.find(|record| lost.is_replaced_by(record)) {
                Some(record) => replacements.insert(record.key.clone()),
                // Databases that had one address, one after the other, had one log.
                None => unseen.insert(lost.address),
            };
        }
        SuccessionRules {
            sync_replicas: self.sync_replicas(&term.service),
            unseen_replicas: unseen.len(),
            replacements: replacements.into_iter().collect(),
            drain_limit: self.settings.drain_limit(),
        }
    }

    /// Replicas that are gone, or about to be recorded as gone, and may have held an
    /// acknowledged commit alone.
    fn lost_replicas(&self, term: &ServiceTerm) -> Vec<LostDatabase> {
        let known = self.control.instances.values();
        let known = known
            .filter(|record| record.service == term.service)
            .map(|record| LostDatabase { key: record.key.clone(), address: record.address });
        let lost = term.lost_databases.iter().cloned().chain(known);
        lost.filter(|lost| lost.key.id != term.primary.id)
            .filter(|lost| self.directory.get_by_key(&lost.key).is_none())
            .collect()
    }

    fn execute_step(&mut self, now: Moment, term: &ServiceTerm, step: TermStep) {
        let (service, number) = (term.service.clone(), term.number);
        match step {
            TermStep::AskStatus(key) => self.request_status(now, service, key),
            TermStep::Choose { chosen, above_term } => {
                let command =
                    ControlCommand::ServicePrimaryChosen { service, number, chosen, above_term };
                self.propose(now, command);
            }
            TermStep::Promote(key) => {
                let fence = self.agreement.term();
                self.effects.push(ControlEffect::Promote { service, key, fence });
            }
            TermStep::Start { drained } => {
                self.effects.push(ControlEffect::EndPromotions(service.clone()));
                self.propose(now, ControlCommand::ServiceTermStarted { service, number, drained });
            }
            TermStep::Restart => {
                self.effects.push(ControlEffect::EndPromotions(service.clone()));
                self.propose(
                    now,
                    ControlCommand::ServiceTermEnded { service, number, planned: false },
                );
            }
        }
    }

    pub(super) fn request_status(&mut self, now: Moment, service: Arc<str>, key: InstanceKey) {
        if let Some(record) = self.directory.get(&key.id) {
            let address = record.address;
            let asked_at = now;
            self.effects.push(ControlEffect::AskStatus { key, service, address, asked_at });
        }
    }

    pub(super) fn handle_status_answer(
        &mut self,
        now: Moment,
        key: InstanceKey,
        asked_at: Moment,
        status: Option<InstanceStatus>,
    ) {
        let Some(service) = self.directory.get(&key.id).map(|record| record.service.clone()) else {
            return;
        };
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if let (Some(probe), Some(status)) = (leader_state.catch_ups.get_mut(&service), status) {
            probe.record(now, &key, asked_at, status.received);
        }
        if let Some(change) = leader_state.changes.get_mut(&service) {
            change.record_status(key, asked_at, status);
            self.request_leader_tasks(now);
        }
    }

    pub(super) fn handle_promote_answer(
        &mut self,
        now: Moment,
        service: &Arc<str>,
        key: InstanceKey,
        result: PromoteResult,
    ) {
        let change = self
            .leader_state
            .as_mut()
            .and_then(|leader_state| leader_state.changes.get_mut(service));
        if let (Some(change), PromoteResult::NotRunning) = (change, result) {
            change.exclude_candidate(key);
            self.request_leader_tasks(now);
        }
    }
}

/// True if the database is primary of a service without a known primary, or is
/// the known primary after a restart.
fn is_unknown_primary(record: &InstanceRecord, term: Option<&ServiceTerm>) -> bool {
    if record.role != InstanceRole::Primary {
        return false;
    }
    match term {
        None => true,
        Some(term) => {
            term.is_steady()
                && term.primary.id == record.key.id
                && term.primary.born_ms < record.key.born_ms
        }
    }
}
