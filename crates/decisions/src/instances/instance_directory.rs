use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{InstanceDeparture, InstanceKey, InstanceRecord};
use crate::clock::Moment;

/// Result of recording an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectoryChange {
    /// Ignored: newer information is known, or the record names no usable database.
    Stale,
    /// Equal to the known record, whose time is updated.
    Refreshed,
    /// The database is new or differs from its known record.
    Changed,
}

#[derive(Debug, Clone)]
struct KnownInstance {
    record: InstanceRecord,
    announced_at: Moment,
    /// Last announcement that it does not drain; `None` if this host got none, but
    /// restored the record.
    serving_at: Option<Moment>,
}

/// Databases by id, as their newest announcements describe them.
///
/// Announcements may arrive late, through several hosts and out of order: the
/// later start wins, then the higher sequence number. An address belongs to the
/// database with the latest start.
#[derive(Debug, Default)]
pub struct InstanceDirectory {
    instances: BTreeMap<Arc<str>, KnownInstance>,
    /// Latest start of each id that announced its departure, as `born_ms`.
    departed: BTreeMap<Arc<str>, u64>,
}

impl InstanceDirectory {
    /// Records an announcement.
    pub fn record_announcement(&mut self, now: Moment, record: &InstanceRecord) -> DirectoryChange {
        let change = self.restore(now, record);
        if change != DirectoryChange::Stale
            && !record.draining
            && let Some(known) = self.instances.get_mut(&record.key.id)
        {
            known.serving_at = Some(now);
        }
        change
    }

    /// Records an earlier announcement whose age is not known.
    pub fn restore(&mut self, now: Moment, record: &InstanceRecord) -> DirectoryChange {
        let id = &record.key.id;
        if !record.is_valid() || self.lacks_start(record) {
            return DirectoryChange::Stale;
        }
        if self.departed.get(id).is_some_and(|born| record.key.born_ms <= *born) {
            return DirectoryChange::Stale;
        }
        let mut serving_at = None;
        if let Some(known) = self.instances.get_mut(id) {
            let version = (record.key.born_ms, record.sequence);
            if version <= (known.record.key.born_ms, known.record.sequence) {
                return DirectoryChange::Stale;
            }
            known.announced_at = now;
            if known.record.equals_ignoring_sequence(record) {
                known.record = record.clone();
                return DirectoryChange::Refreshed;
            }
            if known.record.key == record.key {
                serving_at = known.serving_at;
            }
        }
        if !self.claim_address(record) {
            return DirectoryChange::Stale;
        }
        let instance = KnownInstance { record: record.clone(), announced_at: now, serving_at };
        self.instances.insert(id.clone(), instance);
        DirectoryChange::Changed
    }

    /// Removes a database that announced its departure; true if it was known.
    pub fn record_departure(&mut self, departure: &InstanceDeparture) -> bool {
        let known = self.instances.get(&departure.id).map(|known| known.record.key.born_ms);
        let Some(born_ms) = departure.born_ms.or(known) else {
            return false;
        };
        let departed = self.departed.entry(departure.id.clone()).or_default();
        *departed = (*departed).max(born_ms);
        let removed = known.is_some_and(|known| known <= born_ms);
        if removed {
            self.instances.remove(&departure.id);
        }
        removed
    }

    /// True if this start of a database, or a later one, announced its
    /// departure.
    pub fn has_departed(&self, key: &InstanceKey) -> bool {
        self.departed.get(&key.id).is_some_and(|born| key.born_ms <= *born)
    }

    /// Removes one start of a database that may announce itself again.
    pub fn remove(&mut self, departure: &InstanceDeparture) {
        let known = self.instances.get(&departure.id).map(|known| known.record.key.born_ms);
        if known.is_some() && departure.born_ms.is_none_or(|born| known <= Some(born)) {
            self.instances.remove(&departure.id);
        }
    }

    /// Removes and returns databases without an announcement for longer than
    /// `lifetime`.
    pub fn expire(&mut self, now: Moment, lifetime: Duration) -> Vec<InstanceDeparture> {
        let silent: Vec<InstanceDeparture> = self
            .instances
            .values()
            .filter(|known| now.since(known.announced_at) > lifetime)
            .map(|known| InstanceDeparture {
                id: known.record.key.id.clone(),
                born_ms: Some(known.record.key.born_ms),
            })
            .collect();
        for departure in &silent {
            self.instances.remove(&departure.id);
        }
        silent
    }

    /// Removes the databases of other services; true if there were any.
    pub fn retain_services(&mut self, is_configured: impl Fn(&str) -> bool) -> bool {
        let count = self.instances.len();
        self.instances.retain(|_, known| is_configured(&known.record.service));
        self.instances.len() < count
    }

    /// The newest start of a database id.
    pub fn get(&self, id: &str) -> Option<&InstanceRecord> {
        self.instances.get(id).map(|known| &known.record)
    }

    /// One start of a database, if it is still the newest.
    pub fn get_by_key(&self, key: &InstanceKey) -> Option<&InstanceRecord> {
        self.get(&key.id).filter(|record| record.key == *key)
    }

    /// Time since the last announcement of the database.
    pub fn time_since_announcement(&self, now: Moment, id: &str) -> Option<Duration> {
        self.instances.get(id).map(|known| now.since(known.announced_at))
    }

    /// True if this start of a database drains and may have done so for `limit`: that
    /// long ago, or never, this host got an announcement that it did not drain.
    pub fn has_drained(&self, now: Moment, key: &InstanceKey, limit: Option<Duration>) -> bool {
        let draining = self
            .instances
            .get(&key.id)
            .filter(|known| known.record.key == *key && known.record.draining);
        draining.zip(limit).is_some_and(|(known, limit)| {
            known.serving_at.is_none_or(|serving_at| now.since(serving_at) >= limit)
        })
    }

    /// Databases of a service.
    pub fn instances_of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a InstanceRecord> + 'a {
        self.records().filter(move |record| &*record.service == service)
    }

    /// All databases.
    pub fn records(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.instances.values().map(|known| &known.record)
    }

    /// Databases that announced their departure.
    pub fn departures(&self) -> impl Iterator<Item = InstanceDeparture> + '_ {
        self.departed
            .iter()
            .map(|(id, born_ms)| InstanceDeparture { id: id.clone(), born_ms: Some(*born_ms) })
    }

    /// True if the record states no start although databases do: it is of another writer.
    fn lacks_start(&self, record: &InstanceRecord) -> bool {
        record.key.born_ms == 0 && self.records().any(|known| known.key.born_ms > 0)
    }

    /// Another database with the record's address.
    pub fn address_owner(&self, record: &InstanceRecord) -> Option<&InstanceRecord> {
        self.records()
            .find(|other| other.address == record.address && other.key.id != record.key.id)
    }

    /// Removes another database with the record's address; false if that one
    /// started later.
    fn claim_address(&mut self, record: &InstanceRecord) -> bool {
        let address_owner = self.address_owner(record).map(|other| other.key.clone());
        match address_owner {
            Some(owner) if owner.born_ms > record.key.born_ms => false,
            Some(owner) => {
                self.instances.remove(&owner.id);
                true
            }
            None => true,
        }
    }
}
