//! Commits that are acknowledged once replicas have them, from seeded schedules of
//! databases that drain, leave, crash, join and receive nothing for a while, in any order,
//! while control hosts stop and start.

mod control_world;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use control_world::{ControlWorld, departure_of, instance, schedule_count};
use hawthornstack_decisions::{
    clock::Moment,
    control_role::{ControlEvent, EntryHello, EntryReport},
    identity::HostId,
    instances::{InstanceRecord, InstanceRole},
    positions::LogPosition,
    primaries::ServiceTerm,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of schedules, unless `HAWTHORNSTACK_SCHEDULES` sets another one.
const SCHEDULES: u64 = 80;
/// Length of a schedule.
const SCHEDULE_TIME: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(5);
/// Interval of a database's announcements.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Interval of an entry host's renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);
/// Time from a commit to its receipt by replicas.
const REPLICATION_LAG: Duration = Duration::from_millis(40);
/// Time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
const DRAIN_PERIOD: Duration = Duration::from_secs(7);
/// Longest time for which a database goes on after its drain period.
const MAX_LEAVE_DELAY_MS: u64 = 6_000;
/// Time in which a service gets a primary that stays once all databases are back: a lease,
/// the wait for silent databases to be forgotten, and some attempts.
const RECOVERY_TIME: Duration = Duration::from_secs(25);
/// Time in which a change of primary ends while a replica that stays holds all commits.
const CHANGE_TIME: Duration = Duration::from_secs(12);
const ENTRY: HostId = HostId(101);
const CONTROL: [HostId; 3] = [HostId(1), HostId(2), HostId(3)];

#[derive(Debug, Clone)]
struct Database {
    record: InstanceRecord,
    /// Terms and numbers of the commits in its log.
    log: Vec<(u64, u64)>,
    draining_since: Option<Moment>,
    leaves_at: Option<Moment>,
    /// Time until which it receives nothing.
    deaf_until: Option<Moment>,
    /// Time at which it returns after a crash; `None` while it runs.
    returns_at: Option<Moment>,
    /// It returns as a new start under its id.
    restarts: bool,
    announced_at: Moment,
}

impl Database {
    fn holds(&self, entry: &(u64, u64)) -> bool {
        self.log.binary_search(entry).is_ok()
    }

    fn log_end(&self) -> LogPosition {
        let term = self.log.last().map_or(0, |(term, _)| *term);
        LogPosition::new(term, self.log.len() as u64)
    }
}

/// Number of entries at the start that two logs share.
fn common_length(log: &[(u64, u64)], other: &[(u64, u64)]) -> usize {
    let shorter = log.len().min(other.len());
    if shorter == 0 || log[shorter - 1] == other[shorter - 1] {
        return shorter;
    }
    log.iter().zip(other).take_while(|(a, b)| a == b).count()
}

struct CommitSchedule {
    seed: u64,
    sync_replicas: usize,
    rng: ChaCha8Rng,
    world: ControlWorld,
    databases: BTreeMap<Arc<str>, Database>,
    /// Commits with the time at which the primary wrote them, and the service's term.
    commits: BTreeMap<u64, (Moment, u64)>,
    acknowledged: BTreeSet<u64>,
    control_returns: BTreeMap<HostId, Moment>,
    next_number: u64,
    /// The database that was promoted last, and the term that it leads.
    leader: Arc<str>,
    led_term: u64,
    primary_drains: u32,
    /// Time since which a change of primary could have ended.
    may_end_since: Option<Moment>,
}

impl CommitSchedule {
    fn new(seed: u64, count: u32, sync_replicas: u32) -> Self {
        let mut world = ControlWorld::start(3);
        world.run(Duration::from_secs(3));
        world.sync_replicas = sync_replicas;
        assert!(world.replace(5, Duration::from_secs(1)));
        world.promotion_time = Duration::from_millis(300);
        let mut schedule = Self {
            seed,
            sync_replicas: sync_replicas as usize,
            rng: ChaCha8Rng::seed_from_u64(seed),
            world,
            databases: BTreeMap::new(),
            commits: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            control_returns: BTreeMap::new(),
            next_number: 0,
            leader: Arc::from("i1"),
            led_term: 1,
            primary_drains: 0,
            may_end_since: None,
        };
        for host in CONTROL {
            schedule
                .world
                .handle_event(host, ControlEvent::EntryLinked(ENTRY, EntryHello::default()));
        }
        schedule.add_database(InstanceRole::Primary, None);
        for _ in 1..count {
            schedule.add_database(InstanceRole::Replica, None);
        }
        schedule
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    fn milliseconds(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    /// Time of day in milliseconds.
    fn unix_ms(&self) -> u64 {
        self.world.now.as_micros() / 1_000
    }

    /// Adds a database without a log, or one that takes over the log and the address of a
    /// database that has left.
    fn add_database(&mut self, role: InstanceRole, former: Option<Database>) -> Arc<str> {
        self.next_number += 1;
        let number = self.next_number;
        let address = ([10, 0, 0, 9], 9_000 + number as u16).into();
        let address = former.as_ref().map_or(address, |former| former.record.address);
        let id = format!("i{number}");
        let record = InstanceRecord { address, ..instance(&id, self.unix_ms(), role) };
        let id = record.key.id.clone();
        let database = Database {
            record,
            log: former.map_or(Vec::new(), |former| former.log),
            draining_since: None,
            leaves_at: None,
            deaf_until: None,
            returns_at: None,
            restarts: false,
            announced_at: self.world.now,
        };
        self.world.database_terms.insert(id.clone(), self.led_term);
        self.world.log_ends.insert(id.clone(), database.log_end());
        self.databases.insert(id.clone(), database);
        self.announce(&id);
        id
    }

    fn running(&self) -> Vec<Arc<str>> {
        let running = self.databases.iter().filter(|(_, database)| database.returns_at.is_none());
        running.map(|(id, _)| id.clone()).collect()
    }

    fn announce(&mut self, id: &Arc<str>) {
        let alive: Vec<HostId> =
            CONTROL.into_iter().filter(|host| self.world.host(*host).is_some()).collect();
        let database = self.databases.get_mut(id).unwrap();
        database.announced_at = self.world.now;
        if let Some(known) = self.world.instances.get(id) {
            database.record.role = known.role;
        }
        database.record.sequence += 1;
        database.record.draining = database.draining_since.is_some();
        let record = database.record.clone();
        match alive.is_empty() {
            true => {
                self.world.instances.insert(id.clone(), record);
            }
            false => {
                let host = alive[self.rng.random_range(0..alive.len())];
                self.world.announce(host, &record);
            }
        }
    }

    /// The term in the view of the leader's clients.
    fn term(&self) -> Option<ServiceTerm> {
        let leader = self.world.leader()?;
        self.world.host(leader)?.control().terms.get("books").cloned()
    }

    /// The running database that leads the highest term.
    fn primary(&self) -> Option<Arc<str>> {
        self.running().into_iter().find(|id| *id == self.leader)
    }

    fn inject_fault(&mut self) {
        let running = self.running();
        if running.is_empty() {
            return;
        }
        let now = self.world.now;
        let id = running[self.rng.random_range(0..running.len())].clone();
        match self.rng.random_range(0..10) {
            0..=2 if self.databases[&id].draining_since.is_none() => {
                let delay = self.milliseconds(0, MAX_LEAVE_DELAY_MS);
                let database = self.databases.get_mut(&id).unwrap();
                database.draining_since = Some(now);
                database.leaves_at = Some(now + DRAIN_PERIOD + delay);
                self.primary_drains += u32::from(self.primary().as_ref() == Some(&id));
                self.announce(&id);
            }
            3..=5 => {
                let time = self.milliseconds(1_000, 12_000);
                self.databases.get_mut(&id).unwrap().deaf_until = Some(now + time);
            }
            6 => {
                let time = self.milliseconds(500, 8_000);
                let (restarts, loses_log) = (self.chance(2), self.chance(2));
                let database = self.databases.get_mut(&id).unwrap();
                database.returns_at = Some(now + time);
                database.restarts = restarts;
                // The leader has all commits: a primary comes back with its log.
                if restarts && loses_log && id != self.leader {
                    database.log.clear();
                }
                self.world.instances.remove(&id);
            }
            7 if self.databases.len() < 5 => {
                self.add_database(InstanceRole::Replica, None);
            }
            8 | 9 => {
                let host = CONTROL[self.rng.random_range(0..CONTROL.len())];
                if self.world.host(host).is_some() && self.control_returns.is_empty() {
                    let time = self.milliseconds(200, 4_000);
                    self.world.kill(host);
                    self.control_returns.insert(host, now + time);
                }
            }
            _ => {}
        }
    }

    fn restart_control(&mut self) {
        let now = self.world.now;
        let due: Vec<HostId> =
            self.control_returns.iter().filter(|(_, at)| **at <= now).map(|(h, _)| *h).collect();
        for host in due {
            self.control_returns.remove(&host);
            self.world.boot(host, false);
            let event = ControlEvent::EntryLinked(ENTRY, EntryHello::default());
            self.world.handle_event(host, event);
        }
    }

    /// Lets time pass for databases: they return, announce themselves, leave.
    fn advance_databases(&mut self) {
        let now = self.world.now;
        for id in self.databases.keys().cloned().collect::<Vec<_>>() {
            let database = self.databases.get_mut(&id).unwrap();
            if database.deaf_until.is_some_and(|at| at <= now) {
                database.deaf_until = None;
            }
            if database.returns_at.is_some_and(|at| at <= now) {
                database.returns_at = None;
                if database.restarts {
                    database.record.key.born_ms = now.as_micros() / 1_000;
                    database.record.sequence = 0;
                    database.draining_since = None;
                    database.leaves_at = None;
                }
                database.record.role = match id == self.leader {
                    true => InstanceRole::Primary,
                    false => InstanceRole::Replica,
                };
                self.announce(&id);
            } else if database.returns_at.is_none()
                && now.since(database.announced_at) >= ANNOUNCEMENT_INTERVAL
            {
                self.announce(&id);
            }
            let database = &self.databases[&id];
            if database.returns_at.is_none() && database.leaves_at.is_some_and(|at| at <= now) {
                self.replace_database(&id);
            }
        }
    }

    /// A database leaves, and another one starts at its address with its log.
    fn replace_database(&mut self, id: &Arc<str>) {
        let Some(former) = self.databases.remove(id) else {
            return;
        };
        self.world.instances.remove(id);
        if let Some(host) = CONTROL.into_iter().find(|host| self.world.host(*host).is_some()) {
            let departure = departure_of(&former.record);
            self.world.handle_event(host, ControlEvent::Departed(departure));
        }
        let role = match *id == self.leader {
            true => InstanceRole::Primary,
            false => InstanceRole::Replica,
        };
        let new = self.add_database(role, Some(former));
        if role == InstanceRole::Primary {
            self.leader = new;
        }
    }

    /// Moves commits from the primary to the replicas and acknowledges those that enough
    /// of them have.
    fn replicate(&mut self) {
        let now = self.world.now;
        let Some(primary) = self.primary() else {
            return;
        };
        let log = self.databases[&primary].log.clone();
        for id in self.running().into_iter().filter(|id| *id != primary) {
            let database = self.databases.get_mut(&id).unwrap();
            if database.deaf_until.is_some() {
                continue;
            }
            let same = common_length(&database.log, &log);
            database.log.truncate(same);
            let sent = log[same..].iter().take_while(|(_, number)| {
                self.commits.get(number).is_some_and(|(at, _)| now.since(*at) >= REPLICATION_LAG)
            });
            database.log.extend(sent);
            self.world.database_terms.insert(id.clone(), self.led_term);
            if let Some(record) = self.world.instances.get_mut(&id) {
                record.role = InstanceRole::Replica;
            }
        }
        // An answer that arrives after the end of its term is in doubt.
        let Some(term) = self.term().filter(ServiceTerm::is_steady) else {
            return;
        };
        let replicas: Vec<&Database> = self
            .running()
            .iter()
            .filter(|id| **id != primary)
            .map(|id| &self.databases[id])
            .collect();
        let unacknowledged =
            log.iter().rev().take_while(|(_, number)| !self.acknowledged.contains(number));
        let received: Vec<u64> = unacknowledged
            .filter(|(_, number)| self.commits[number].1 == term.number)
            .filter(|entry| {
                let holders = replicas.iter().filter(|replica| replica.holds(entry));
                holders.count() >= self.sync_replicas
            })
            .map(|(_, number)| *number)
            .collect();
        self.acknowledged.extend(received);
    }

    /// Writes at the primary if the service's term lets callers do so.
    fn write(&mut self) {
        let Some(term) = self.term().filter(ServiceTerm::is_steady) else {
            return;
        };
        if self.primary().as_ref() != Some(&term.primary.id) {
            return;
        }
        let number = self.commits.len() as u64 + 1;
        self.commits.insert(number, (self.world.now, term.number));
        let database = self.databases.get_mut(&term.primary.id).unwrap();
        database.log.push((self.led_term, number));
    }

    fn renew_entry(&mut self) {
        let Some(leader) = self.world.leader() else {
            return;
        };
        self.world.renew_lease(leader, ENTRY);
        if let Some(term) = self.term().filter(ServiceTerm::is_steady) {
            let reachable = self.world.instances.contains_key(&term.primary.id);
            let (service, number) = (term.service, term.number);
            let report = EntryReport::PrimaryReachable { service, number, reachable };
            self.world.handle_event(leader, ControlEvent::Entry(ENTRY, report));
        }
    }

    fn advance(&mut self, step: u32, faults: bool) {
        if faults && step.is_multiple_of(20) && self.chance(12) {
            self.inject_fault();
        }
        self.restart_control();
        self.advance_databases();
        if (STEP * step).as_millis().is_multiple_of(RENEWAL_INTERVAL.as_millis()) {
            self.renew_entry();
        }
        if (STEP * step).as_millis().is_multiple_of(WRITE_INTERVAL.as_millis()) {
            self.write();
        }
        self.replicate();
        for (id, database) in &self.databases {
            self.world.log_ends.insert(id.clone(), database.log_end());
        }
        self.world.run(STEP);
        self.check_promotion();
        self.check_term();
        self.check_change();
    }

    /// A change of primary must end once a replica that does not drain holds all that the
    /// primary has.
    fn check_change(&mut self) {
        let now = self.world.now;
        let changes = self.term().is_some_and(|term| !term.is_steady());
        let complete = self.primary().is_some_and(|primary| {
            let length = self.databases[&primary].log.len();
            self.running().iter().map(|id| &self.databases[id]).any(|database| {
                database.draining_since.is_none()
                    && database.record.key.id != primary
                    && database.log.len() == length
            })
        });
        if !(changes && complete) {
            self.may_end_since = None;
            return;
        }
        let waited = now.since(*self.may_end_since.get_or_insert(now));
        assert!(waited <= CHANGE_TIME, "seed {}: the change does not end", self.seed);
    }

    /// The database that was promoted must hold every acknowledged commit.
    fn check_promotion(&mut self) {
        let newest = self.world.database_terms.values().max().copied().unwrap_or(1);
        if newest == self.led_term {
            return;
        }
        self.led_term = newest;
        let id = self.world.database_terms.iter().find(|(_, term)| **term == newest);
        let (id, _) = id.expect("a database that leads");
        self.leader = id.clone();
        let held: BTreeSet<u64> = self.databases[id].log.iter().map(|(_, n)| *n).collect();
        let lost: Vec<u64> = self.acknowledged.difference(&held).copied().collect();
        assert!(lost.is_empty(), "seed {}: {id} was promoted without {lost:?}", self.seed);
    }

    /// No term may begin, or go on, at a database whose drain period is over.
    fn check_term(&mut self) {
        let Some(term) = self.term().filter(ServiceTerm::is_steady) else {
            return;
        };
        let database = self.databases.get(&term.primary.id);
        let since = database.and_then(|database| database.draining_since);
        if let Some(since) = since {
            let drained = self.world.now.since(since);
            assert!(
                drained <= DRAIN_PERIOD,
                "seed {}: {} is used {drained:?} after it began to drain",
                self.seed,
                term.primary
            );
        }
    }

    /// Ends all faults and waits for a primary that stays.
    fn finish(mut self) -> u32 {
        let now = self.world.now;
        for database in self.databases.values_mut() {
            database.returns_at = database.returns_at.map(|_| now);
            database.deaf_until = None;
        }
        self.control_returns.values_mut().for_each(|at| *at = now);
        self.restart_control();
        self.add_database(InstanceRole::Replica, None);
        let steps = (RECOVERY_TIME.as_millis() / STEP.as_millis()) as u32;
        (0..steps).for_each(|step| self.advance(step, false));
        let term = self.term().expect("a term");
        assert!(term.is_steady(), "seed {}: {term:?}", self.seed);
        assert_eq!(self.primary(), Some(term.primary.id.clone()), "seed {}: {term:?}", self.seed);
        assert!(self.acknowledged.len() > 200, "seed {}: too few commits", self.seed);
        self.primary_drains
    }
}

/// A promotion must not lose acknowledged commits, whichever databases drain, leave, crash or
/// receive nothing, and in which order; drained databases get no work, and each change ends.
#[test]
fn acknowledged_commits_survive_seeded_schedules() {
    let schedules = schedule_count(SCHEDULES);
    let mut primary_drains = 0;
    for seed in 0..schedules {
        let (count, sync_replicas) = match seed % 4 {
            0 | 1 => (3, 1),
            2 => (4, 1),
            _ => (5, 2),
        };
        let mut schedule = CommitSchedule::new(seed, count, sync_replicas);
        let steps = (SCHEDULE_TIME.as_millis() / STEP.as_millis()) as u32;
        (0..steps).for_each(|step| schedule.advance(step, true));
        primary_drains += schedule.finish();
    }
    assert!(primary_drains as u64 > schedules / 2, "too few planned changes");
}
