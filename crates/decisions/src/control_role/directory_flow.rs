use super::{ControlEffect, ControlHost, ControlLogEvent, ControlMessage, EntryUpdate};
use crate::{
    clock::Moment,
    control_state::ControlCommand,
    identity::HostId,
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
        self.displace_unnamed_databases(&record);
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
        let mut known = self.databases_in_place_of(record);
        self.control.routes.is_some()
            && !self.is_named(record)
            && known.any(|known| self.is_named(known))
    }

    /// Forgets databases of services that are not configured if they have the id or the address
    /// of this one, whose service is: with later starts they would keep it out.
    fn displace_unnamed_databases(&mut self, record: &InstanceRecord) {
        if !self.is_named(record) {
            return;
        }
        let unnamed: Vec<InstanceDeparture> = self
            .databases_in_place_of(record)
            .filter(|known| !self.is_named(known))
            .map(|known| InstanceDeparture {
                id: known.key.id.clone(),
                born_ms: Some(known.key.born_ms),
            })
            .collect();
        if !unnamed.is_empty() {
            unnamed.iter().for_each(|departure| self.directory.remove(departure));
            self.broadcast_removal(EntryUpdate::Expired(unnamed));
        }
    }

    /// True if the record's service is configured, as far as this host knows.
    fn is_named(&self, record: &InstanceRecord) -> bool {
        let table = self.control.routes.as_ref();
        table.is_some_and(|table| table.service(&record.service).is_some())
    }

    /// Known databases with the id or the address of the record.
    fn databases_in_place_of(
        &self,
        record: &InstanceRecord,
    ) -> impl Iterator<Item = &InstanceRecord> {
        let same_id = self.directory.get(&record.key.id);
        same_id.into_iter().chain(self.directory.address_owner(record))
    }

    pub(super) fn apply_announcements(&mut self, now: Moment, mut records: Vec<InstanceRecord>) {
        records.retain(|record| !self.displaces_named_database(record));
        records.retain(|record| {
            self.displace_unnamed_databases(record);
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
        records.retain(|record| {
            self.displace_unnamed_databases(record);
            self.directory.restore(now, record) == DirectoryChange::Changed
        });
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

    /// Forgets the databases that the leader has found silent. A notice of a former leader is
    /// ignored: they may have announced themselves since.
    pub(super) fn apply_expirations(&mut self, from: HostId, departures: Vec<InstanceDeparture>) {
        if self.leader_elsewhere() != Some(from) {
            return;
        }
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
