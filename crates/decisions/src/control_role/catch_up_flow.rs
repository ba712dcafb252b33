use super::ControlHost;
use crate::{
    clock::Moment,
    control_state::ControlCommand,
    instances::{InstanceDirectory, InstanceKey, InstanceRecord},
    primaries::{CatchUpProbe, ServiceTerm},
};

impl ControlHost {
    /// Probes the replicas of services whose commits are acknowledged by replicas, while
    /// the primary drains or a lost database may have held a commit alone.
    pub(super) fn advance_catch_up_probes(&mut self, now: Moment) {
        let probed: Vec<ServiceTerm> =
            self.control.terms.values().filter(|term| self.needs_probe(term)).cloned().collect();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.catch_ups.retain(|service, _| probed.iter().any(|t| t.service == *service));
        for term in probed {
            self.advance_catch_up_probe(now, &term);
        }
    }

    fn needs_probe(&self, term: &ServiceTerm) -> bool {
        let drains = || self.directory.get(&term.primary.id).is_some_and(|record| record.draining);
        term.is_steady()
            && self.sync_replicas(&term.service) > 0
            && (!term.lost_databases.is_empty() || drains())
    }

    fn advance_catch_up_probe(&mut self, now: Moment, term: &ServiceTerm) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let probe = leader_state
            .catch_ups
            .entry(term.service.clone())
            .and_modify(|probe| {
                if !probe.matches_term(term) {
                    *probe = CatchUpProbe::new(now, term);
                }
            })
            .or_insert_with(|| CatchUpProbe::new(now, term));
        let replicas = replicas_of(&self.directory, term);
        let requests: Vec<InstanceKey> = probe.next_requests(now, replicas);
        for key in requests {
            self.request_status(now, term.service.clone(), key);
        }
        self.cover_losses(now, term);
    }

    /// Stops counting lost databases once so many replicas hold what they may have held
    /// that an acknowledged commit is not on them alone.
    fn cover_losses(&mut self, now: Moment, term: &ServiceTerm) {
        let lost: Vec<InstanceKey> = term
            .lost_databases
            .iter()
            .map(|holder| holder.key.clone())
            .filter(|key| *key != term.primary)
            .collect();
        if lost.is_empty() {
            return;
        }
        let holders = self.caught_up_replicas(now, term).count();
        if holders >= self.sync_replicas(&term.service) as usize {
            let command = ControlCommand::ServiceLossCovered {
                service: term.service.clone(),
                number: term.number,
                lost,
            };
            self.propose_once(now, command);
        }
    }

    /// True if a replica that does not drain lately held about what the primary has.
    pub(super) fn has_caught_up_replica(&self, now: Moment, term: &ServiceTerm) -> bool {
        self.caught_up_replicas(now, term).any(|record| !record.draining)
    }

    fn caught_up_replicas<'a>(
        &'a self,
        now: Moment,
        term: &'a ServiceTerm,
    ) -> impl Iterator<Item = &'a InstanceRecord> + 'a {
        let probe = self
            .leader_state
            .as_ref()
            .and_then(|leader_state| leader_state.catch_ups.get(&term.service))
            .filter(|probe| probe.matches_term(term));
        replicas_of(&self.directory, term)
            .filter(move |record| probe.is_some_and(|probe| probe.has_caught_up(now, &record.key)))
    }
}

fn replicas_of<'a>(
    directory: &'a InstanceDirectory,
    term: &'a ServiceTerm,
) -> impl Iterator<Item = &'a InstanceRecord> + 'a {
    let replicas = directory.instances_of_service(&term.service);
    replicas.filter(|record| record.key.id != term.primary.id)
}
