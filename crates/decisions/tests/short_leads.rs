//! Control hosts that are replaced and lose a disk while their processes start again so often
//! that no host leads for long.

mod control_world;

use std::{collections::BTreeSet, time::Duration};

use control_world::{ControlWorld, HostSchedule, schedule_count};
use hawthornstack_decisions::{
    clock::Moment,
    control_role::{OperatorOrder, OrderAnswer},
    identity::HostId,
};
use rand::RngExt;

/// Number of schedules, unless `HAWTHORNSTACK_SCHEDULES` sets another one.
const SCHEDULES: u64 = 300;
/// Replacements in one schedule, each with lost disks after it.
const ROUNDS: u32 = 4;
/// Most hosts that are replaced in one round.
const MAX_REPLACED: u32 = 2;
const SECOND: Duration = Duration::from_secs(1);
/// Time for which a host that has started still counts as lost, as the users state.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Time in which control must serve again after the last loss.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time in which control notices that a host is gone: an election, and the silence of the host.
/// Where two go sooner, a majority of the voters may be lost with the next disk.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// Three hosts with a leader and a configuration, and a fourth that has become a voter.
fn start_with_successor() -> ControlWorld {
    let mut world = ControlWorld::start(3);
    world.run(3 * SECOND);
    world.boot(HostId(4), false);
    world.run(8 * SECOND);
    assert!(world.replace(5, SECOND));
    world
}

fn kill_all(world: &mut ControlWorld, hosts: &BTreeSet<HostId>) {
    hosts.iter().for_each(|host| world.kill(*host));
}

fn boot_all(world: &mut ControlWorld, hosts: &BTreeSet<HostId>) {
    hosts.iter().for_each(|host| world.boot(*host, false));
}

/// Starts a host that was killed or wiped, and whose process is away for a moment.
fn boot_again(world: &mut ControlWorld, host: u32) {
    world.run(SECOND / 5);
    world.boot(HostId(host), false);
}

/// A control host that was replaced keeps its seat while the processes of the others are killed
/// again and again; then one disk is lost. Control was left without a leader for good.
#[test]
fn disk_is_lost_after_a_replacement_under_short_leads() {
    for lead_ms in [300, 700, 1_200, 2_500] {
        for (gone, lost) in [(3, 2), (3, 4), (1, 2), (1, 4), (2, 1)] {
            let mut world = start_with_successor();
            let staying: BTreeSet<HostId> =
                (1..=4).filter(|host| *host != gone).map(HostId).collect();
            world.kill(HostId(gone));
            for kill in 0..4 {
                world.run(Duration::from_millis(lead_ms));
                kill_all(&mut world, &staying);
                if kill == 3 {
                    world.wipe(HostId(lost));
                }
                world.run(SECOND / 5);
                boot_all(&mut world, &staying);
            }
            let case = format!("leads of {lead_ms} ms, {gone} gone, {lost} lost its disk");
            assert!(world.replace(6, RECOVERY_TIME), "{case}");
            world.run(CATCH_UP_TIME);
            let leader = world.leader().expect("a leader");
            assert_eq!(world.voters(leader), staying, "{case}");
        }
    }
}

/// A replaced host goes without a word at the moment at which another one loses its disk, so
/// that nobody can know yet that it is gone.
#[test]
fn disk_is_lost_as_a_replaced_host_goes() {
    for (gone, lost) in [(3, 1), (3, 4), (1, 2), (1, 4), (2, 4)] {
        let mut world = start_with_successor();
        world.kill(HostId(gone));
        world.wipe(HostId(lost));
        boot_again(&mut world, lost);
        assert!(world.replace(6, RECOVERY_TIME), "{gone} gone, {lost} lost its disk");
    }
}

/// Voters that were replaced must leave in leads shorter than the silence of one that has answered
/// before: they add up, and the next replacement and lost disk would leave too few.
#[test]
fn replaced_hosts_leave_under_short_leads() {
    let mut world = ControlWorld::start(3);
    world.run(3 * SECOND);
    assert!(world.replace(5, SECOND));
    let mut hosts: BTreeSet<HostId> = (1..=3).map(HostId).collect();
    for (gone, new) in [(3, 4), (1, 5), (2, 6)] {
        world.boot(HostId(new), false);
        hosts.insert(HostId(new));
        world.run(8 * SECOND);
        world.kill(HostId(gone));
        hosts.remove(&HostId(gone));
        for _ in 0..4 {
            kill_all(&mut world, &hosts);
            world.run(SECOND / 5);
            boot_all(&mut world, &hosts);
            world.run(SECOND);
        }
        let leader = world.leader().expect("a leader");
        assert_eq!(world.voters(leader), hosts, "{gone} is gone");
    }
    world.wipe(HostId(4));
    boot_again(&mut world, 4);
    assert!(world.replace(6, RECOVERY_TIME));
}

impl HostSchedule {
    /// Kills the processes of all hosts, or of some one by one, several times in a row.
    fn restart_processes(&mut self) {
        let together = self.rng.random_range(0..2) == 0;
        for _ in 0..self.rng.random_range(0..5) {
            let hosts = match together {
                true => self.hosts.clone(),
                false => BTreeSet::from([self.pick_host()]),
            };
            kill_all(&mut self.world, &hosts);
            self.run_for(50, 700);
            for host in hosts {
                self.world.boot(host, false);
                self.run_for(0, 100);
            }
            self.run_for(100, 2_000);
        }
    }

    fn remove_host(&mut self, host: HostId) {
        match self.rng.random_range(0..3) {
            0 => self.world.stop(host),
            _ => self.world.kill(host),
        }
        self.hosts.remove(&host);
    }

    /// Leaves new hosts the time to catch up. All processes may be killed meanwhile, with leads
    /// that are long enough to add a host.
    fn catch_up(&mut self) {
        let end = self.world.now + CATCH_UP_TIME;
        let restarts = self.rng.random_range(0..2) == 0;
        while self.world.now < end {
            if restarts {
                kill_all(&mut self.world, &self.hosts);
                self.run_for(50, 500);
                boot_all(&mut self.world, &self.hosts);
            }
            self.run_for(1_500, 2_500);
        }
    }

    /// Replaces hosts while processes start again, the old ones first or the new ones first.
    fn replace_hosts(&mut self) {
        let count = self.rng.random_range(1..=MAX_REPLACED);
        let old: BTreeSet<HostId> = (0..count).map(|_| self.pick_host()).collect();
        if old.len() == 1 && self.rng.random_range(0..3) == 0 {
            old.into_iter().for_each(|host| self.remove_host(host));
            self.restart_processes();
            self.start_new_host();
            return self.catch_up();
        }
        for _ in &old {
            self.start_new_host();
            self.run_for(0, 2_000);
        }
        self.catch_up();
        if self.rng.random_range(0..2) == 0 {
            self.restart_processes();
        }
        for (count, host) in old.iter().enumerate() {
            if count > 0 {
                self.restart_processes();
                self.world.run(DETECTION_TIME);
            }
            self.remove_host(*host);
        }
    }

    /// Loses as many disks as must be borne, or fewer, with or without a restart of all processes
    /// at that moment.
    fn lose_disks(&mut self) {
        let lost = self.pick_lost_hosts();
        let killed = match self.rng.random_range(0..2) {
            0 => self.hosts.clone(),
            _ => lost.clone(),
        };
        kill_all(&mut self.world, &killed);
        lost.iter().for_each(|host| self.world.wipe(*host));
        self.run_for(50, 1_000);
        for host in killed {
            self.world.boot(host, false);
            self.run_for(0, 100);
        }
    }

    /// Control must return the newest configuration that it accepted, and accept another one.
    fn check_service(&mut self) {
        let (seed, version) = (self.seed, self.version);
        let end = self.world.now + RECOVERY_TIME;
        let read = self.read_version(end);
        assert_eq!(read, Some(version), "seed {seed}: {:?}", self.hosts);
        self.version += 1;
        let remaining = end.since(self.world.now).max(SECOND);
        assert!(self.world.replace(version + 1, remaining), "seed {seed}: {:?}", self.hosts);
    }

    fn read_version(&mut self, end: Moment) -> Option<u64> {
        while self.world.now < end {
            if let Some(leader) = self.world.leader() {
                let ticket = self.world.order(leader, OperatorOrder::ReadRoutes);
                self.world.run(SECOND / 10);
                if let Some(OrderAnswer::Routes(table)) = self.world.answers.get(&ticket) {
                    return Some(table.version);
                }
            }
            self.world.run(SECOND / 20);
        }
        None
    }

    fn play_round(&mut self) {
        self.replace_hosts();
        self.run_for(0, 600);
        self.restart_processes();
        self.lose_disks();
        self.restart_processes();
        self.check_service();
        self.world.run(CATCH_UP_TIME);
    }
}

/// No order of replacements, restarts and lost disks may leave control without a leader, or
/// lose a configuration, as long as no more disks are lost at once than must be borne.
#[test]
fn replacements_restarts_and_lost_disks_in_seeded_schedules() {
    for seed in 0..schedule_count(SCHEDULES) {
        let count = if seed % 3 == 0 { 5 } else { 3 };
        let mut schedule = HostSchedule::new(seed, count);
        assert!(schedule.world.replace(schedule.version, SECOND));
        (0..ROUNDS).for_each(|_| schedule.play_round());
    }
}
