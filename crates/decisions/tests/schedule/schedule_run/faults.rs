use hawthornstack_decisions::{
    identity::RequestId,
    pg_host::{HostEvent, HostState},
};
use rand::RngExt;

use super::{Action, FAULTS_UNTIL, MILLI, Sabotage, ScheduleRun, settings};
use crate::schedule::fake_database::FakeDatabase;

impl ScheduleRun {
    pub(super) fn inject_fault(&mut self) {
        if self.now >= FAULTS_UNTIL {
            return self.heal_all();
        }
        let next = self.rng.random_range(100 * MILLI..1_500 * MILLI);
        self.after(next, Action::InjectFault);
        let length = self.rng.random_range(100 * MILLI..2_000 * MILLI);
        let hosts = self.hosts.len();
        let host = self.rng.random_range(0..hosts);
        let database = self.rng.random_range(0..3);
        let kind = self.rng.random_range(0..12);
        // A missing fence is detected only if one host keeps reaching the old primary.
        let kind = if self.sabotage == Sabotage::NoFences { 10 } else { kind };
        match kind {
            0 => self.crash_host(host, length, false),
            1 => self.crash_host(host, length, self.can_lose_disk()),
            2 => {
                let both = self.rng.random_range(0..2) == 0;
                for other in (0..hosts).filter(|other| *other != host) {
                    self.cut_links.insert((host, other));
                    if both {
                        self.cut_links.insert((other, host));
                    }
                }
                self.after(length, Action::HealLinks);
            }
            3 => {
                self.hosts[host].paused = true;
                self.after(length.min(700 * MILLI), Action::Unpause(host));
            }
            4..6 => self.fail_primary(length, |database| database.stopped = true),
            6 => self.fail_primary(length, |database| database.cut_from_hosts = true),
            7 => self.fail_primary(length, |database| {
                database.cut_from_hosts = true;
                database.cut_from_group = true;
            }),
            10..12 => self.isolate_with_primary(host, length),
            8 => {
                self.databases[database].cut_from_group = true;
                self.after(length, Action::HealDatabase(database));
            }
            _ => {
                self.databases[database].stopped = true;
                self.after(length, Action::HealDatabase(database));
            }
        }
    }

    /// True if a majority of the voters keeps its records when one disk is lost:
    /// every voter is up, eligible, and sees all voters as members.
    pub(super) fn can_lose_disk(&self) -> bool {
        let voters = self.voters();
        self.hosts[..voters].iter().all(|host| {
            let agreement = host.state.as_ref().and_then(HostState::agreement);
            agreement.is_some_and(|a| a.is_eligible() && a.voters().len() == voters)
        })
    }

    pub(super) fn voters(&self) -> usize {
        if self.hosts.len() >= 5 { 5 } else { 3 }
    }

    pub(super) fn current_primary(&self) -> usize {
        (0..3)
            .filter(|index| self.databases[*index].accepts_writes())
            .max_by_key(|index| self.databases[*index].term)
            .unwrap_or(0)
    }

    /// Isolates one host together with the primary. All hosts still reach the
    /// replicas.
    pub(super) fn isolate_with_primary(&mut self, host: usize, length: u64) {
        let primary = self.current_primary();
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            self.cut_links.insert((host, other));
            self.cut_links.insert((other, host));
            self.cut_paths.insert((other, primary));
        }
        self.after(length, Action::HealLinks);
    }

    pub(super) fn fail_primary(&mut self, length: u64, change: impl Fn(&mut FakeDatabase)) {
        let primary = self.current_primary();
        change(&mut self.databases[primary]);
        self.after(length, Action::HealDatabase(primary));
    }

    pub(super) fn crash_host(&mut self, host: usize, length: u64, wiped: bool) {
        if self.hosts[host].state.take().is_none() {
            return;
        }
        self.hosts[host].epoch += 1;
        self.hosts[host].watched.clear();
        let running: Vec<(usize, RequestId)> =
            self.running.keys().filter(|(at, _)| *at == host).copied().collect();
        for key in running {
            if let Some(operation) = self.running.remove(&key) {
                let session = self.operations[operation].session;
                self.after(20 * MILLI, Action::NextOperation(session));
            }
        }
        self.after(length, Action::RestartHost { host, wiped });
    }

    pub(super) fn restart_host(&mut self, host: usize, wiped: bool) {
        if self.hosts[host].state.is_some() {
            return;
        }
        if wiped {
            self.hosts[host].journal.clear();
        }
        let seed = self.rng.random();
        let voters = self.voters();
        let now = self.moment(host);
        let journal = self.hosts[host].journal.clone();
        self.hosts[host].state = Some(HostState::new(settings(host, voters, seed), journal, now));
        self.step(host, HostEvent::Tick);
    }

    pub(super) fn heal_all(&mut self) {
        self.cut_links.clear();
        self.cut_paths.clear();
        for database in 0..3 {
            self.after(1, Action::HealDatabase(database));
        }
        for host in 0..self.hosts.len() {
            self.after(2, Action::RestartHost { host, wiped: false });
            if self.hosts[host].paused {
                self.after(3, Action::Unpause(host));
            }
        }
    }
}
