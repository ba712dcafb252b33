use super::{ControlEffect, ControlHost, ControlLogEvent, ControlMessage, EntryUpdate};
use crate::{
    clock::Moment,
    control_state::ControlCommand,
    instances::{DirectoryChange, InstanceDeparture, InstanceRecord, InstanceRole},
};

impl ControlHost {
    /// A database announced itself at this host.
    pub(super) fn announced(&mut self, now: Moment, record: InstanceRecord) {
        match self.directory.record_announcement(now, &record) {
            DirectoryChange::Stale => {}
            DirectoryChange::Refreshed => {
                // Only the leader forgets silent databases.
                if let Some(leader) = self.agreement.leader().filter(|l| *l != self.settings.host) {
                    self.send_peer(leader, ControlMessage::Announced(vec![record]));
                }
            }
            DirectoryChange::Changed => {
                self.note_instance(&record);
                self.update_entries(EntryUpdate::Announced(vec![record.clone()]));
                self.tell_peers(&ControlMessage::Announced(vec![record]));
                self.lead(now);
            }
        }
    }

    pub(super) fn announced_elsewhere(&mut self, now: Moment, records: Vec<InstanceRecord>) {
        if self.learn_instances(now, records) {
            self.lead(now);
        }
    }

    /// Takes what is known of databases, and says whether any of it was news.
    pub(super) fn learn_instances(&mut self, now: Moment, records: Vec<InstanceRecord>) -> bool {
        let changed: Vec<InstanceRecord> = records
            .into_iter()
            .filter(|record| {
                self.directory.record_announcement(now, record) == DirectoryChange::Changed
            })
            .collect();
        let any = !changed.is_empty();
        if any {
            self.update_entries(EntryUpdate::Announced(changed));
        }
        any
    }

    /// Looks for databases where they were before this host restarted, until
    /// they announce themselves again.
    pub(super) fn recall_instances(&mut self, now: Moment) {
        let records: Vec<InstanceRecord> = self.control.instances.values().cloned().collect();
        self.announced_elsewhere(now, records);
    }

    /// A database said at this host that it is gone.
    pub(super) fn departed(&mut self, now: Moment, departure: InstanceDeparture) {
        if self.directory.record_departure(&departure) {
            self.update_entries(EntryUpdate::Departed(vec![departure.clone()]));
            self.tell_peers(&ControlMessage::Departed(vec![departure]));
            self.lead(now);
        }
    }

    pub(super) fn departed_elsewhere(&mut self, now: Moment, departures: Vec<InstanceDeparture>) {
        let gone: Vec<InstanceDeparture> = departures
            .into_iter()
            .filter(|departure| self.directory.record_departure(departure))
            .collect();
        if !gone.is_empty() {
            self.update_entries(EntryUpdate::Departed(gone));
            self.lead(now);
        }
    }

    pub(super) fn expired_elsewhere(&mut self, departures: Vec<InstanceDeparture>) {
        for departure in &departures {
            self.directory.remove(departure);
        }
        self.update_entries(EntryUpdate::Expired(departures));
    }

    /// Forgets databases that no host has heard for long.
    pub(super) fn expire_instances(&mut self, now: Moment) {
        let silent = self.directory.expire(now, self.settings.announcement_lifetime);
        if !silent.is_empty() {
            self.update_entries(EntryUpdate::Expired(silent.clone()));
            for departure in silent.clone() {
                self.propose(now, ControlCommand::InstanceGone(departure));
            }
            self.tell_peers(&ControlMessage::Expired(silent));
        }
    }

    fn note_instance(&mut self, record: &InstanceRecord) {
        let what = match (record.draining, record.role) {
            (true, _) => "is draining",
            (false, InstanceRole::Primary) => "serves as primary",
            (false, InstanceRole::Replica) => "serves as replica",
        };
        let key = record.key.clone();
        self.effects.push(ControlEffect::Log(ControlLogEvent::InstanceChanged { key, what }));
    }

    fn tell_peers(&mut self, message: &ControlMessage) {
        for peer in self.peers.clone() {
            self.send_peer(peer, message.clone());
        }
    }
}
