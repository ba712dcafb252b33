use std::collections::BTreeSet;

use super::{GroupView, HostEffect, HostState};
use crate::{
    clock::Moment,
    directory::DatabaseView,
    identity::{DatabaseName, GroupName, RequestId},
    outcomes::ResultCode,
};

impl HostState {
    /// Emits `SetDraining` when an operator starts or ends the draining of this
    /// host.
    fn refresh_draining(&mut self) {
        let record = self.control.hosts.get(&self.settings.id());
        let draining = record.is_some_and(|record| record.draining);
        if draining != self.draining {
            self.draining = draining;
            self.effects.push(HostEffect::SetDraining(draining));
        }
    }

    pub(super) fn refresh_groups(&mut self, now: Moment) {
        self.refresh_draining();
        let names: BTreeSet<GroupName> =
            self.control.groups.keys().chain(self.groups.keys()).cloned().collect();
        for name in names {
            self.refresh_group(now, &name);
        }
    }

    /// Updates this gateway's view of a group from the applied control state.
    pub(super) fn refresh_group(&mut self, now: Moment, name: &GroupName) {
        let me = self.settings.id();
        let declared = self.control.is_declared(name);
        let record = self.control.groups.get(name).filter(|_| declared).cloned();
        let Some(record) = record else {
            return self.remove_group(now, name);
        };
        let is_gateway = record.gateways.contains(&me);
        if !is_gateway && !self.groups.contains_key(name) {
            return;
        }
        let max_waiting =
            self.control.declaration_of(name).map_or(0, |declared| declared.max_waiting);
        let view =
            self.groups.entry(name.clone()).or_insert_with(|| GroupView::new(now, record.clone()));
        view.retiring = !is_gateway;
        let new_term = view.record.term != record.term;
        let phase_changed = view.record.phase != record.phase;
        view.record = record;
        view.max_waiting = max_waiting as usize;
        if new_term {
            view.samples.clear();
            view.primary_reported_at = now;
            view.primary_failures = 0;
            view.majority_moved_at = now;
        }
        if phase_changed {
            view.leader_notified_at = Moment::ZERO;
        }
        self.refresh_databases(name);
        self.notify_leader(now, name);
        self.dispatch_waiting(now, name);
        self.confirm_writes(now, name);
        self.retire_group(now, name);
    }

    /// Retires this host as a gateway that another one replaced: requests that
    /// wait go to the current gateways, requests that run finish here.
    pub(super) fn retire_group(&mut self, now: Moment, name: &GroupName) {
        let Some(view) = self.groups.get(name).filter(|view| view.retiring) else {
            return;
        };
        let waiting: Vec<RequestId> = view.writes.iter().chain(view.reads.iter()).collect();
        for request in waiting {
            self.hand_over_request(now, request);
        }
        let busy = self.requests.values().any(|record| record.arrival.group == *name);
        if !busy {
            self.remove_group(now, name);
        }
    }

    /// Forwards a request that has not run to a gateway. A request that another
    /// host forwarded goes back to it with `NoDatabase`.
    fn hand_over_request(&mut self, now: Moment, request: RequestId) {
        let arrival = self.requests.get(&request).map(|record| record.arrival.clone());
        match arrival.and_then(|arrival| self.choose_forward_gateways(&arrival)) {
            Some(gateways) => {
                self.remove_request(request);
                self.effects.push(HostEffect::Forward(request, gateways));
            }
            None => self.complete_request(now, request, ResultCode::NoDatabase, None),
        }
    }

    fn refresh_databases(&mut self, name: &GroupName) {
        let Some(view) = self.groups.get_mut(name) else {
            return;
        };
        let record = &view.record;
        for member in record.members.values() {
            let wanted = member.counts_for_majority() || member.accepts_work();
            let share = record.connection_share(member);
            match view.databases.get_mut(&member.database) {
                Some(database) if wanted => {
                    database.connection_share = share;
                    database.record = member.clone();
                }
                Some(_) => {
                    view.databases.remove(&member.database);
                    self.database_groups.remove(&member.database);
                    self.effects.push(HostEffect::Unwatch(member.database.clone()));
                }
                None if wanted => {
                    let database = DatabaseView::new(member.clone(), share);
                    view.databases.insert(member.database.clone(), database);
                    self.database_groups.insert(member.database.clone(), name.clone());
                    self.effects.push(HostEffect::Watch {
                        database: member.database.clone(),
                        address: member.address,
                    });
                }
                None => {}
            }
        }
    }

    /// Removes the view of a group that this host no longer serves, and ends the
    /// requests that wait for a database or for a majority of the group.
    fn remove_group(&mut self, now: Moment, name: &GroupName) {
        let Some(view) = self.groups.remove(name) else {
            return;
        };
        let unconfirmed = view.unconfirmed.iter().map(|write| write.request);
        let waiting = view.writes.iter().chain(view.reads.iter());
        for request in waiting {
            self.complete_request(now, request, ResultCode::NoDatabase, None);
        }
        for request in unconfirmed {
            self.complete_request(now, request, ResultCode::MajorityLate, None);
        }
        let databases: Vec<DatabaseName> = view.databases.into_keys().collect();
        for database in databases {
            self.database_groups.remove(&database);
            self.effects.push(HostEffect::Unwatch(database));
        }
    }
}
