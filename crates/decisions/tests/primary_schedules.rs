//! Databases that drain, crash, return and are replaced while control hosts fail, from seeded
//! schedules. No draining database may be used beyond its drain period, no term may begin at a
//! database that does not lead, and a service with a database must get a primary.

mod control_world;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use control_world::{ControlWorld, departure_of, instance, schedule_count};
use hawthornstack_decisions::{
    clock::Moment,
    control_role::{ControlEvent, EntryHello, EntryReport},
    identity::HostId,
    instances::{InstanceKey, InstanceRecord, InstanceRole},
    primaries::ServiceTerm,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of schedules, unless `HAWTHORNSTACK_SCHEDULES` sets another one.
const SCHEDULES: u64 = 60;
const STEPS: u32 = 1_200;
const STEP: Duration = Duration::from_millis(50);
const DRAIN_PERIOD: Duration = Duration::from_secs(7);
/// Steps between two announcements of a database: 1.2 s.
const ANNOUNCEMENT_STEPS: u32 = 24;
/// Time for which a database goes on after its drain period.
const LEAVE_DELAY: Duration = Duration::from_secs(3);
/// Time for which a former primary that cannot reach the next one does not notice it.
const DEMOTION_DELAY: Duration = Duration::from_secs(8);
/// Time in which a service gets a primary once nothing fails any more: a lease, the wait for
/// silent databases to be forgotten, and some attempts.
const RECOVERY_TIME: Duration = Duration::from_secs(25);
const ENTRIES: [HostId; 2] = [HostId(101), HostId(102)];

/// A database as the schedule sees it, beside its record in the world.
#[derive(Debug, Clone)]
struct Database {
    record: InstanceRecord,
    draining_since: Option<Moment>,
    /// When a crashed database returns; `None` while it runs.
    returns_at: Option<Moment>,
    superseded_at: Option<Moment>,
}

struct ScheduleRun {
    seed: u64,
    rng: ChaCha8Rng,
    world: ControlWorld,
    databases: BTreeMap<Arc<str>, Database>,
    boots: BTreeMap<HostId, Moment>,
    next_id: u64,
    step: u32,
    /// Last term of the service that was seen, and since when there is a leader.
    seen: Option<(HostId, ServiceTerm)>,
    leader_since: (Option<HostId>, Moment),
}

impl ScheduleRun {
    fn new(seed: u64) -> Self {
        let mut world = ControlWorld::start(3);
        world.run(Duration::from_secs(3));
        assert!(world.replace(5, Duration::from_secs(1)));
        world.promotion_time = Duration::from_millis(300);
        let leader_since = (world.leader(), world.now);
        let mut run = Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            world,
            databases: BTreeMap::new(),
            boots: BTreeMap::new(),
            next_id: 0,
            step: 0,
            seen: None,
            leader_since,
        };
        for role in [InstanceRole::Primary, InstanceRole::Replica, InstanceRole::Replica] {
            run.add_database(role);
        }
        run
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    fn add_database(&mut self, role: InstanceRole) {
        self.next_id += 1;
        let record = instance(&format!("i{}", self.next_id), self.next_id, role);
        let address = ([10, 0, 0, 9], 9_000 + self.next_id as u16).into();
        let record = InstanceRecord { address, ..record };
        let id = record.key.id.clone();
        let database =
            Database { record, draining_since: None, returns_at: None, superseded_at: None };
        let newest = self.newest_term();
        self.world.database_terms.insert(id.clone(), newest);
        self.databases.insert(id.clone(), database);
        self.announce(&id);
    }

    fn newest_term(&self) -> u64 {
        self.world.database_terms.values().max().copied().unwrap_or(1)
    }

    fn control_host(&mut self) -> Option<HostId> {
        let alive: Vec<HostId> =
            (1..=3).map(HostId).filter(|host| self.world.host(*host).is_some()).collect();
        (!alive.is_empty()).then(|| alive[self.rng.random_range(0..alive.len())])
    }

    /// Announces a running database to any control host, with the role that it has.
    fn announce(&mut self, id: &Arc<str>) {
        let Some(host) = self.control_host() else {
            return;
        };
        let database = self.databases.get_mut(id).unwrap();
        if let Some(known) = self.world.instances.get(id) {
            database.record.role = known.role;
        }
        database.record.sequence += 1;
        database.record.draining = database.draining_since.is_some();
        let record = database.record.clone();
        self.world.announce(host, &record);
    }

    fn crash(&mut self, id: &Arc<str>) {
        let time = Duration::from_millis(self.rng.random_range(500..8_000));
        self.databases.get_mut(id).unwrap().returns_at = Some(self.world.now + time);
        self.world.instances.remove(id);
    }

    fn inject_fault(&mut self) {
        let running: Vec<Arc<str>> = self.world.instances.keys().cloned().collect();
        let picked =
            (!running.is_empty()).then(|| running[self.rng.random_range(0..running.len())].clone());
        match (self.rng.random_range(0..8), picked) {
            (0..=2, Some(id)) if self.databases[&id].draining_since.is_none() => {
                self.databases.get_mut(&id).unwrap().draining_since = Some(self.world.now);
                self.announce(&id);
            }
            (3, Some(id)) => self.crash(&id),
            (4, _) => running.iter().for_each(|id| self.crash(id)),
            (5 | 6, _) if self.databases.len() < 4 => self.add_database(InstanceRole::Replica),
            (7, _) if self.boots.is_empty() => {
                if let Some(host) = self.control_host() {
                    let time = Duration::from_millis(self.rng.random_range(200..4_000));
                    self.world.kill(host);
                    self.boots.insert(host, self.world.now + time);
                }
            }
            _ => {}
        }
    }

    /// Lets time pass for databases: they return, notice a newer primary, leave.
    fn advance_databases(&mut self) {
        let (now, newest) = (self.world.now, self.newest_term());
        for id in self.databases.keys().cloned().collect::<Vec<_>>() {
            let mut database = self.databases[&id].clone();
            let term = self.world.database_terms[&id];
            if database.returns_at.is_some_and(|at| at <= now) {
                database.returns_at = None;
                if term < newest {
                    database.record.role = InstanceRole::Replica;
                }
                self.databases.insert(id.clone(), database.clone());
                self.announce(&id);
            }
            let leaves_at = database.draining_since.map(|at| at + DRAIN_PERIOD + LEAVE_DELAY);
            if leaves_at.is_some_and(|at| at <= now) {
                self.databases.remove(&id);
                self.world.instances.remove(&id);
                if let Some(host) = self.control_host() {
                    let departure = departure_of(&database.record);
                    self.world.handle_event(host, ControlEvent::Departed(departure));
                }
                continue;
            }
            let Some(known) = self.world.instances.get_mut(&id) else {
                continue;
            };
            if known.role == InstanceRole::Replica {
                self.world.database_terms.insert(id.clone(), newest);
                database.superseded_at = None;
            } else if term < newest {
                let since = *database.superseded_at.get_or_insert(now);
                if now.since(since) >= DEMOTION_DELAY {
                    known.role = InstanceRole::Replica;
                    self.databases.insert(id.clone(), database);
                    self.announce(&id);
                    continue;
                }
            }
            self.databases.insert(id, database);
        }
    }

    /// Entry hosts renew their leases and report primaries that do not answer.
    fn advance_entries(&mut self) {
        let Some(leader) = self.world.leader() else {
            return;
        };
        for entry in ENTRIES {
            self.world.renew_lease(leader, entry);
            let Some(term) = self.term(leader).filter(ServiceTerm::is_steady) else {
                continue;
            };
            let reachable = self.world.instances.contains_key(&term.primary.id);
            let report = EntryReport::PrimaryReachable {
                service: term.service,
                number: term.number,
                reachable,
            };
            self.world.handle_event(leader, ControlEvent::Entry(entry, report));
        }
    }

    fn term(&self, leader: HostId) -> Option<ServiceTerm> {
        self.world.host(leader)?.control().terms.get("books").cloned()
    }

    fn advance(&mut self, faults: bool) {
        self.step += 1;
        if faults && self.chance(30) {
            self.inject_fault();
        }
        let due: Vec<HostId> =
            self.boots.iter().filter(|(_, at)| **at <= self.world.now).map(|(h, _)| *h).collect();
        for host in due {
            self.boots.remove(&host);
            self.world.boot(host, false);
            for entry in ENTRIES {
                self.world
                    .handle_event(host, ControlEvent::EntryLinked(entry, EntryHello::default()));
            }
        }
        self.advance_databases();
        if self.step.is_multiple_of(ANNOUNCEMENT_STEPS) {
            let running: Vec<Arc<str>> = self.world.instances.keys().cloned().collect();
            running.iter().for_each(|id| self.announce(id));
        }
        if self.step.is_multiple_of(5) {
            self.advance_entries();
        }
        let mut left = STEP;
        // Terms are checked at short intervals, so that each beginning is seen.
        while !left.is_zero() {
            let time = left.min(Duration::from_millis(5));
            self.world.run(time);
            left -= time;
            self.check();
        }
    }

    fn check(&mut self) {
        let leader = self.world.leader();
        if leader != self.leader_since.0 {
            self.leader_since = (leader, self.world.now);
        }
        let Some((leader, term)) = leader.and_then(|host| Some((host, self.term(host)?))) else {
            return;
        };
        let began = match &self.seen {
            Some((_, seen)) => seen.number < term.number,
            None => true,
        };
        if term.is_steady() && began {
            let led = self.world.database_terms.get(&term.primary.id).copied().unwrap_or(0);
            assert_eq!(led, self.newest_term(), "seed {}: {term:?} began early", self.seed);
        }
        if term.is_steady() {
            self.check_drain(&term.primary);
        }
        self.seen = Some((leader, term));
    }

    /// A new leader needs a moment to end the term of a drained primary.
    fn check_drain(&self, primary: &InstanceKey) {
        let settled = self.world.now.since(self.leader_since.1) >= Duration::from_secs(1);
        let draining_since = self.databases.get(&primary.id).and_then(|d| d.draining_since);
        if let Some(since) = draining_since.filter(|_| settled) {
            let drained = self.world.now.since(since);
            assert!(
                drained <= DRAIN_PERIOD,
                "seed {}: {primary} is used {drained:?} after it began to drain",
                self.seed
            );
        }
    }

    /// Ends all faults, adds a database and waits for a primary that stays.
    fn finish(mut self) {
        let now = self.world.now;
        self.databases.values_mut().for_each(|d| d.returns_at = d.returns_at.map(|_| now));
        self.boots.values_mut().for_each(|at| *at = now);
        self.add_database(InstanceRole::Replica);
        let end = now + RECOVERY_TIME;
        while self.world.now < end {
            self.advance(false);
        }
        let leader = self.world.leader().expect("a leader");
        let term = self.term(leader).expect("a term");
        assert!(term.is_steady(), "seed {}: {term:?}", self.seed);
        assert!(
            self.world.instances.contains_key(&term.primary.id),
            "seed {}: {term:?} has a primary that is gone",
            self.seed
        );
    }
}

/// Compounds of drains, crashes of one or all databases, releases and failed control hosts must
/// not break the drain period, start a term early or leave a service without a primary.
#[test]
fn drains_and_crashes_in_seeded_schedules() {
    let schedules = schedule_count(SCHEDULES);
    for seed in 0..schedules {
        let mut run = ScheduleRun::new(seed);
        for entry in ENTRIES {
            for host in [1, 2, 3] {
                run.world.handle_event(
                    HostId(host),
                    ControlEvent::EntryLinked(entry, EntryHello::default()),
                );
            }
        }
        for _ in 0..STEPS {
            run.advance(true);
        }
        run.finish();
    }
}
