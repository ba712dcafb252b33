//! Control hosts whose disks take long to sync a vote elect a leader.

mod control_world;

use std::time::Duration;

use control_world::ControlWorld;
use hawthornstack_decisions::identity::HostId;

/// A configuration must be in force within this time, which includes an election.
const BOUND: Duration = Duration::from_secs(10);
/// Long enough that no host knows a leader any more.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// Restarts all hosts with the given time of a disk sync and orders a configuration.
fn accepts_after_restart(hosts: u32, slow: &[u32], sync_time: Duration) -> bool {
    let mut world = ControlWorld::start(hosts);
    world.run(Duration::from_secs(3));
    assert!(world.replace(5, BOUND));
    (1..=hosts).for_each(|id| world.kill(HostId(id)));
    world.run(DOWN_TIME);
    for id in 1..=hosts {
        world.boot(HostId(id), false);
        if let Some(host) = world.hosts.get_mut(&HostId(id)).filter(|_| slow.contains(&id)) {
            host.sync_time = sync_time;
        }
    }
    world.replace(6, BOUND)
}

/// Elections were abandoned for the next pre-vote before the votes were synced, over and
/// over, so that there was never a leader.
#[test]
fn all_disks_slow() {
    for sync_ms in [1, 80, 120, 200] {
        assert!(accepts_after_restart(3, &[1, 2, 3], Duration::from_millis(sync_ms)), "{sync_ms}");
        let all = [1, 2, 3, 4, 5];
        assert!(accepts_after_restart(5, &all, Duration::from_millis(sync_ms)), "{sync_ms}");
    }
}

/// A candidate with a fast disk cannot tell from it how long the others take.
#[test]
fn majority_of_disks_slow() {
    for sync_ms in [80, 120, 200] {
        assert!(accepts_after_restart(3, &[2, 3], Duration::from_millis(sync_ms)), "{sync_ms}");
        let slow = [3, 4, 5];
        assert!(accepts_after_restart(5, &slow, Duration::from_millis(sync_ms)), "{sync_ms}");
    }
}
