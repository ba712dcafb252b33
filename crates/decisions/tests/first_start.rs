//! The first start of control: its hosts form a group of voters from empty disks, whichever of
//! them stops meanwhile and however slow the disks are.

mod control_world;

use std::time::Duration;

use control_world::{ControlWorld, schedule_count};
use hawthornstack_decisions::{clock::Moment, identity::HostId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of schedules, unless `HAWTHORNSTACK_SCHEDULES` sets another one.
const SCHEDULES: u64 = 400;
/// Time after which all hosts run and all disks are fast.
const TROUBLE_TIME: Duration = Duration::from_secs(10);
/// Time in which control must accept an order once nothing fails any more, as the users state.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
const SYNC_TIME: Duration = Duration::from_millis(1);

fn hosts(count: u32) -> impl Iterator<Item = HostId> {
    (1..=count).map(HostId)
}

/// The host that formed the group was killed before the others had its first entries: no leader
/// was elected any more.
#[test]
fn former_of_the_group_is_killed() {
    for count in [3, 5] {
        let mut world = ControlWorld::start(count);
        let leads = |world: &ControlWorld| {
            hosts(count).find(|id| world.host(*id).is_some_and(|h| h.agreement().is_leader()))
        };
        let former = loop {
            world.run(Duration::from_micros(100));
            if let Some(host) = leads(&world) {
                break host;
            }
        };
        let others: Vec<HostId> = hosts(count).collect();
        // What it sends from now on is lost, while its disk still syncs.
        world.isolate(former, &others, true);
        world.run(Duration::from_millis(5));
        world.kill(former);
        world.isolate(former, &others, false);
        world.run(Duration::from_millis(500));
        world.boot(former, true);
        assert!(world.replace(5, RECOVERY_TIME), "{count} hosts");
    }
}

/// With slow disks a host votes for the next term before the first leader's entries arrive, so
/// that no two hosts agreed on whether the group exists.
#[test]
fn slow_disks_and_kills_in_seeded_schedules() {
    let schedules = schedule_count(SCHEDULES);
    for seed in 0..schedules {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = if seed % 4 == 0 { 5 } else { 3 };
        let mut world = ControlWorld::start(count);
        let kills = seed % 2 == 0;
        let mut returns: Option<(Moment, HostId)> = None;
        let end = world.now + TROUBLE_TIME;
        while world.now < end {
            for host in hosts(count) {
                let sync_time = Duration::from_millis(rng.random_range(1..600));
                if let Some(host) = world.hosts.get_mut(&host) {
                    host.sync_time = sync_time;
                }
            }
            if let Some((_, host)) = returns.filter(|(at, _)| *at <= world.now) {
                returns = None;
                // The settings of one host may no longer tell of the first start.
                let bootstrap = host.0 > 1 || rng.random();
                world.boot(host, bootstrap);
            }
            if kills && returns.is_none() && rng.random_range(0..8) == 0 {
                let host = HostId(rng.random_range(1..=count));
                world.kill(host);
                let down = Duration::from_millis(rng.random_range(50..1_000));
                returns = Some((world.now + down, host));
            }
            world.run(Duration::from_millis(rng.random_range(1..120)));
        }
        if let Some((_, host)) = returns {
            world.boot(host, true);
        }
        for host in hosts(count) {
            if let Some(host) = world.hosts.get_mut(&host) {
                host.sync_time = SYNC_TIME;
            }
        }
        assert!(world.replace(5, RECOVERY_TIME), "seed {seed}");
        world.run(RECOVERY_TIME);
        let leader = world.leader().expect("a leader");
        assert_eq!(world.voters(leader), hosts(count).collect(), "seed {seed}");
        assert!(
            hosts(count).all(|host| {
                world.host(host).is_some_and(|host| host.agreement().is_eligible())
            })
        );
    }
}
