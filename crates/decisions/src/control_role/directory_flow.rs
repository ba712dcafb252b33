use super::{ControlEffect, ControlHost, ControlLogEvent, ControlMessage, EntryUpdate};
use crate::{
    clock::Moment,
    control_state::ControlCommand,
    instances::{DirectoryChange, InstanceDeparture, InstanceRecord, InstanceRole},
};

impl ControlHost {
    /// Records an announcement made to this host and forwards it.
    pub(super) fn handle_announcement(&mut self, now: Moment, record: InstanceRecord) {
        if self.displaces_named_database(&record) {
            let event = ControlLogEvent::AnnouncementIgnored(record.key);
            self.effects.push(ControlEffect::Log(event));
            return;
        }
        match self.directory.record_announcement(now, &record) {
            DirectoryChange::Stale => {}
            DirectoryChange::Refreshed => {
                // Only the leader expires silent databases, so only it needs
                // repeated announcements.
                if let Some(leader) = self.leader_elsewhere() {
                    self.send_peer(leader, ControlMessage::Announced(vec![record]));
                }
            }
            DirectoryChange::Changed => {
                self.log_instance_change(&record);
                self.gather_changed_instances(now, std::slice::from_ref(&record));
                self.broadcast_to_peers(&ControlMessage::Announced(vec![record]));
                self.request_leader_tasks(now);
            }
        }
    }

    /// True if the record's service is not configured and its id or address is that of a
    /// database whose service is: another writer's announcement does not replace it.
    fn displaces_named_database(&self, record: &InstanceRecord) -> bool {
        let Some(table) = &self.control.routes else {
            return false;
        };
        let is_named = |known: &InstanceRecord| table.service(&known.service).is_some();
        if is_named(record) {
            return false;
        }
        let same_id = self.directory.get(&record.key.id);
        let same_address = self.directory.address_owner(record);
        same_id.is_some_and(is_named) || same_address.is_some_and(is_named)
    }

    pub(super) fn apply_announcements(&mut self, now: Moment, mut records: Vec<InstanceRecord>) {
        records.retain(|record| !self.displaces_named_database(record));
        records.retain(|record| {
            self.directory.record_announcement(now, record) == DirectoryChange::Changed
        });
        if self.gather_changed_instances(now, &records) {
            self.request_leader_tasks(now);
        }
    }

    /// Records earlier announcements from the log; true if any of them changed the
    /// directory.
    pub(super) fn restore_announcements(
        &mut self,
        now: Moment,
        mut records: Vec<InstanceRecord>,
    ) -> bool {
        records.retain(|record| self.directory.restore(now, record) == DirectoryChange::Changed);
        self.gather_changed_instances(now, &records)
    }

    /// Fills the directory, which is kept in memory only, from the replicated
    /// state: databases are used as last known until they announce themselves
    /// again.
    pub(super) fn restore_instances(&mut self, now: Moment) {
        let records: Vec<InstanceRecord> = self.control.instances.values().cloned().collect();
        if self.restore_announcements(now, records) {
            self.request_leader_tasks(now);
        }
    }

    /// Forgets databases of services that are not configured, once this host knows which are:
    /// until then such an entry may have taken the address or the id of a database.
    pub(super) fn forget_unconfigured_databases(&mut self, now: Moment) {
        let Some(table) = self.control.routes.clone() else {
            return;
        };
        if self.directory.retain_services(|service| table.service(service).is_some()) {
            self.restore_instances(now);
        }
    }

    /// Records a departure announced to this host and forwards it.
    pub(super) fn handle_departure(&mut self, now: Moment, departure: InstanceDeparture) {
        if self.directory.record_departure(&departure) {
            self.broadcast_removal(EntryUpdate::Departed(vec![departure.clone()]));
            self.broadcast_to_peers(&ControlMessage::Departed(vec![departure]));
            self.request_leader_tasks(now);
        }
    }

    pub(super) fn apply_departures(&mut self, now: Moment, departures: Vec<InstanceDeparture>) {
        let gone: Vec<InstanceDeparture> = departures
            .into_iter()
            .filter(|departure| self.directory.record_departure(departure))
            .collect();
        if !gone.is_empty() {
            self.broadcast_removal(EntryUpdate::Departed(gone));
            self.request_leader_tasks(now);
        }
    }

    pub(super) fn apply_expirations(&mut self, departures: Vec<InstanceDeparture>) {
        for departure in &departures {
            self.directory.remove(departure);
        }
        self.broadcast_removal(EntryUpdate::Expired(departures));
    }

    /// Removes databases that have sent no announcement for the announcement
    /// lifetime.
    pub(super) fn expire_silent_instances(&mut self, now: Moment) {
        let silent = self.directory.expire(now, self.settings.announcement_lifetime);
        if !silent.is_empty() {
            self.broadcast_removal(EntryUpdate::Expired(silent.clone()));
            for departure in silent.clone() {
                self.propose(now, ControlCommand::InstanceGone(departure));
            }
            self.broadcast_to_peers(&ControlMessage::Expired(silent));
        }
    }

    fn log_instance_change(&mut self, record: &InstanceRecord) {
        let what = match (record.draining, record.role) {
            (true, _) => "is draining",
            (false, InstanceRole::Primary) => "serves as primary",
            (false, InstanceRole::Replica) => "serves as replica",
        };
        let key = record.key.clone();
        self.effects.push(ControlEffect::Log(ControlLogEvent::InstanceChanged { key, what }));
    }

    fn broadcast_to_peers(&mut self, message: &ControlMessage) {
        for peer in self.peers.clone() {
            self.send_peer(peer, message.clone());
        }
    }
}
