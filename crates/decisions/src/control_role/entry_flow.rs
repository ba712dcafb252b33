use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    ControlEffect, ControlHost, EntryReport, EntryUpdate, control_host_state::EntryProgress,
};
use crate::{clock::Moment, control_state::ControlCommand, identity::HostId, routes::PackedRoutes};

/// Silence after which a host whose lease ran out is no longer a holder.
const HOLDER_RETENTION: Duration = Duration::from_secs(15);

impl ControlHost {
    pub(super) fn entry_linked(&mut self, now: Moment, host: HostId) {
        self.entries.insert(
            host,
            EntryProgress {
                applied: 0,
                routes_version: 0,
                linked: true,
                leaving: false,
                heard_at: now,
                told_hosts: 0,
            },
        );
        let hosts = self.known_hosts();
        self.send_entry(host, EntryUpdate::Hosts(hosts));
        let leader = self.agreement.leader();
        self.send_entry(host, EntryUpdate::NotLeader { leader });
        let records = self.directory.records().cloned().collect();
        self.send_entry(host, EntryUpdate::Announced(records));
        let departures = self.directory.departures().collect();
        self.send_entry(host, EntryUpdate::Departed(departures));
    }

    pub(super) fn entry_closed(&mut self, host: HostId) {
        if let Some(entry) = self.entries.get_mut(&host) {
            entry.linked = false;
        }
    }

    pub(super) fn entry_reported(&mut self, now: Moment, host: HostId, report: EntryReport) {
        match report {
            EntryReport::Renew { sent_at, applied, routes_version, leaving } => {
                let before = self.entries.get(&host);
                let told_hosts = before.map_or(0, |entry| entry.told_hosts);
                let progress = EntryProgress {
                    applied,
                    routes_version,
                    linked: true,
                    leaving,
                    heard_at: now,
                    told_hosts,
                };
                self.renewed(now, host, sent_at, progress);
            }
            EntryReport::PrimaryReachable { service, number, reachable } => {
                self.opined(now, host, &service, number, reachable);
            }
        }
    }

    fn renewed(&mut self, now: Moment, host: HostId, sent_at: Moment, progress: EntryProgress) {
        let applied = progress.applied;
        let caught_up =
            self.entries.insert(host, progress).is_some_and(|before| before.applied < applied);
        if !self.is_current_leader(now) {
            let leader = self.agreement.leader();
            return self.send_entry(host, EntryUpdate::NotLeader { leader });
        }
        if applied < self.entry_index {
            self.send_state(host);
        }
        if !self.control.holders.contains(&host) {
            return self.propose_once(now, ControlCommand::HolderJoined(host));
        }
        self.grant(now, host, sent_at);
        self.tell_entry_hosts(host);
        if caught_up {
            self.lead(now);
        }
    }

    fn grant(&mut self, now: Moment, host: HostId, sent_at: Moment) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let duration = leader_state.leases.grant(now, host);
        // Hosts that are down for a moment keep their share of connections.
        let entry_hosts = self.control.holders.len() as u32;
        let required_index = self.entry_index;
        let grant = EntryUpdate::Grant { sent_at, duration, required_index, entry_hosts };
        self.send_entry(host, grant);
    }

    /// Tells an entry host which others there are, if that changed.
    fn tell_entry_hosts(&mut self, host: HostId) {
        let stays = |host: &HostId| self.entries.get(host).is_none_or(|entry| !entry.leaving);
        let hosts: Vec<HostId> = self.control.holders.iter().copied().filter(stays).collect();
        let bytes: Vec<u8> = hosts.iter().flat_map(|host| host.0.to_be_bytes()).collect();
        let hash = xxh3_64(&bytes);
        let Some(entry) = self.entries.get_mut(&host).filter(|entry| entry.told_hosts != hash)
        else {
            return;
        };
        entry.told_hosts = hash;
        self.send_entry(host, EntryUpdate::EntryHosts(hosts));
    }

    fn opined(
        &mut self,
        now: Moment,
        host: HostId,
        service: &Arc<str>,
        number: u64,
        reachable: bool,
    ) {
        let fits = self
            .control
            .terms
            .get(service)
            .is_some_and(|term| term.number == number && term.is_steady());
        let Some(leader_state) = self.leader_state.as_mut().filter(|_| fits) else {
            return;
        };
        let entry = leader_state.polls.entry(service.clone()).or_default();
        if entry.0 != number {
            *entry = (number, Default::default());
        }
        entry.1.record(now, host, reachable);
        if entry.1.should_ask(now) {
            let service = service.clone();
            self.update_entries(EntryUpdate::Probe { service, number });
        }
        self.lead(now);
    }

    /// Drops hosts that are long gone from the holders.
    pub(super) fn forget_holders(&mut self, now: Moment) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let gone: Vec<HostId> = self
            .control
            .holders
            .iter()
            .filter(|host| {
                let heard_at =
                    self.entries.get(host).map_or(leader_state.since, |entry| entry.heard_at);
                now.since(heard_at.max(leader_state.since)) > HOLDER_RETENTION
                    && now >= leader_state.leases.expires_at(**host)
            })
            .copied()
            .collect();
        for host in gone {
            self.entries.remove(&host);
            self.propose_once(now, ControlCommand::HolderLeft(host));
        }
    }

    /// Sends the committed state to all linked entry hosts, if this host leads.
    pub(super) fn push_state(&mut self) {
        if !self.agreement.is_leader() {
            return;
        }
        let linked: Vec<HostId> = self.linked_entries();
        linked.into_iter().for_each(|host| self.send_state(host));
    }

    /// The configuration as entry hosts get it, packed when it is first sent.
    fn packed_routes(&mut self) -> Option<Arc<PackedRoutes>> {
        let table = self.control.routes.as_ref()?;
        if self.packed.as_ref().is_none_or(|packed| packed.version != table.version) {
            // Encoding to memory does not fail.
            self.packed = PackedRoutes::pack(table).ok().map(Arc::new);
        }
        self.packed.clone()
    }

    fn send_state(&mut self, host: HostId) {
        let packed = self.packed_routes();
        let Some(entry) = self.entries.get_mut(&host) else {
            return;
        };
        let held = entry.routes_version;
        let routes = packed.filter(|table| table.version > held);
        if let Some(table) = &routes {
            // A lost update is sent again when the host renews its lease.
            entry.routes_version = table.version;
        }
        let terms = self.control.terms.values().cloned().collect();
        let update = EntryUpdate::State { index: self.entry_index, routes, terms };
        self.send_entry(host, update);
    }

    pub(super) fn update_entries(&mut self, update: EntryUpdate) {
        for host in self.linked_entries() {
            self.send_entry(host, update.clone());
        }
    }

    fn linked_entries(&self) -> Vec<HostId> {
        self.entries.iter().filter(|(_, entry)| entry.linked).map(|(host, _)| *host).collect()
    }

    fn send_entry(&mut self, host: HostId, update: EntryUpdate) {
        self.effects.push(ControlEffect::SendEntry(host, update));
    }
}
