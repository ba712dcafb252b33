//! Answers of databases to status requests that arrive late, where commits are acknowledged once a
//! replica has them.

mod control_world;

use std::time::Duration;

use control_world::{ControlWorld, departure_of, instance};
use hawthornstack_decisions::{
    control_role::{ControlEvent, EntryHello},
    identity::HostId,
    instances::{InstanceRecord, InstanceRole},
    positions::LogPosition,
    primaries::{ServiceTerm, TermPhase},
};

const ENTRY: HostId = HostId(101);
const MS: Duration = Duration::from_millis(1);
/// Time in which an answer arrives that the network held up.
const DELAY: Duration = Duration::from_millis(150);

/// Three control hosts and a primary `a` with the replicas `b` and `c`, of which each commit
/// needs one.
fn world_with_service() -> (ControlWorld, HostId) {
    let mut world = ControlWorld::start(3);
    world.run(3_000 * MS);
    world.sync_replicas = 1;
    assert!(world.replace(5, 1_000 * MS));
    let leader = world.leader().expect("a leader");
    world.announce(leader, &instance("a", 1, InstanceRole::Primary));
    world.announce(leader, &instance("b", 2, InstanceRole::Replica));
    world.announce(leader, &instance("c", 3, InstanceRole::Replica));
    world.run(100 * MS);
    world.handle_event(leader, ControlEvent::EntryLinked(ENTRY, EntryHello::default()));
    for _ in 0..4 {
        world.renew_lease(leader, ENTRY);
        world.run(100 * MS);
        world.repeat_announcements(leader);
    }
    hold(&mut world, &["a", "b", "c"], 100);
    (world, leader)
}

/// Sets the ends of the databases' logs.
fn hold(world: &mut ControlWorld, ids: &[&str], offset: u64) {
    for id in ids {
        world.log_ends.insert((*id).into(), LogPosition::new(1, offset));
    }
}

fn drain(world: &mut ControlWorld, leader: HostId, id: &str) {
    let record = world.instances[id].clone();
    let sequence = record.sequence + 1;
    world.announce(leader, &InstanceRecord { draining: true, sequence, ..record });
}

fn term(world: &ControlWorld, leader: HostId) -> ServiceTerm {
    world.host(leader).expect("a host").control().terms["books"].clone()
}

/// Renews the entry host's lease for a while, as it does itself.
fn run_with_renewals(world: &mut ControlWorld, leader: HostId, time: Duration) {
    let end = world.now + time;
    while world.now < end {
        world.renew_lease(leader, ENTRY);
        world.run(10 * MS);
    }
}

/// The primary's answer to a request from before its term ended counted as the end of its log: a
/// replica without the last acknowledged commits was promoted.
#[test]
fn answer_from_before_the_fence_is_not_the_end_of_the_log() {
    let (mut world, leader) = world_with_service();
    drain(&mut world, leader, "c");
    drain(&mut world, leader, "a");
    // The replicas count as caught up from the second request on, which the primary answers late.
    world.run(100 * MS);
    world.status_delays.insert("a".into(), DELAY);
    while term(&world, leader).is_steady() {
        world.run(MS);
    }
    assert_eq!(term(&world, leader).phase, TermPhase::Fencing { planned: true });
    world.status_delays.clear();
    hold(&mut world, &["a", "c"], 110);
    run_with_renewals(&mut world, leader, 2 * DELAY);
    assert!(world.promoted.is_empty(), "{:?}", world.promoted);
    hold(&mut world, &["b"], 110);
    run_with_renewals(&mut world, leader, 2 * DELAY);
    assert_eq!(world.promoted.first().map(|(_, _, key, _)| &*key.id), Some("b"));
}

/// The primary's answer to a request from before a replica was lost counted as all that the
/// replica may have held alone: a loss was covered by a replica that lacked its last commits.
#[test]
fn answer_from_before_a_loss_does_not_cover_it() {
    for after in 0..25 {
        let (mut world, leader) = world_with_service();
        // No replica can replace the primary, so that their logs are asked for again and again.
        for id in ["b", "c", "a"] {
            drain(&mut world, leader, id);
        }
        world.status_delays.insert("a".into(), DELAY);
        run_with_renewals(&mut world, leader, 1_000 * MS + after * 10 * MS);
        hold(&mut world, &["a", "b"], 110);
        let lost = world.instances.remove("b").expect("a replica");
        world.handle_event(leader, ControlEvent::Departed(departure_of(&lost)));
        world.run(20 * MS);
        let lost_count = |world: &ControlWorld| term(world, leader).lost_databases.len();
        assert_eq!(lost_count(&world), 1);
        run_with_renewals(&mut world, leader, 1_500 * MS);
        assert_eq!(lost_count(&world), 1, "lost {after} steps after the start");
        hold(&mut world, &["c"], 110);
        run_with_renewals(&mut world, leader, 2_500 * MS);
        assert_eq!(lost_count(&world), 0);
    }
}
