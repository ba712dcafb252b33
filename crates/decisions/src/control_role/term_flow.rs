use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{ControlEffect, ControlHost, PromoteResult};
use crate::{
    clock::Moment,
    control_state::ControlCommand,
    identity::HostId,
    instances::{InstanceDeparture, InstanceKey, InstanceRecord, InstanceRole},
    primaries::{HolderView, InstanceStatus, ServiceTerm, TermChange, TermPhase, TermStep},
};

/// Time for which the same command is not proposed again.
const PROPOSAL_QUIET: Duration = Duration::from_millis(500);
/// Time between two looks at what changes slowly.
const SURVEY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a primary must call itself one: an announcement is sent at
/// once when the role changes, and may be lost once.
const ROLE_SETTLING: Duration = Duration::from_secs(3);

impl ControlHost {
    /// The leader's work after anything changed.
    pub(super) fn lead(&mut self, now: Moment) {
        if !self.is_current_leader(now) {
            return;
        }
        self.note_steady(now);
        self.survey(now);
        for command in self.wanted_commands(now) {
            self.propose_once(now, command);
        }
        self.drive_changes(now);
    }

    /// Proposes a command unless the same was proposed a moment ago.
    pub(super) fn propose_once(&mut self, now: Moment, command: ControlCommand) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.proposed.retain(|(_, until)| *until > now);
        if leader_state.proposed.iter().any(|(proposed, _)| *proposed == command) {
            return;
        }
        leader_state.proposed.push((command.clone(), now + PROPOSAL_QUIET));
        self.propose(now, command);
    }

    fn survey(&mut self, now: Moment) {
        let Some(leader_state) =
            self.leader_state.as_mut().filter(|leader_state| now >= leader_state.survey_due)
        else {
            return;
        };
        leader_state.survey_due = now + SURVEY_INTERVAL;
        let since = leader_state.since;
        if now.since(since) > self.settings.announcement_lifetime {
            self.expire_instances(now);
        }
        self.forget_holders(now);
    }

    /// Remembers when this leader first saw each term steady.
    fn note_steady(&mut self, now: Moment) {
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

    fn wanted_commands(&self, now: Moment) -> Vec<ControlCommand> {
        let mut wanted = Vec::new();
        for record in self.directory.records() {
            let term = self.control.terms.get(&record.service);
            if is_unknown_primary(record, term) {
                wanted.push(ControlCommand::ServicePrimaryKnown {
                    service: record.service.clone(),
                    primary: record.key.clone(),
                });
            }
            let known = self.control.instances.get(&record.key.id);
            if known.is_none_or(|known| !known.equals_ignoring_sequence(record)) {
                wanted.push(ControlCommand::InstanceSeen(record.clone()));
            }
        }
        for record in self.control.instances.values() {
            if self.directory.has_departed(&record.key) {
                wanted.push(ControlCommand::InstanceGone(InstanceDeparture {
                    id: record.key.id.clone(),
                    born_ms: Some(record.key.born_ms),
                }));
            }
        }
        for term in self.control.terms.values() {
            if let Some(planned) = self.reason_to_end(now, term) {
                wanted.push(ControlCommand::ServiceTermEnded {
                    service: term.service.clone(),
                    number: term.number,
                    planned,
                });
            }
        }
        wanted
    }

    /// Whether the term should end, and whether the change is planned.
    fn reason_to_end(&self, now: Moment, term: &ServiceTerm) -> Option<bool> {
        let leader_state = self.leader_state.as_ref()?;
        let steady_since = match leader_state.steady_since.get(&term.service) {
            Some((number, since)) if *number == term.number => *since,
            _ => now,
        };
        let has_other = self
            .directory
            .instances_of_service(&term.service)
            .any(|record| record.key.id != term.primary.id && !record.draining);
        let polled =
            leader_state.polls.get(&term.service).filter(|(number, _)| *number == term.number);
        let suspected =
            polled.is_some_and(|(_, poll)| poll.is_confirmed(now, &self.serving_hosts(now)));
        if !has_other {
            return None;
        }
        match &term.phase {
            TermPhase::Steady if suspected => Some(false),
            TermPhase::Fencing { planned: true } if suspected => Some(false),
            TermPhase::Steady => match self.directory.get(&term.primary.id) {
                Some(record) if record.draining => Some(true),
                Some(record) if record.role == InstanceRole::Replica => {
                    let silence = self
                        .directory
                        .time_since_announcement(now, &record.key.id)
                        .unwrap_or_default();
                    (now.since(steady_since) > ROLE_SETTLING + silence).then_some(false)
                }
                Some(_) => None,
                None if self.directory.has_departed(&term.primary) => Some(false),
                None => {
                    let lifetime = self.settings.announcement_lifetime;
                    (now.since(steady_since) > lifetime).then_some(false)
                }
            },
            _ => None,
        }
    }

    fn serving_hosts(&self, now: Moment) -> BTreeSet<HostId> {
        let Some(leader_state) = &self.leader_state else {
            return BTreeSet::new();
        };
        let holders = self.control.holders.iter().copied();
        holders.filter(|host| leader_state.leases.has_live_lease(now, *host)).collect()
    }

    fn drive_changes(&mut self, now: Moment) {
        if self.control.terms.values().all(ServiceTerm::is_steady) {
            // At rest, as nearly always; this runs at every heartbeat.
            self.leader_state.iter_mut().for_each(|leader_state| leader_state.changes.clear());
            return;
        }
        let Some(mut leader_state) = self.leader_state.take() else {
            return;
        };
        let applied: BTreeMap<HostId, u64> =
            self.entries.iter().map(|(host, entry)| (*host, entry.applied)).collect();
        let view = HolderView {
            holders: &self.control.holders,
            leases: &leader_state.leases,
            applied: &applied,
        };
        let mut steps = Vec::new();
        let moving = self.control.terms.values().filter(|term| !term.is_steady());
        let mut changes = BTreeMap::new();
        for term in moving {
            let mut change = match leader_state.changes.remove(&term.service) {
                Some(change) if change.matches_phase(term) => change,
                Some(change) => change.next_phase(now, term),
                None => TermChange::new(now, term),
            };
            let routes = self.control.routes.as_ref();
            let rule = routes.and_then(|table| table.service(&term.service));
            let sync_replicas = rule.map_or(0, |rule| rule.sync_replicas);
            let next = change.next_steps(now, term, &self.directory, view, sync_replicas);
            steps.extend(next.into_iter().map(|step| (term.clone(), step)));
            changes.insert(term.service.clone(), change);
        }
        leader_state.changes = changes;
        self.leader_state = Some(leader_state);
        for (term, step) in steps {
            self.take_step(now, &term, step);
        }
    }

    fn take_step(&mut self, now: Moment, term: &ServiceTerm, step: TermStep) {
        let (service, number) = (term.service.clone(), term.number);
        match step {
            TermStep::AskStatus(key) => {
                if let Some(record) = self.directory.get(&key.id) {
                    let address = record.address;
                    self.effects.push(ControlEffect::AskStatus { key, service, address });
                }
            }
            TermStep::Choose(chosen) => {
                self.propose(now, ControlCommand::ServicePrimaryChosen { service, number, chosen });
            }
            TermStep::Promote(key) => {
                let fence = self.agreement.term();
                self.effects.push(ControlEffect::Promote { service, key, fence });
            }
            TermStep::Start => {
                self.propose(now, ControlCommand::ServiceTermStarted { service, number });
            }
            TermStep::Restart => {
                self.propose(
                    now,
                    ControlCommand::ServiceTermEnded { service, number, planned: false },
                );
            }
        }
    }

    pub(super) fn status_answered(
        &mut self,
        now: Moment,
        key: InstanceKey,
        status: Option<InstanceStatus>,
    ) {
        let service = self.directory.get(&key.id).map(|record| record.service.clone());
        let change =
            service.and_then(|service| self.leader_state.as_mut()?.changes.get_mut(&service));
        if let (Some(change), Some(status)) = (change, status) {
            change.record_status(key, status);
            self.lead(now);
        }
    }

    pub(super) fn promote_answered(
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
            change.record_refusal(key);
            self.lead(now);
        }
    }
}

/// True if the database leads a service without a known primary, or is the
/// known one after a new start.
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
