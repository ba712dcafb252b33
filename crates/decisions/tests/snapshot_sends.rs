//! Load pattern: a control host joins while configurations come in quick succession, and its
//! disk is slow.

mod control_world;

use std::time::Duration;

use control_world::ControlWorld;
use hawthornstack_decisions::identity::HostId;

const SECOND: Duration = Duration::from_secs(1);
/// Enough configurations for the log to be replaced by a snapshot.
const CONFIGURATIONS: u64 = 80;

/// Guards against a snapshot, which holds the whole configuration, that is sent again with
/// each heartbeat and each change until the host has answered: the repeats fill its link
/// and the leader's memory.
#[test]
fn snapshot_is_sent_once_while_it_is_synced() {
    let mut world = ControlWorld::start(3);
    world.run(3 * SECOND);
    for version in 1..=CONFIGURATIONS {
        assert!(world.replace(version, SECOND));
    }
    world.boot(HostId(4), false);
    if let Some(host) = world.hosts.get_mut(&HostId(4)) {
        host.sync_time = SECOND * 6 / 10;
    }
    let before = world.snapshots_sent;
    let mut version = CONFIGURATIONS;
    for _ in 0..10 {
        version += 1;
        assert!(world.replace(version, SECOND));
    }
    let sent = world.snapshots_sent - before;
    assert!((1..=2).contains(&sent), "{sent} snapshots in two seconds");
    world.run(5 * SECOND);
    let leader = world.leader().expect("a leader");
    assert!(world.voters(leader).contains(&HostId(4)), "the host has caught up");
    let applied = world.host(HostId(4)).map(|host| host.control().routes_version());
    assert_eq!(applied, Some(version));
}
