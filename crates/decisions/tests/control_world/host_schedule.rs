use std::{collections::BTreeSet, time::Duration};

use hawthornstack_decisions::identity::HostId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::ControlWorld;

/// Control hosts of a seeded schedule that starts, restarts and removes them.
pub struct HostSchedule {
    pub seed: u64,
    pub rng: ChaCha8Rng,
    pub world: ControlWorld,
    /// Disks that may be lost at once.
    pub tolerated: usize,
    /// Hosts that stay, all running but during a restart.
    pub hosts: BTreeSet<HostId>,
    pub next_host: u32,
    /// Newest version of the configuration.
    pub version: u64,
}

impl HostSchedule {
    /// Starts `count` hosts and leaves them the time to elect a leader.
    pub fn new(seed: u64, count: u32) -> Self {
        let mut world = ControlWorld::start(count);
        world.run(Duration::from_secs(3));
        Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            world,
            tolerated: count as usize / 2,
            hosts: (1..=count).map(HostId).collect(),
            next_host: count + 1,
            version: 5,
        }
    }

    pub fn run_for(&mut self, from_ms: u64, to_ms: u64) {
        let time = Duration::from_millis(self.rng.random_range(from_ms..to_ms));
        self.world.run(time);
    }

    pub fn pick_host(&mut self) -> HostId {
        let hosts: Vec<HostId> = self.hosts.iter().copied().collect();
        hosts[self.rng.random_range(0..hosts.len())]
    }

    /// Draws as many hosts as losses must be borne; some may be the same.
    pub fn pick_lost_hosts(&mut self) -> BTreeSet<HostId> {
        (0..self.tolerated).map(|_| self.pick_host()).collect()
    }

    pub fn start_new_host(&mut self) {
        // Settings name hosts that run when they are written.
        self.world.set_seeds(self.hosts.iter().copied().take(3).collect());
        let host = HostId(self.next_host);
        self.next_host += 1;
        self.world.boot(host, false);
        self.hosts.insert(host);
    }
}
