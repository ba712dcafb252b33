//! The agreement alone on a network that loses, delays and reorders messages, while hosts
//! restart, lose their disks, go for good and are added. A disk is lost or a host goes only
//! where the voters, as the hosts know them, can bear it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use hawthornstack_decisions::{
    agreement::{
        AgreementEffect, AgreementEvent, AgreementMessage, AgreementSettings, AgreementState,
        EntryPayload, JournalRecord,
    },
    clock::Moment,
    control_state::ControlCommand,
    identity::HostId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of schedules, unless `HAWTHORNSTACK_SCHEDULES` sets another one.
const SCHEDULES: u64 = 100;
/// Number of faults in one schedule.
const FAULTS: u32 = 120;
/// Most hosts, beside those that are gone.
const MAX_HOSTS: usize = 6;
const STEP: Duration = Duration::from_millis(1);
/// Time in which a group without faults must have a leader and commit.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

#[derive(Default)]
struct QuorumHost {
    state: Option<AgreementState>,
    disk: Vec<JournalRecord>,
    boot: u64,
    /// Batches of records that are not synced, with the time of the sync.
    unsynced: Vec<(Moment, u64, Vec<JournalRecord>)>,
    /// Its newest disk has been lost, and it has no vote yet.
    has_lost_disk: bool,
}

struct QuorumRun {
    seed: u64,
    rng: ChaCha8Rng,
    now: Moment,
    first: BTreeSet<HostId>,
    tolerated: usize,
    hosts: BTreeMap<HostId, QuorumHost>,
    gone: BTreeSet<HostId>,
    next_host: u32,
    boots: u64,
    cuts: BTreeMap<(HostId, HostId), Moment>,
    /// Messages on their way: time of arrival, sender, receiver and its start.
    network: Vec<(Moment, HostId, HostId, u64, AgreementMessage)>,
    leaders: BTreeMap<u64, HostId>,
    /// Term and voters of each committed entry.
    committed: BTreeMap<u64, (u64, Option<BTreeSet<HostId>>)>,
    calm: bool,
}

impl QuorumRun {
    fn new(seed: u64, count: u32) -> Self {
        let first: BTreeSet<HostId> = (1..=count).map(HostId).collect();
        let mut run = Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Moment::from_millis(1_000),
            tolerated: 1 + usize::from(count > 4 && seed.is_multiple_of(2)),
            hosts: BTreeMap::new(),
            gone: BTreeSet::new(),
            next_host: count + 1,
            boots: 0,
            cuts: BTreeMap::new(),
            network: Vec::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            calm: true,
            first: first.clone(),
        };
        first.into_iter().for_each(|host| run.boot(host, true));
        run.run(3_000);
        run.calm = false;
        run
    }

    fn boot(&mut self, id: HostId, bootstrap: bool) {
        self.boots += 1;
        let first_voters = if bootstrap { self.first.clone() } else { BTreeSet::new() };
        let settings = AgreementSettings {
            election_timeout: Duration::from_millis(300),
            heartbeat_interval: Duration::from_millis(75),
            first_voters,
            tolerated_losses: Some(self.tolerated),
            compaction_entries: 40,
            seed: self.seed * 10_007 + self.boots * 101,
        };
        let host = self.hosts.entry(id).or_default();
        host.boot = self.boots;
        host.unsynced.clear();
        let state = AgreementState::restore(id, settings, host.disk.clone(), self.now);
        host.state = Some(state);
        let now = self.now;
        for other in self.running() {
            if let Some(state) = self.state_mut(other) {
                state.record_started(id);
                state.admit_learner(now, id);
            }
        }
    }

    fn kill(&mut self, id: HostId) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.state = None;
            host.unsynced.clear();
        }
    }

    fn wipe(&mut self, id: HostId) {
        self.kill(id);
        if let Some(host) = self.hosts.get_mut(&id) {
            host.disk.clear();
            host.has_lost_disk = true;
        }
    }

    fn state_mut(&mut self, id: HostId) -> Option<&mut AgreementState> {
        self.hosts.get_mut(&id)?.state.as_mut()
    }

    /// Proposes an entry to a host, which appends it if it leads.
    fn propose(&mut self, id: HostId) {
        let now = self.now;
        let state = self.state_mut(id);
        let proposal = state.map(|state| state.propose(now, ControlCommand::LeaderElected));
        if let Some(Ok((_, effects))) = proposal {
            self.execute(id, effects);
        }
    }

    fn leader(&self) -> Option<(HostId, &AgreementState)> {
        let running = self.hosts.iter().filter_map(|(id, host)| Some((*id, host.state.as_ref()?)));
        running.into_iter().find(|(_, state)| state.is_current_leader(self.now))
    }

    fn running(&self) -> Vec<HostId> {
        let running = self.hosts.iter().filter(|(_, host)| host.state.is_some());
        running.map(|(id, _)| *id).collect()
    }

    fn present(&self) -> Vec<HostId> {
        self.hosts.keys().copied().filter(|id| !self.gone.contains(id)).collect()
    }

    fn step(&mut self, id: HostId, event: AgreementEvent) {
        let now = self.now;
        let Some(state) = self.state_mut(id) else {
            return;
        };
        let effects = state.step(now, event);
        self.execute(id, effects);
    }

    fn execute(&mut self, id: HostId, effects: Vec<AgreementEffect>) {
        for effect in effects {
            match effect {
                AgreementEffect::Send(to, message) => self.send(id, to, message),
                AgreementEffect::Persist { number, records } => {
                    let slow = !self.calm && self.rng.random_range(0..40) == 0;
                    let time = self.rng.random_range(0..if slow { 400 } else { 4 });
                    let host = self.hosts.get_mut(&id).expect("a host");
                    let last = host.unsynced.last().map_or(self.now, |(at, _, _)| *at);
                    let at = last.max(self.now + Duration::from_millis(time));
                    host.unsynced.push((at, number, records));
                }
                AgreementEffect::Committed { index, payload } => {
                    self.record_commit(id, index, payload);
                }
                AgreementEffect::Elected(term) => {
                    let first = *self.leaders.entry(term).or_insert(id);
                    assert_eq!(first, id, "seed {}: two leaders of term {term}", self.seed);
                    let (now, running) = (self.now, self.running());
                    let state = self.state_mut(id).expect("a running host");
                    running.into_iter().for_each(|other| state.admit_learner(now, other));
                }
                AgreementEffect::Installed(_) | AgreementEffect::SteppedDown => {}
            }
        }
    }

    fn record_commit(&mut self, id: HostId, index: u64, payload: EntryPayload) {
        let state = self.hosts[&id].state.as_ref().expect("a running host");
        let Some(term) = state.log().term_at(index) else {
            return;
        };
        let voters = match payload {
            EntryPayload::Voters { voters, .. } => Some(voters),
            EntryPayload::Command(_) => None,
        };
        let entry = (term, voters);
        let first = self.committed.entry(index).or_insert_with(|| entry.clone());
        assert_eq!(*first, entry, "seed {}: {id:?} commits another entry {index}", self.seed);
    }

    fn send(&mut self, from: HostId, to: HostId, message: AgreementMessage) {
        let Some(host) = self.hosts.get(&to).filter(|host| host.state.is_some()) else {
            return;
        };
        let boot = host.boot;
        let is_cut = self.cuts.get(&(from, to)).is_some_and(|until| self.now < *until);
        let (is_lost, delay) = match self.calm {
            true => (false, 1),
            false => match self.rng.random_range(0..60) {
                0 => (true, 0),
                1 | 2 => (false, self.rng.random_range(1..700)),
                _ => (false, self.rng.random_range(1..6)),
            },
        };
        if !is_cut && !is_lost {
            let at = self.now + Duration::from_millis(delay);
            self.network.push((at, from, to, boot, message));
        }
    }

    fn run(&mut self, time_ms: u64) {
        let end = self.now + Duration::from_millis(time_ms);
        while self.now < end {
            self.now = self.now + STEP;
            self.sync_disks();
            let now = self.now;
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.network).into_iter().partition(|(at, ..)| *at <= now);
            self.network = later;
            for (_, from, to, boot, message) in due {
                if self.hosts[&to].boot == boot {
                    self.step(to, AgreementEvent::Received(from, message));
                }
            }
            for id in self.running() {
                let state = self.hosts[&id].state.as_ref().expect("a running host");
                if state.next_due() <= now {
                    self.step(id, AgreementEvent::Tick);
                }
            }
        }
    }

    fn sync_disks(&mut self) {
        for id in self.running() {
            while let Some(number) = self.sync_batch(id) {
                self.step(id, AgreementEvent::Persisted(number));
            }
            let host = self.hosts.get_mut(&id).expect("a host");
            host.has_lost_disk &= !host.state.as_ref().is_some_and(AgreementState::is_eligible);
            if let Some(state) = self.state_mut(id) {
                let control = state.restored_state().clone();
                let effects = state.compact(&control);
                self.execute(id, effects);
            }
        }
    }

    /// Syncs the next batch of records that is due; returns its number.
    fn sync_batch(&mut self, id: HostId) -> Option<u64> {
        let host = self.hosts.get_mut(&id)?;
        let is_due = host.unsynced.first().is_some_and(|(at, _, _)| *at <= self.now);
        is_due.then(|| {
            let (_, number, records) = host.unsynced.remove(0);
            host.disk.extend(records);
            number
        })
    }

    /// True if the voters, as each host knows them, bear that this host is lost, too: a majority
    /// is left, or half of an even number of which another one's disk was lost.
    fn bears(&self, lost: HostId, with_return: bool) -> bool {
        let sets =
            self.hosts.iter().filter(|(id, _)| !self.gone.contains(id)).flat_map(|(_, host)| {
                let log = host.state.as_ref().map(|state| state.log());
                let index = log.map_or(0, |log| log.last_voter_change_index());
                log.into_iter()
                    .flat_map(move |log| [log.voters().clone(), log.voters_before(index).clone()])
            });
        let committed = self.committed.values().rev().find_map(|(_, voters)| voters.clone());
        sets.chain(committed).filter(|voters| !voters.is_empty()).all(|voters| {
            let is_gone = |id: &HostId| match *id == lost {
                true => !with_return,
                false => self.gone.contains(id),
            };
            let is_empty = |id: &HostId| *id == lost || self.hosts[id].has_lost_disk;
            let gone = voters.iter().filter(|id| is_gone(id)).count();
            let without_disk = voters.iter().filter(|id| !is_gone(id) && is_empty(id)).count();
            let left = voters.len() - without_disk - gone;
            let needed = match voters.len().is_multiple_of(2) && without_disk == 1 {
                true => voters.len() / 2,
                false => voters.len() / 2 + 1,
            };
            left >= needed
        })
    }

    fn all_run(&self) -> bool {
        self.present().iter().all(|id| self.hosts[id].state.is_some())
    }

    fn pick_host(&mut self) -> HostId {
        let hosts = self.present();
        hosts[self.rng.random_range(0..hosts.len())]
    }

    fn inject_fault(&mut self) {
        let host = self.pick_host();
        match self.rng.random_range(0..16) {
            0..=2 => self.kill(host),
            3 => self.present().into_iter().for_each(|host| self.kill(host)),
            4..=7 => self.boot_missing(),
            8 | 9 => {
                // The hosts tell the voters that they know only while they run.
                if self.all_run() && self.bears(host, true) {
                    self.wipe(host);
                }
            }
            10 => {
                if self.present().len() > 3 && self.all_run() && self.bears(host, false) {
                    self.kill(host);
                    self.gone.insert(host);
                }
            }
            11 | 12 => {
                if self.present().len() < MAX_HOSTS {
                    let host = HostId(self.next_host);
                    self.next_host += 1;
                    self.boot(host, false);
                }
            }
            _ => {
                let (other, time) = (self.pick_host(), self.rng.random_range(50..1_500));
                self.cuts.insert((host, other), self.now + Duration::from_millis(time));
            }
        }
        for id in self.running() {
            self.propose(id);
        }
    }

    fn boot_missing(&mut self) {
        for id in self.present() {
            if self.hosts[&id].state.is_none() {
                self.boot(id, false);
            }
        }
    }

    /// Without faults control must get a leader that holds all committed entries.
    fn check_recovery(&mut self) {
        self.boot_missing();
        self.cuts.clear();
        self.calm = true;
        let newest = self.committed.keys().last().copied().unwrap_or(0);
        let end = self.now + RECOVERY_TIME;
        let leads = loop {
            self.run(50);
            if let Some((_, leader)) = self.leader() {
                break leader.commit() >= newest;
            }
            let voters = self.committed.values().rev().find_map(|(_, voters)| voters.clone());
            assert!(
                self.now < end,
                "seed {}: no leader of {:?}, gone {:?}, voters {voters:?}",
                self.seed,
                self.present(),
                self.gone,
            );
        };
        assert!(leads, "seed {}: the leader lacks committed entries", self.seed);
        self.calm = false;
    }
}

/// Two of four voters that have not heard of a fifth one may elect a leader without a voter whose
/// disk is lost. The other two and the fifth are three of five, but must not have committed
/// anything alone.
#[test]
fn change_is_committed_by_the_voters_before_it() {
    for seed in 0..20 {
        let mut run = QuorumRun::new(seed, 4);
        run.calm = true;
        let (leader, _) = run.leader().expect("a leader");
        let others: Vec<HostId> = run.running().into_iter().filter(|id| *id != leader).collect();
        let (lost, cut_off) = (others[0], &others[1..]);
        let new = HostId(5);
        let until = run.now + Duration::from_secs(60);
        for far in cut_off {
            for near in [leader, lost, new] {
                run.cuts.insert((*far, near), until);
                run.cuts.insert((near, *far), until);
            }
        }
        run.boot(new, false);
        for _ in 0..60 {
            run.run(20);
            run.propose(leader);
        }
        run.kill(leader);
        run.gone.insert(leader);
        run.wipe(lost);
        run.kill(new);
        run.cuts.clear();
        run.boot(lost, false);
        run.boot(new, false);
        run.check_recovery();
    }
}

/// Quorums must share a voter whatever the hosts know of changes and of lost disks: no term has
/// two leaders, no committed entry is lost, and a leader is found once all hosts are back.
#[test]
fn changes_and_lost_disks_on_a_bad_network() {
    let schedules = std::env::var("HAWTHORNSTACK_SCHEDULES").ok();
    let schedules = schedules.and_then(|text| text.parse().ok()).unwrap_or(SCHEDULES);
    for seed in 0..schedules {
        let mut run = QuorumRun::new(seed, 3 + (seed % 3) as u32);
        for fault in 1..=FAULTS {
            run.inject_fault();
            let time = run.rng.random_range(1..900);
            run.run(time);
            if fault % 30 == 0 {
                run.check_recovery();
                let time = run.rng.random_range(1..3_000);
                run.run(time);
            }
        }
    }
}
