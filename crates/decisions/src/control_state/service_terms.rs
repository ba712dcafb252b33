use std::sync::Arc;

use super::{ControlState, PlannedChange};
use crate::{
    instances::{InstanceDeparture, InstanceKey, InstanceRecord},
    outcomes::ResultCode,
    primaries::{LostDatabase, ServiceTerm, TermPhase},
    routes::RouteTable,
};

/// Operator in the audit trail for orders that do not name one.
const DEFAULT_OPERATOR: &str = "platform";

impl ControlState {
    /// Version of the current routes, 0 before the first.
    pub fn routes_version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |table| table.version)
    }

    pub(super) fn replace_routes(&mut self, table: &Arc<RouteTable>, at_unix_ms: u64) {
        if self.routes.is_some() && table.version <= self.routes_version() {
            return;
        }
        self.routes = Some(table.clone());
        let name = Arc::from(format!("routes-{}", table.version));
        let changes = vec![PlannedChange::ReplaceRoutes(table.version)];
        self.record_audit(
            &Arc::from(DEFAULT_OPERATOR),
            &name,
            changes,
            ResultCode::Done,
            at_unix_ms,
        );
    }

    pub(super) fn record_instance(&mut self, record: &InstanceRecord) {
        let former = self.instances.insert(record.key.id.clone(), record.clone());
        if let Some(former) = former.filter(|former| former.key != record.key) {
            self.record_lost_database(former);
        }
        let Some(term) = self.terms.get_mut(&record.service) else {
            return;
        };
        let primary = term.primary.clone();
        let replaces_primary =
            |lost: &LostDatabase| lost.key == primary && lost.is_replaced_by(record);
        if term.lost_databases.iter().any(replaces_primary) {
            term.log_successor = Some(record.key.clone());
            term.lost_databases.retain(|lost| !replaces_primary(lost));
        }
    }

    pub(super) fn remove_instance(&mut self, departure: &InstanceDeparture) {
        let known = self.instances.get(&departure.id).map(|record| record.key.born_ms);
        if known.is_some_and(|known| departure.born_ms.is_none_or(|born| known <= born))
            && let Some(record) = self.instances.remove(&departure.id)
        {
            self.record_lost_database(record);
        }
    }

    /// Records that a database is gone which may have held an acknowledged commit alone. One
    /// that starts again under its id, or at its address, need not hold what it held.
    fn record_lost_database(&mut self, record: InstanceRecord) {
        let rule = self.routes.as_ref().and_then(|table| table.service(&record.service));
        let replicated = rule.is_some_and(|rule| rule.sync_replicas > 0);
        let Some(term) = self.terms.get_mut(&record.service).filter(|_| replicated) else {
            return;
        };
        let lost = LostDatabase { key: record.key, address: record.address };
        let successor = self
            .instances
            .values()
            .find(|other| other.service == record.service && lost.is_replaced_by(other));
        match successor {
            Some(successor) if lost.key == term.primary => {
                term.log_successor = Some(successor.key.clone());
            }
            _ if term.lost_databases.iter().any(|known| known.address == lost.address) => {}
            _ => term.lost_databases.push(lost),
        }
    }

    pub(super) fn forget_lost_databases(
        &mut self,
        service: &Arc<str>,
        number: u64,
        lost: &[InstanceKey],
    ) {
        if let Some(term) = self.terms.get_mut(service).filter(|term| term.number == number) {
            term.lost_databases.retain(|database| !lost.contains(&database.key));
        }
    }

    /// Records the first primary of a service, or a restart of its current one.
    pub(super) fn record_primary(&mut self, service: &Arc<str>, primary: &InstanceKey) {
        let since_index = self.applied;
        match self.terms.get_mut(service) {
            Some(term) if term.is_steady() && term.primary.id == primary.id => {
                if term.primary.born_ms < primary.born_ms {
                    term.primary = primary.clone();
                    term.number += 1;
                    term.since_index = since_index;
                }
            }
            Some(_) => {}
            None => {
                let term = ServiceTerm::new(service.clone(), 1, since_index, primary.clone());
                self.terms.insert(service.clone(), term);
            }
        }
    }

    pub(super) fn end_service_term(&mut self, service: &Arc<str>, number: u64, planned: bool) {
        let since_index = self.applied;
        let Some(term) = self.terms.get_mut(service).filter(|term| term.number == number) else {
            return;
        };
        // A planned change may become one after a failure, but not the reverse.
        let allowed = match &term.phase {
            TermPhase::Fencing { planned: true } => !planned,
            TermPhase::Fencing { planned: false } => false,
            TermPhase::Steady | TermPhase::Promoting { .. } => true,
        };
        if !allowed {
            return;
        }
        term.phase = TermPhase::Fencing { planned };
        term.since_index = since_index;
    }

    pub(super) fn choose_service_primary(
        &mut self,
        service: &Arc<str>,
        number: u64,
        chosen: &InstanceKey,
        above_term: u64,
    ) {
        let since_index = self.applied;
        if let Some(term) = self.terms.get_mut(service)
            && term.number == number
            && matches!(term.phase, TermPhase::Fencing { .. })
        {
            term.phase = TermPhase::Promoting { chosen: chosen.clone() };
            term.above_term = above_term;
            term.since_index = since_index;
        }
    }

    pub(super) fn start_service_term(&mut self, service: &Arc<str>, number: u64, drained: bool) {
        let since_index = self.applied;
        if let Some(term) = self.terms.get_mut(service)
            && term.number == number
            && let TermPhase::Promoting { chosen } = &term.phase
        {
            term.primary = chosen.clone();
            term.number += 1;
            term.since_index = since_index;
            term.phase = match drained {
                true => TermPhase::Fencing { planned: true },
                false => TermPhase::Steady,
            };
            // The new primary holds every acknowledged commit.
            term.lost_databases.clear();
            term.log_successor = None;
        }
    }
}
