//! A service's primary is replaced: by suspicion, by plan, over failures of
//! control, and never while a host may still use the old one.

mod control_world;

use std::time::Duration;

use control_world::{ControlWorld, farewell, instance};
use hawthornstack_decisions::{
    control_role::{ControlEvent, EntryReport, EntryUpdate},
    identity::HostId,
    instances::{InstanceRecord, InstanceRole},
    primaries::{ServiceTerm, TermPhase},
};

const SECOND: Duration = Duration::from_secs(1);
const LEASE: Duration = Duration::from_millis(3_500);
const FIRST: HostId = HostId(101);
const SECOND_ENTRY: HostId = HostId(102);

/// Three control hosts, one service of three databases, and entry hosts that
/// hold leases.
fn served_world(entries: &[HostId]) -> (ControlWorld, HostId) {
    let mut world = ControlWorld::start(3);
    world.run(3 * SECOND);
    assert!(world.replace(5, SECOND));
    let leader = world.leader().expect("a leader");
    world.announce(leader, &instance("a", 1, InstanceRole::Primary));
    world.announce(leader, &instance("b", 2, InstanceRole::Replica));
    world.announce(leader, &instance("c", 3, InstanceRole::Replica));
    world.run(SECOND / 10);
    for entry in entries {
        world.event(leader, ControlEvent::EntryLinked(*entry));
    }
    for _ in 0..4 {
        for entry in entries {
            world.renew(leader, *entry);
        }
        world.run(SECOND / 10);
    }
    (world, leader)
}

fn term(world: &ControlWorld, leader: HostId) -> ServiceTerm {
    world.host(leader).expect("a host").control().terms["books"].clone()
}

fn suspect(world: &mut ControlWorld, leader: HostId, entry: HostId, reachable: bool) {
    let report = EntryReport::PrimaryReachable { service: "books".into(), number: 1, reachable };
    world.event(leader, ControlEvent::Entry(entry, report));
}

#[test]
fn first_primary_is_the_one_that_says_so() {
    let (world, leader) = served_world(&[FIRST]);
    let term = term(&world, leader);
    assert_eq!((&*term.primary.id, term.number), ("a", 1));
    assert!(term.is_steady());
}

#[test]
fn suspicion_of_one_host_asks_the_others() {
    let (mut world, leader) = served_world(&[FIRST, SECOND_ENTRY]);
    suspect(&mut world, leader, FIRST, false);
    world.run(SECOND / 10);
    assert!(term(&world, leader).is_steady());
    let asked = |update: &EntryUpdate| matches!(update, EntryUpdate::Probe { .. });
    assert!(world.updates.iter().any(|(to, update)| *to == SECOND_ENTRY && asked(update)));
    suspect(&mut world, leader, SECOND_ENTRY, true);
    world.run(3 * SECOND);
    assert!(term(&world, leader).is_steady());
    assert!(world.promoted.is_empty());
}

#[test]
fn promotion_waits_for_every_host_that_may_use_the_old_primary() {
    let (mut world, leader) = served_world(&[FIRST, SECOND_ENTRY]);
    let renewed_at = world.now;
    world.renew(leader, FIRST);
    world.renew(leader, SECOND_ENTRY);
    suspect(&mut world, leader, FIRST, false);
    suspect(&mut world, leader, SECOND_ENTRY, false);
    world.run(SECOND / 20);
    assert_eq!(term(&world, leader).phase, TermPhase::Fencing { planned: false });
    // The first host gives the term up, the second one is cut off.
    world.renew(leader, FIRST);
    world.run(LEASE - Duration::from_millis(300));
    assert!(world.promoted.is_empty());
    world.run(SECOND);
    let (at, _, key, _) = world.promoted.first().cloned().expect("a promotion");
    assert!(at >= renewed_at + LEASE);
    assert_ne!(&*key.id, "a");
    world.run(SECOND);
    let term = term(&world, leader);
    assert!(term.is_steady());
    assert_eq!(term.number, 2);
    assert_eq!(term.primary, key);
}

#[test]
fn promotion_is_quick_when_all_hosts_give_the_term_up() {
    let (mut world, leader) = served_world(&[FIRST, SECOND_ENTRY]);
    let began = world.now;
    suspect(&mut world, leader, FIRST, false);
    suspect(&mut world, leader, SECOND_ENTRY, false);
    world.run(SECOND / 100);
    world.renew(leader, FIRST);
    world.renew(leader, SECOND_ENTRY);
    world.run(SECOND / 2);
    let (at, ..) = world.promoted.first().expect("a promotion");
    assert!(at.since(began) < SECOND / 10, "{:?}", at.since(began));
}

#[test]
fn draining_primary_is_replaced_by_plan() {
    let (mut world, leader) = served_world(&[FIRST]);
    let draining =
        InstanceRecord { draining: true, sequence: 2, ..instance("a", 1, InstanceRole::Primary) };
    world.announce(leader, &draining);
    world.run(SECOND / 100);
    assert_eq!(term(&world, leader).phase, TermPhase::Fencing { planned: true });
    world.renew(leader, FIRST);
    world.run(2 * SECOND);
    let term = term(&world, leader);
    assert!(term.is_steady());
    assert_ne!(&*term.primary.id, "a");
}

#[test]
fn next_leader_finishes_the_change_with_one_promoted_database() {
    let (mut world, leader) = served_world(&[FIRST]);
    suspect(&mut world, leader, FIRST, false);
    world.run(SECOND / 100);
    world.renew(leader, FIRST);
    // The leader dies as it calls for the promotion.
    world.run(SECOND / 100);
    world.kill(leader);
    world.run(8 * SECOND);
    let next = world.leader().expect("another leader");
    let term = term(&world, next);
    assert!(term.is_steady(), "{term:?}");
    assert_eq!(term.number, 2);
    let mut fences: Vec<(HostId, u64)> =
        world.promoted.iter().map(|(_, host, _, fence)| (*host, *fence)).collect();
    fences.dedup();
    assert!(fences.windows(2).all(|pair| pair[0].1 < pair[1].1), "{fences:?}");
}

#[test]
fn primary_that_left_is_replaced() {
    let (mut world, leader) = served_world(&[FIRST]);
    let gone = instance("a", 1, InstanceRole::Primary);
    world.instances.remove("a");
    world.event(leader, ControlEvent::Departed(farewell(&gone)));
    for _ in 0..20 {
        world.renew(leader, FIRST);
        world.run(SECOND);
    }
    let term = term(&world, leader);
    assert!(term.is_steady());
    assert_ne!(&*term.primary.id, "a");
}

#[test]
fn databases_are_remembered_over_a_restart_of_all() {
    let (mut world, _) = served_world(&[FIRST]);
    for id in [1, 2, 3] {
        world.kill(HostId(id));
    }
    world.run(SECOND);
    for id in [1, 2, 3] {
        world.boot(HostId(id), false);
    }
    world.run(2 * SECOND);
    let leader = world.leader().expect("a leader");
    let directory = world.host(leader).expect("a host").directory();
    assert_eq!(directory.instances_of_service("books").count(), 3);
}

/// Replays of the log after a loss of all control hosts must not carry out its
/// decisions again: an older one would lead past the present primary.
#[test]
fn old_promotions_are_not_repeated_after_a_restart_of_all() {
    let (mut world, leader) = served_world(&[FIRST]);
    for number in 1..=2 {
        let report =
            EntryReport::PrimaryReachable { service: "books".into(), number, reachable: false };
        world.event(leader, ControlEvent::Entry(FIRST, report));
        world.run(SECOND / 100);
        world.renew(leader, FIRST);
        world.run(SECOND);
        let term = term(&world, leader);
        assert!(term.is_steady());
        assert_eq!(term.number, number + 1);
        let old = world.instances.values_mut().filter(|record| record.key != term.primary);
        old.for_each(|record| record.role = InstanceRole::Replica);
    }
    let promoted = world.promoted.clone();
    assert_eq!(promoted.len(), 2);
    for id in [1, 2, 3] {
        world.kill(HostId(id));
    }
    world.run(SECOND);
    world.updates.clear();
    for id in [1, 2, 3] {
        world.boot(HostId(id), false);
        world.event(HostId(id), ControlEvent::EntryLinked(FIRST));
    }
    world.run(2 * SECOND);
    let leader = world.leader().expect("a leader");
    assert_eq!(term(&world, leader).number, 3);
    assert_eq!(world.promoted, promoted);
    // Entry hosts are told the newest state alone.
    let old_state = |update: &EntryUpdate| match update {
        EntryUpdate::State { terms, .. } => terms.iter().any(|term| term.number < 3),
        _ => false,
    };
    assert!(!world.updates.iter().any(|(_, update)| old_state(update)));
}
