//! Restarted control hosts elect a leader at once if no leader can exist, and
//! never before the lease of a possible leader has expired.

mod control_world;

use std::time::Duration;

use control_world::ControlWorld;
use hawthornstack_decisions::identity::HostId;

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);
/// The election timeout of `ControlWorld`.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

fn world_with_leader(hosts: u32) -> (ControlWorld, HostId) {
    let mut world = ControlWorld::start(hosts);
    world.run(3 * SECOND);
    assert!(world.replace(5, SECOND));
    let leader = world.leader().expect("a leader");
    (world, leader)
}

#[test]
fn leader_is_elected_at_once_after_all_hosts_restart() {
    for hosts in [3, 5] {
        let (mut world, _) = world_with_leader(hosts);
        for id in 1..=hosts {
            world.kill(HostId(id));
        }
        world.run(SECOND);
        for id in 1..=hosts {
            world.boot(HostId(id), false);
            world.run(STEP);
        }
        world.run(ELECTION_TIMEOUT / 3);
        assert!(world.leader().is_some(), "{hosts} hosts");
        assert!(world.replace(6, SECOND));
    }
}

#[test]
fn wiped_host_does_not_delay_the_election() {
    for wiped in 1..=3 {
        let (mut world, _) = world_with_leader(3);
        (1..=3).for_each(|id| world.kill(HostId(id)));
        world.wipe(HostId(wiped));
        world.run(SECOND);
        (1..=3).for_each(|id| world.boot(HostId(id), false));
        world.run(ELECTION_TIMEOUT / 3);
        assert!(world.leader().is_some_and(|leader| leader != HostId(wiped)));
    }
}

#[test]
fn hosts_restarted_one_by_one_elect_a_leader() {
    let (mut world, _) = world_with_leader(3);
    for id in 1..=3 {
        world.kill(HostId(id));
    }
    world.run(SECOND);
    for id in 1..=3 {
        world.boot(HostId(id), false);
        world.run(Duration::from_millis(150));
    }
    world.run(ELECTION_TIMEOUT / 3);
    assert!(world.leader().is_some());
}

#[test]
fn restarted_host_follows_the_running_leader() {
    for other in 1..=3 {
        let (mut world, leader) = world_with_leader(3);
        if HostId(other) == leader {
            continue;
        }
        world.kill(HostId(other));
        world.boot(HostId(other), false);
        world.run(SECOND);
        assert_eq!(world.leader(), Some(leader));
    }
}

/// The leader is cut off from the candidate first, and from the other host when
/// that restarts. The candidate asks the restarted host for its vote and may get
/// it only after the leader's lease has expired.
#[test]
fn restarted_host_grants_no_vote_during_the_lease_of_a_leader() {
    let (mut world, leader) = world_with_leader(3);
    let others: Vec<HostId> = (1..=3).map(HostId).filter(|id| *id != leader).collect();
    let (restarted, candidate) = (others[0], others[1]);
    world.isolate(leader, &[candidate], true);
    world.run(2 * ELECTION_TIMEOUT);
    assert_eq!(world.leader(), Some(leader));
    world.kill(restarted);
    world.isolate(leader, &[restarted], true);
    world.boot(restarted, false);
    let booted = world.now;
    while world.now.since(booted) < 4 * ELECTION_TIMEOUT {
        world.run(STEP);
        assert!(
            world.leaders().count() <= 1,
            "two leaders {:?} after the start",
            world.now.since(booted)
        );
    }
    assert_ne!(world.leader(), Some(leader));
    assert!(world.leader().is_some());
}

/// The same, but the restarted host still reaches the leader, which must stay
/// the leader.
#[test]
fn restarted_host_keeps_following_a_reachable_leader() {
    let (mut world, leader) = world_with_leader(3);
    let others: Vec<HostId> = (1..=3).map(HostId).filter(|id| *id != leader).collect();
    world.isolate(leader, &[others[1]], true);
    world.run(2 * ELECTION_TIMEOUT);
    world.kill(others[0]);
    world.boot(others[0], false);
    for _ in 0..400 {
        world.run(STEP);
        assert_eq!(world.leader(), Some(leader));
        assert_eq!(world.leaders().count(), 1);
    }
}
