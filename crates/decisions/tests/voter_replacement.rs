//! Replacement of control hosts: empty hosts become voters in place of lost
//! ones.

mod control_world;

use std::{collections::BTreeSet, time::Duration};

use control_world::ControlWorld;
use hawthornstack_decisions::identity::HostId;

const SECOND: Duration = Duration::from_secs(1);

fn ids(numbers: &[u32]) -> BTreeSet<HostId> {
    numbers.iter().copied().map(HostId).collect()
}

#[test]
fn seeds_become_the_first_voters() {
    let (mut world, leader) = ControlWorld::start_with_leader();
    assert_eq!(world.voters(leader), ids(&[1, 2, 3]));
    assert!(world.replace(5, SECOND));
}

#[test]
fn empty_host_replaces_a_killed_voter() {
    for gone in 1..=3 {
        let mut world = ControlWorld::start(3);
        world.run(3 * SECOND);
        assert!(world.replace(5, SECOND));
        world.kill(HostId(gone));
        world.run(2 * SECOND);
        world.boot(HostId(9), false);
        world.run(8 * SECOND);
        let leader = world.leader().expect("a leader");
        let mut expected = ids(&[1, 2, 3, 9]);
        expected.remove(&HostId(gone));
        assert_eq!(world.voters(leader), expected, "host {gone} gone");
        // The new voters must survive the loss of another disk.
        let other = expected.iter().copied().find(|id| *id != HostId(9)).expect("another voter");
        world.wipe(other);
        world.run(3 * SECOND);
        world.boot(other, false);
        assert!(world.replace(6, 10 * SECOND), "host {gone} gone, then {other} wiped");
    }
}

#[test]
fn wiped_host_becomes_a_voter_again() {
    let mut world = ControlWorld::start(3);
    world.run(3 * SECOND);
    assert!(world.replace(5, SECOND));
    for wiped in [1, 2, 3] {
        world.wipe(HostId(wiped));
        world.run(SECOND);
        world.boot(HostId(wiped), false);
        world.run(4 * SECOND);
        let leader = world.leader().expect("a leader");
        assert_eq!(world.voters(leader), ids(&[1, 2, 3]), "after wiping {wiped}");
    }
    assert!(world.replace(6, SECOND));
}

#[test]
fn fourth_and_fifth_host_become_voters() {
    let mut world = ControlWorld::start(3);
    world.run(3 * SECOND);
    world.boot(HostId(4), false);
    world.boot(HostId(5), false);
    world.run(3 * SECOND);
    let leader = world.leader().expect("a leader");
    assert_eq!(world.voters(leader), ids(&[1, 2, 3, 4, 5]));
}

#[test]
fn empty_host_joins_after_the_log_was_compacted() {
    let mut world = ControlWorld::start(3);
    world.run(3 * SECOND);
    for version in 1..=100 {
        assert!(world.replace(version, SECOND));
    }
    world.kill(HostId(2));
    world.run(SECOND);
    world.boot(HostId(9), false);
    world.run(8 * SECOND);
    let leader = world.leader().expect("a leader");
    assert_eq!(world.voters(leader), ids(&[1, 3, 9]));
}
