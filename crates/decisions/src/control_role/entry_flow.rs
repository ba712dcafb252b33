use std::{collections::BTreeMap, sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    ControlEffect, ControlHost, EntryHello, EntryReport, EntryUpdate,
    entry_progress::{EntryProgress, SentState},
    term_history::SharedTerms,
};
use crate::{
    clock::Moment, control_state::ControlCommand, entry_role::DataCentreHosts, identity::HostId,
    packing::SharedRecords,
};

/// Time between messages to all entry hosts for each of them: the leader sends and is
/// answered about 5,000 of them a second.
const FEED_TIME_PER_HOST: Duration = Duration::from_micros(200);
/// Silence after which a host whose lease has expired is removed from the
/// holders.
const HOLDER_RETENTION: Duration = Duration::from_secs(15);

impl ControlHost {
    pub(super) fn handle_entry_link(&mut self, now: Moment, host: HostId, hello: EntryHello) {
        self.entry_hosts.insert(host, EntryProgress::linked(now, hello));
        let hosts = self.known_hosts();
        self.send_entry(host, EntryUpdate::Hosts(hosts));
        let leader = self.agreement.leader();
        self.send_entry(host, EntryUpdate::NotLeader { leader });
        let departures = self.directory.departures().collect();
        self.send_entry(host, EntryUpdate::Departed(departures));
    }

    pub(super) fn handle_entry_close(&mut self, host: HostId) {
        if let Some(entry) = self.entry_hosts.get_mut(&host) {
            entry.linked = false;
        }
    }

    pub(super) fn handle_entry_report(&mut self, now: Moment, host: HostId, report: EntryReport) {
        match report {
            EntryReport::Renew { sent_at, applied, received, routes_version, follows, leaving } => {
                let previous = self.entry_hosts.remove(&host);
                let previous =
                    previous.unwrap_or_else(|| EntryProgress::linked(now, EntryHello::default()));
                let has_advanced = previous.applied < applied;
                let progress = EntryProgress {
                    applied,
                    takes_changes: received.is_some(),
                    routes_version,
                    follows,
                    leaving,
                    linked: true,
                    last_heard_at: now,
                    ..previous.confirmed(now, received.unwrap_or(0).max(applied))
                };
                self.entry_hosts.insert(host, progress);
                self.send_missing_instances(now, host);
                self.renew_lease(now, host, sent_at, has_advanced);
            }
            EntryReport::PrimaryReachable { service, number, reachable } => {
                self.record_reachability(now, host, &service, number, reachable);
            }
            EntryReport::UsageRequest { sent_at, needs } => {
                self.grant_usage(now, host, sent_at, &needs);
            }
        }
    }

    fn renew_lease(&mut self, now: Moment, host: HostId, sent_at: Moment, has_advanced: bool) {
        if !self.is_current_leader(now) {
            let leader = self.agreement.leader();
            return self.send_entry(host, EntryUpdate::NotLeader { leader });
        }
        self.send_state(now, host);
        if !self.control.holders.contains(&host) {
            return self.propose_once(now, ControlCommand::HolderJoined(host));
        }
        self.grant_lease(now, host, sent_at);
        let gateways = self.gateway_list(self.names_data_centre(host));
        self.send_gateway_list(host, &gateways);
        if has_advanced {
            self.request_leader_tasks(now);
        }
    }

    fn grant_lease(&mut self, now: Moment, host: HostId, sent_at: Moment) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let duration = leader_state.leases.grant(now, host);
        // All holders are counted, so that a host that is briefly down keeps
        // its share of connections.
        let entry_hosts = self.control.holders.len() as u32;
        let required_index = self.entry_state_index;
        let grant = EntryUpdate::Grant { sent_at, duration, required_index, entry_hosts };
        self.send_entry(host, grant);
    }

    /// The list of entry hosts that may be gateways, with its hash.
    fn gateway_list(&self, by_data_centre: bool) -> (u64, EntryUpdate) {
        let update = match by_data_centre {
            true => EntryUpdate::GatewayHosts(self.gateways_by_data_centre()),
            false => {
                let hosts = self.gateway_candidates().map(|(host, _)| host);
                EntryUpdate::EntryHosts(hosts.collect())
            }
        };
        (hash_of_hosts(&update), update)
    }

    /// True if the entry host named its data centre, so that its list has data centres.
    fn names_data_centre(&self, host: HostId) -> bool {
        self.entry_hosts.get(&host).is_some_and(|entry| entry.hello.data_centre.is_some())
    }

    /// Sends an entry host the list of entry hosts if it has changed since the
    /// last one sent.
    fn send_gateway_list(&mut self, host: HostId, (hash, update): &(u64, EntryUpdate)) {
        let Some(entry) =
            self.entry_hosts.get_mut(&host).filter(|entry| entry.sent_hosts_hash != *hash)
        else {
            return;
        };
        entry.sent_hosts_hash = *hash;
        self.send_entry(host, update.clone());
    }

    /// Holders that are not about to stop, with what this host knows of each.
    fn gateway_candidates(&self) -> impl Iterator<Item = (HostId, Option<&EntryProgress>)> {
        let holders = self.control.holders.iter();
        holders
            .map(|host| (*host, self.entry_hosts.get(host)))
            .filter(|(_, entry)| entry.is_none_or(|entry| !entry.leaving))
    }

    /// The candidates that named their data centres, by data centre.
    fn gateways_by_data_centre(&self) -> Vec<DataCentreHosts> {
        let mut sites: BTreeMap<&Arc<str>, Vec<HostId>> = BTreeMap::new();
        for (host, entry) in self.gateway_candidates() {
            if let Some(data_centre) = entry.and_then(|entry| entry.hello.data_centre.as_ref()) {
                sites.entry(data_centre).or_default().push(host);
            }
        }
        let to_site = |(data_centre, hosts): (&Arc<str>, Vec<HostId>)| DataCentreHosts {
            data_centre: data_centre.clone(),
            hosts,
        };
        sites.into_iter().map(to_site).collect()
    }

    fn record_reachability(
        &mut self,
        now: Moment,
        host: HostId,
        service: &Arc<str>,
        number: u64,
        reachable: bool,
    ) {
        let is_current = self
            .control
            .terms
            .get(service)
            .is_some_and(|term| term.number == number && term.is_steady());
        let Some(leader_state) = self.leader_state.as_mut().filter(|_| is_current) else {
            return;
        };
        let numbered_poll = leader_state.polls.entry(service.clone()).or_default();
        if numbered_poll.0 != number {
            *numbered_poll = (number, Default::default());
        }
        numbered_poll.1.record(now, host, reachable);
        if numbered_poll.1.start_poll_if_due(now) {
            let service = service.clone();
            self.broadcast_to_entry_hosts(EntryUpdate::Probe { service, number });
        }
        self.request_leader_tasks(now);
    }

    /// Removes holders that have been silent for `HOLDER_RETENTION` and whose
    /// leases have expired.
    pub(super) fn remove_silent_holders(&mut self, now: Moment) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let expired: Vec<HostId> = self
            .control
            .holders
            .iter()
            .filter(|host| {
                let last_heard_at = self
                    .entry_hosts
                    .get(host)
                    .map_or(leader_state.elected_at, |entry| entry.last_heard_at);
                now.since(last_heard_at.max(leader_state.elected_at)) > HOLDER_RETENTION
                    && now >= leader_state.leases.expires_at(**host)
            })
            .copied()
            .collect();
        for host in expired {
            self.entry_hosts.remove(&host);
            self.propose_once(now, ControlCommand::HolderLeft(host));
        }
    }

    /// Requests that the committed state is sent to the entry hosts: at once after a pause,
    /// else once in a time that grows with their number.
    pub(super) fn request_state_feed(&mut self, now: Moment) {
        self.state_pace.request_every(self.feed_interval(), now);
    }

    /// Shortest time between messages to all entry hosts.
    pub(super) fn feed_interval(&self) -> Duration {
        FEED_TIME_PER_HOST * self.entry_hosts.len() as u32
    }

    /// Sends the committed state and the list of entry hosts to all linked entry hosts if
    /// this host is the leader. Those that have not renewed their leases since its election
    /// do so now, and report what they have.
    pub(super) fn send_state_to_all(&mut self, now: Moment) {
        let Some(elected_at) = self.leader_state.as_ref().map(|state| state.elected_at) else {
            return;
        };
        let [plain, by_data_centre] = [false, true].map(|by| self.gateway_list(by));
        for host in self.linked_entry_hosts() {
            if self.entry_hosts.get(&host).is_some_and(|entry| entry.last_heard_at >= elected_at) {
                self.send_state(now, host);
                let gateways = if self.names_data_centre(host) { &by_data_centre } else { &plain };
                self.send_gateway_list(host, gateways);
            }
        }
    }

    /// Sends an entry host what has changed since the last state sent to it. While a
    /// configuration is on its way a newer one waits, so that configurations in quick
    /// succession do not queue on a narrow link: the renewal that confirms the first
    /// one requests the newest.
    fn send_state(&mut self, now: Moment, host: HostId) {
        let index = self.entry_state_index;
        let Some(entry) = self.entry_hosts.get(&host) else {
            return;
        };
        let known = entry.known_state(now);
        if known.index >= index {
            return;
        }
        let (takes_changes, unpacks) = (entry.takes_changes, entry.hello.unpacks_records);
        let is_configuration_awaited = known.routes_version > entry.routes_version;
        // A host reports 0 also if it has no configuration, so that one with version 0 is
        // sent with each state.
        let newer = self
            .control
            .routes
            .as_ref()
            .filter(|table| table.version > known.routes_version || table.version == 0);
        if newer.is_some() && is_configuration_awaited {
            return;
        }
        let routes = newer
            .and_then(|table| self.route_feed.packed_for(table, known.routes_version, unpacks));
        let routes_version = routes.as_ref().map_or(known.routes_version, |table| table.version);
        if let Some(entry) = self.entry_hosts.get_mut(&host) {
            entry.sent_state = Some(SentState { index, routes_version, ..known });
        }
        let shared = self.shared_terms(if takes_changes { known.index } else { 0 });
        let since = shared.since;
        let packed_terms = shared.terms.packed_for(unpacks);
        let terms = if packed_terms.is_some() { Vec::new() } else { shared.terms.to_vec() };
        self.send_entry(host, EntryUpdate::State { index, since, routes, terms, packed_terms });
    }

    /// The terms that changed since a host received the state at this index, or all if that
    /// is not known.
    fn shared_terms(&mut self, received: u64) -> SharedTerms {
        let index = self.entry_state_index;
        let last = self.last_terms.take();
        let last = last.filter(|last| last.received == received && last.index == index);
        let shared = last.unwrap_or_else(|| {
            let all = &self.control.terms;
            let (since, terms) = match self.term_history.changed_since(received) {
                Some(changed) => {
                    (received, changed.filter_map(|name| all.get(name)).cloned().collect())
                }
                None => (0, all.values().cloned().collect()),
            };
            SharedTerms { received, index, since, terms: SharedRecords::new(terms) }
        });
        self.last_terms = Some(shared.clone());
        shared
    }

    pub(super) fn broadcast_to_entry_hosts(&mut self, update: EntryUpdate) {
        for host in self.linked_entry_hosts() {
            self.send_entry(host, update.clone());
        }
    }

    pub(super) fn linked_entry_hosts(&self) -> Vec<HostId> {
        self.entry_hosts.iter().filter(|(_, entry)| entry.linked).map(|(host, _)| *host).collect()
    }

    pub(super) fn send_entry(&mut self, host: HostId, update: EntryUpdate) {
        self.effects.push(ControlEffect::SendEntry(host, update));
    }
}

/// Hash of the hosts in a list for an entry host, by which an unchanged list is
/// recognised.
fn hash_of_hosts(update: &EntryUpdate) -> u64 {
    let mut bytes = Vec::new();
    let mut add_hosts = |hosts: &[HostId]| {
        hosts.iter().for_each(|host| bytes.extend_from_slice(&host.0.to_be_bytes()));
        bytes.push(b'/');
    };
    match update {
        EntryUpdate::EntryHosts(hosts) => add_hosts(hosts),
        EntryUpdate::GatewayHosts(sites) => sites.iter().for_each(|site| add_hosts(&site.hosts)),
        _ => {}
    }
    xxh3_64(&bytes)
}
