use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{ControlHost, EntryUpdate, recent_changes::RecentChanges};
use crate::{
    clock::Moment, identity::HostId, instances::InstanceRecord, packing::SharedRecords,
    send_pace::SendPace,
};

/// Shortest time between changes of databases that are sent to entry hosts; those in
/// between are sent together.
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time before its renewal in which a host that follows another leader may have
/// missed messages of that leader; it opens a silent link again sooner.
const LEADER_SILENCE: Duration = Duration::from_secs(2);
/// Age up to which a packed directory is sent to further hosts, together with the changes
/// since it was packed. Hundreds of hosts link within a second of a start, when the
/// directory changes all the time.
const DIRECTORY_MAX_AGE: Duration = Duration::from_secs(1);

/// Changes of databases on their way to entry hosts.
#[derive(Debug)]
pub(super) struct InstanceFeed {
    /// Databases that changed lately.
    recent: RecentChanges,
    /// Ids of databases whose changes have not been sent yet.
    unsent: BTreeSet<Arc<str>>,
    pace: SendPace,
    /// Time of the last batch of changes.
    batched_at: Moment,
    /// All databases, and the time at which they were packed.
    directory: Option<(Moment, SharedRecords<InstanceRecord>)>,
}

impl InstanceFeed {
    pub(super) fn new() -> Self {
        Self {
            recent: RecentChanges::default(),
            unsent: BTreeSet::new(),
            pace: SendPace::new(CHANGE_INTERVAL),
            batched_at: Moment::ZERO,
            directory: None,
        }
    }

    /// Time at which the next batch is due, if any.
    pub(super) fn due(&self) -> Option<Moment> {
        self.pace.due()
    }
}

impl ControlHost {
    /// Gathers databases that changed for the entry hosts; true if there are any.
    pub(super) fn gather_changed_instances(
        &mut self,
        now: Moment,
        records: &[InstanceRecord],
    ) -> bool {
        if records.is_empty() {
            return false;
        }
        let interval = CHANGE_INTERVAL.max(self.feed_interval());
        let feed = &mut self.instance_feed;
        feed.recent.record(now, records);
        feed.unsent.extend(records.iter().map(|record| record.key.id.clone()));
        feed.pace.request_every(interval, now);
        true
    }

    /// Tells all entry hosts of databases that are gone. The packed directory may name
    /// them, and hosts must not learn of them again.
    pub(super) fn broadcast_removal(&mut self, update: EntryUpdate) {
        self.instance_feed.directory = None;
        self.broadcast_to_entry_hosts(update);
    }

    /// As the leader, sends an entry host that has renewed its lease the databases that it
    /// lacks. Other control hosts send none, since without the leader's lease the host
    /// serves nothing; they keep the time up to which the leader has sent it all.
    pub(super) fn send_missing_instances(&mut self, now: Moment, host: HostId) {
        let other_leader = self.leader_elsewhere();
        let sends = self.sends_instances();
        let Some(entry) = self.entry_hosts.get_mut(&host) else {
            return;
        };
        if other_leader.is_some() && entry.follows == other_leader {
            entry.instances_until = entry.instances_until.max(Some(now - LEADER_SILENCE));
        }
        let until = entry.instances_until;
        if !sends || until >= Some(self.instance_feed.batched_at) {
            return;
        }
        let changed = until.and_then(|until| self.instance_feed.recent.since(now, until));
        let changed = match changed {
            Some(changed) => changed,
            None => self.send_directory(now, host),
        };
        self.send_instances(host, &SharedRecords::new(self.known_instances(&changed)));
        if let Some(entry) = self.entry_hosts.get_mut(&host) {
            entry.instances_until = Some(now);
        }
    }

    /// True if entry hosts learn of databases from this host: the leader, once it knows which
    /// services are configured. Until then an entry of another writer may stand in the place
    /// of a database.
    fn sends_instances(&self) -> bool {
        self.agreement.is_leader() && self.control.routes.is_some()
    }

    /// Sends all databases as they were packed last; returns those that changed since.
    fn send_directory(&mut self, now: Moment, host: HostId) -> BTreeSet<Arc<str>> {
        let packed = self.instance_feed.directory.take();
        let recent = packed.filter(|(at, _)| now.since(*at) < DIRECTORY_MAX_AGE);
        let (at, records) = recent.unwrap_or_else(|| {
            (now, SharedRecords::new(self.directory.records().cloned().collect()))
        });
        self.send_instances(host, &records);
        self.instance_feed.directory = Some((at, records));
        match at == now {
            true => BTreeSet::new(),
            false => self.instance_feed.recent.since(now, at).unwrap_or_default(),
        }
    }

    /// As the leader, sends the gathered changes, when they are due, to the entry hosts that
    /// have all earlier ones. The others are sent what they lack when they renew.
    pub(super) fn send_changed_instances(&mut self, now: Moment) {
        if !self.instance_feed.pace.take_due(now) {
            return;
        }
        let changed = std::mem::take(&mut self.instance_feed.unsent);
        let earlier = std::mem::replace(&mut self.instance_feed.batched_at, now);
        if !self.sends_instances() {
            return;
        }
        let records = SharedRecords::new(self.known_instances(&changed));
        for host in self.linked_entry_hosts() {
            let entry = self.entry_hosts.get_mut(&host);
            let Some(entry) = entry.filter(|entry| entry.instances_until >= Some(earlier)) else {
                continue;
            };
            entry.instances_until = Some(now);
            self.send_instances(host, &records);
        }
    }

    fn send_instances(&mut self, host: HostId, records: &SharedRecords<InstanceRecord>) {
        if records.is_empty() {
            return;
        }
        let unpacks = self.entry_hosts.get(&host).is_some_and(|entry| entry.hello.unpacks_records);
        let update = match records.packed_for(unpacks) {
            Some(packed) => EntryUpdate::PackedInstances(packed),
            None => EntryUpdate::Announced(records.to_vec()),
        };
        self.send_entry(host, update);
    }

    /// Records of the databases with these ids, without those that are gone.
    fn known_instances(&self, ids: &BTreeSet<Arc<str>>) -> Vec<InstanceRecord> {
        ids.iter().filter_map(|id| self.directory.get(id)).cloned().collect()
    }
}
