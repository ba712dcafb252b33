//! Control hosts under overlapping faults from seeded schedules: kills,
//! freezes, one-way cuts, slow and stalling disks, and one lost disk at a time.
//! Acknowledged configurations must survive, reads must not return older ones,
//! and no two hosts may lead at the same time.

mod control_world;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use control_world::{ControlWorld, schedule_count, table};
use hawthornstack_decisions::{
    clock::Moment,
    control_role::{OperatorOrder, OrderAnswer},
    identity::HostId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of schedules, unless `HAWTHORNSTACK_SCHEDULES` sets another one.
const SCHEDULES: u64 = 150;
/// Number of faults and orders in one schedule.
const ACTIONS: u32 = 60;
/// Time in which a replaced or restarted host catches up, as the users require.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
const HOSTS: u32 = 3;
/// Default duration of a sync in `ControlWorld`.
const SYNC_TIME: Duration = Duration::from_millis(1);

/// End of a fault, scheduled when the fault begins.
#[derive(Debug, Clone, Copy)]
enum FaultEnd {
    Boot(HostId),
    Unfreeze(HostId),
    Reconnect(HostId, HostId),
    RestoreDisk(HostId),
}

struct FaultRun {
    seed: u64,
    rng: ChaCha8Rng,
    world: ControlWorld,
    ends: BTreeMap<(Moment, u32), FaultEnd>,
    count: u32,
    /// Time before which no disk may be wiped.
    wipe_after: Moment,
    version: u64,
    acknowledged: u64,
    /// Versions of unanswered orders, by ticket.
    orders: BTreeMap<u64, u64>,
    /// Oldest versions that unanswered reads may return, by ticket.
    reads: BTreeMap<u64, u64>,
}

impl FaultRun {
    fn new(seed: u64) -> Self {
        let mut world = ControlWorld::start(HOSTS);
        world.run(Duration::from_secs(3));
        Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            wipe_after: world.now,
            world,
            ends: BTreeMap::new(),
            count: 0,
            version: 0,
            acknowledged: 0,
            orders: BTreeMap::new(),
            reads: BTreeMap::new(),
        }
    }

    fn pick_host(&mut self) -> HostId {
        HostId(self.rng.random_range(1..=HOSTS))
    }

    fn pick_time(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(1..=max_ms))
    }

    fn schedule_end(&mut self, max_ms: u64, end: FaultEnd) {
        let at = self.world.now + self.pick_time(max_ms);
        self.count += 1;
        self.ends.insert((at, self.count), end);
    }

    fn inject_action(&mut self) {
        let host = self.pick_host();
        let running = self.world.host(host).is_some();
        match self.rng.random_range(0..10) {
            0 if running => {
                self.world.kill(host);
                self.schedule_end(3_000, FaultEnd::Boot(host));
            }
            1 if running && self.may_wipe() => {
                self.world.wipe(host);
                self.wipe_after = self.world.now + 3 * CATCH_UP_TIME;
                self.schedule_end(2_000, FaultEnd::Boot(host));
            }
            2 if running => self.freeze(host),
            3 => {
                let other = self.pick_host();
                self.world.cut_links.insert((host, other));
                self.schedule_end(3_000, FaultEnd::Reconnect(host, other));
            }
            4 => {
                let sync_time = self.pick_time(1_500);
                self.set_sync_time(host, sync_time);
                self.schedule_end(3_000, FaultEnd::RestoreDisk(host));
            }
            5 | 6 => {
                let order = OperatorOrder::ReadRoutes;
                let ticket = self.world.order(host, order);
                self.reads.insert(ticket, self.acknowledged);
            }
            _ => {
                self.version += self.rng.random_range(1..4);
                let table = Arc::new(table(self.version));
                let to = self.world.leader().unwrap_or(host);
                let order = OperatorOrder::ReplaceRoutes { table, at_unix_ms: 0 };
                let ticket = self.world.order(to, order);
                self.orders.insert(ticket, self.version);
            }
        }
    }

    /// The loss of one disk is tolerated while all other hosts run without
    /// faults and have caught up.
    fn may_wipe(&self) -> bool {
        self.world.now >= self.wipe_after
            && self.ends.is_empty()
            && (1..=HOSTS).all(|id| self.world.host(HostId(id)).is_some())
    }

    fn freeze(&mut self, host: HostId) {
        if let Some(host) = self.world.hosts.get_mut(&host) {
            host.frozen = true;
        }
        self.schedule_end(3_000, FaultEnd::Unfreeze(host));
    }

    fn set_sync_time(&mut self, host: HostId, sync_time: Duration) {
        if let Some(host) = self.world.hosts.get_mut(&host) {
            host.sync_time = sync_time;
        }
    }

    fn end_fault(&mut self, end: FaultEnd) {
        match end {
            FaultEnd::Boot(host) if self.world.host(host).is_none() => {
                self.world.boot(host, false);
                // A host that has just started has not caught up yet.
                self.wipe_after = self.wipe_after.max(self.world.now + CATCH_UP_TIME);
            }
            FaultEnd::Boot(_) => {}
            FaultEnd::Unfreeze(host) => {
                if let Some(host) = self.world.hosts.get_mut(&host) {
                    host.frozen = false;
                }
                self.wipe_after = self.wipe_after.max(self.world.now + CATCH_UP_TIME);
            }
            FaultEnd::Reconnect(from, to) => {
                self.world.cut_links.remove(&(from, to));
                self.wipe_after = self.wipe_after.max(self.world.now + CATCH_UP_TIME);
            }
            FaultEnd::RestoreDisk(host) => self.set_sync_time(host, SYNC_TIME),
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.world.now + time;
        while self.world.now < until {
            self.world.run(Duration::from_millis(10));
            while let Some(((at, _), end)) = self.ends.pop_first() {
                if at > self.world.now {
                    self.count += 1;
                    self.ends.insert((at, self.count), end);
                    break;
                }
                self.end_fault(end);
            }
            self.check_invariants();
        }
    }

    fn check_invariants(&mut self) {
        let seed = self.seed;
        let now = self.world.now;
        let leaders: Vec<HostId> = self.world.leaders().collect();
        assert!(leaders.len() <= 1, "seed {seed}: {leaders:?} lead at {now:?}");
        for (ticket, answer) in std::mem::take(&mut self.world.answers) {
            let (order, read) = (self.orders.remove(&ticket), self.reads.remove(&ticket));
            match (answer, order, read) {
                (OrderAnswer::Accepted { version }, Some(asked), _) => {
                    assert!(version >= asked, "seed {seed}: {version} acknowledged for {asked}");
                    self.acknowledged = self.acknowledged.max(asked);
                }
                (OrderAnswer::Routes(shown), _, Some(least)) => {
                    let version = shown.version;
                    assert!(version >= least, "seed {seed}: read {version}, {least} acknowledged");
                }
                (OrderAnswer::NoRoutes, _, Some(least)) => {
                    assert_eq!(least, 0, "seed {seed}: nothing read, {least} acknowledged");
                }
                _ => {}
            }
        }
    }

    /// Ends all faults, reads the configuration back and returns the newest
    /// acknowledged version.
    fn finish(&mut self) -> u64 {
        while let Some((_, end)) = self.ends.pop_first() {
            self.end_fault(end);
        }
        self.run(3 * CATCH_UP_TIME);
        let seed = self.seed;
        let leader = self.world.leader();
        let leader = leader.unwrap_or_else(|| panic!("seed {seed}: no leader after all is healed"));
        let ticket = self.world.order(leader, OperatorOrder::ReadRoutes);
        self.reads.insert(ticket, self.acknowledged);
        self.run(Duration::from_millis(100));
        assert!(!self.reads.contains_key(&ticket), "seed {seed}: the last read has no answer");
        self.acknowledged
    }
}

#[test]
fn acknowledged_configurations_survive_overlapping_faults() {
    let schedules = schedule_count(SCHEDULES);
    let mut acknowledged = 0;
    for seed in 0..schedules {
        let mut faults = FaultRun::new(seed);
        for _ in 0..ACTIONS {
            faults.inject_action();
            let pause = faults.pick_time(400);
            faults.run(pause);
        }
        acknowledged += u64::from(faults.finish() > 0);
    }
    // A schedule in which nothing is acknowledged tests nothing.
    assert!(acknowledged * 10 > schedules * 9, "{acknowledged} of {schedules}");
}
