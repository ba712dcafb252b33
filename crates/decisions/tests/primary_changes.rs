//! Changes of a service's primary: on suspicion, by plan, across failures of
//! control hosts, and never while a host may still use the old primary.

mod control_world;

use std::time::Duration;

use control_world::{ControlWorld, departure_of, instance};
use hawthornstack_decisions::{
    control_role::{ControlEvent, ControlMessage, EntryHello, EntryReport, EntryUpdate},
    identity::HostId,
    instances::{InstanceRecord, InstanceRole},
    primaries::{ServiceTerm, TermPhase},
};

const SECOND: Duration = Duration::from_secs(1);
const LEASE: Duration = Duration::from_millis(3_500);
/// Time for which a database may be used after it announced that it drains.
const DRAIN_PERIOD: Duration = Duration::from_secs(7);
const FIRST_ENTRY: HostId = HostId(101);
const SECOND_ENTRY: HostId = HostId(102);

/// Three control hosts, one service of three databases, and entry hosts that
/// hold leases.
fn world_with_service(entries: &[HostId]) -> (ControlWorld, HostId) {
    let mut world = ControlWorld::start(3);
    world.run(3 * SECOND);
    assert!(world.replace(5, SECOND));
    let leader = world.leader().expect("a leader");
    world.announce(leader, &instance("a", 1, InstanceRole::Primary));
    world.announce(leader, &instance("b", 2, InstanceRole::Replica));
    world.announce(leader, &instance("c", 3, InstanceRole::Replica));
    world.run(SECOND / 10);
    for entry in entries {
        world.handle_event(leader, ControlEvent::EntryLinked(*entry, EntryHello::default()));
    }
    for _ in 0..4 {
        for entry in entries {
            world.renew_lease(leader, *entry);
        }
        world.run(SECOND / 10);
        world.repeat_announcements(leader);
    }
    (world, leader)
}

fn term(world: &ControlWorld, leader: HostId) -> ServiceTerm {
    world.host(leader).expect("a host").control().terms["books"].clone()
}

fn report_reachability(world: &mut ControlWorld, leader: HostId, entry: HostId, reachable: bool) {
    let number = term(world, leader).number;
    let report = EntryReport::PrimaryReachable { service: "books".into(), number, reachable };
    world.handle_event(leader, ControlEvent::Entry(entry, report));
}

#[test]
fn first_primary_is_the_one_that_announces_the_role() {
    let (world, leader) = world_with_service(&[FIRST_ENTRY]);
    let term = term(&world, leader);
    assert_eq!((&*term.primary.id, term.number), ("a", 1));
    assert!(term.is_steady());
}

#[test]
fn suspicion_by_one_host_probes_from_the_others() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY, SECOND_ENTRY]);
    report_reachability(&mut world, leader, FIRST_ENTRY, false);
    world.run(SECOND / 10);
    assert!(term(&world, leader).is_steady());
    let is_probe = |update: &EntryUpdate| matches!(update, EntryUpdate::Probe { .. });
    assert!(world.updates.iter().any(|(to, update)| *to == SECOND_ENTRY && is_probe(update)));
    report_reachability(&mut world, leader, SECOND_ENTRY, true);
    world.run(3 * SECOND);
    assert!(term(&world, leader).is_steady());
    assert!(world.promoted.is_empty());
}

#[test]
fn promotion_waits_for_every_host_that_may_use_the_old_primary() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY, SECOND_ENTRY]);
    let renewed_at = world.now;
    world.renew_lease(leader, FIRST_ENTRY);
    world.renew_lease(leader, SECOND_ENTRY);
    report_reachability(&mut world, leader, FIRST_ENTRY, false);
    report_reachability(&mut world, leader, SECOND_ENTRY, false);
    world.run(SECOND / 20);
    assert_eq!(term(&world, leader).phase, TermPhase::Fencing { planned: false });
    // The first host applies the end of the term, the second one does not
    // renew.
    world.renew_lease(leader, FIRST_ENTRY);
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
fn promotion_is_fast_when_all_hosts_apply_the_end_of_the_term() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY, SECOND_ENTRY]);
    let began = world.now;
    report_reachability(&mut world, leader, FIRST_ENTRY, false);
    report_reachability(&mut world, leader, SECOND_ENTRY, false);
    world.run(SECOND / 100);
    world.renew_lease(leader, FIRST_ENTRY);
    world.renew_lease(leader, SECOND_ENTRY);
    world.run(SECOND / 2);
    let (at, ..) = world.promoted.first().expect("a promotion");
    assert!(at.since(began) < SECOND / 10, "{:?}", at.since(began));
}

#[test]
fn draining_primary_is_replaced_by_a_planned_change() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY]);
    let draining =
        InstanceRecord { draining: true, sequence: 20, ..instance("a", 1, InstanceRole::Primary) };
    world.announce(leader, &draining);
    world.run(SECOND / 100);
    assert_eq!(term(&world, leader).phase, TermPhase::Fencing { planned: true });
    world.renew_lease(leader, FIRST_ENTRY);
    world.run(2 * SECOND);
    let term = term(&world, leader);
    assert!(term.is_steady());
    assert_ne!(&*term.primary.id, "a");
}

/// A database that was primary before may still say so; its next term must not start before
/// its promotion has taken effect, since until then writes there belong to the old term.
#[test]
fn former_primary_leads_again_only_once_it_is_promoted() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY]);
    let gone = instance("c", 3, InstanceRole::Replica);
    world.instances.remove(&gone.key.id);
    world.handle_event(leader, ControlEvent::Departed(departure_of(&gone)));
    world.promotion_time = SECOND / 3;
    for primary in ["b", "a"] {
        report_reachability(&mut world, leader, FIRST_ENTRY, false);
        world.run(SECOND / 100);
        world.renew_lease(leader, FIRST_ENTRY);
        world.run(SECOND / 5);
        let TermPhase::Promoting { chosen } = term(&world, leader).phase else {
            panic!("{primary}: {:?}", term(&world, leader));
        };
        assert_eq!(&*chosen.id, primary);
        world.run(SECOND / 2);
        let term = term(&world, leader);
        assert!(term.is_steady());
        assert_eq!(&*term.primary.id, primary);
    }
}

/// A database that took over the failed primary's log and address leads already; the platform
/// changes nothing when it is promoted, so that no higher term must be waited for.
#[test]
fn replacement_that_leads_already_is_started() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY]);
    for id in ["a", "b", "c"] {
        world.instances.remove(id);
    }
    report_reachability(&mut world, leader, FIRST_ENTRY, false);
    run_with_renewals(&mut world, leader, SECOND);
    world.promotion_time = 60 * SECOND;
    world.announce(leader, &instance("d", 4, InstanceRole::Primary));
    run_with_renewals(&mut world, leader, 2 * SECOND);
    let term = term(&world, leader);
    assert!(term.is_steady());
    assert_eq!(&*term.primary.id, "d");
}

/// Renews the entry host's lease for a while, as it does itself.
fn run_with_renewals(world: &mut ControlWorld, leader: HostId, time: Duration) {
    let end = world.now + time;
    while world.now < end {
        world.renew_lease(leader, FIRST_ENTRY);
        world.run((SECOND / 2).min(end.since(world.now)));
    }
}

/// The primary announces that it drains, shortly after it announced that it did not.
fn drain_primary(world: &mut ControlWorld, leader: HostId) {
    let primary = instance("a", 1, InstanceRole::Primary);
    world.announce(leader, &InstanceRecord { sequence: 20, ..primary.clone() });
    world.announce(leader, &InstanceRecord { draining: true, sequence: 21, ..primary });
}

/// A service whose primary is its only database and drains.
fn world_with_sole_draining_primary() -> (ControlWorld, HostId) {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY]);
    for gone in [instance("b", 2, InstanceRole::Replica), instance("c", 3, InstanceRole::Replica)] {
        world.instances.remove(&gone.key.id);
        world.handle_event(leader, ControlEvent::Departed(departure_of(&gone)));
    }
    drain_primary(&mut world, leader);
    (world, leader)
}

/// A primary that drains with no database to replace it must not be used for longer than a
/// draining database may be.
#[test]
fn sole_draining_primary_is_fenced_before_its_drain_period_ends() {
    let (mut world, leader) = world_with_sole_draining_primary();
    run_with_renewals(&mut world, leader, DRAIN_PERIOD / 2);
    assert!(term(&world, leader).is_steady(), "it may still be used");
    run_with_renewals(&mut world, leader, DRAIN_PERIOD / 2);
    assert_eq!(term(&world, leader).phase, TermPhase::Fencing { planned: true });
    let told = |(to, update): &(HostId, EntryUpdate)| match update {
        EntryUpdate::State { terms, .. } => *to == FIRST_ENTRY && !terms[0].is_steady(),
        _ => false,
    };
    assert!(world.updates.iter().any(told), "the entry host was not told to stop");
}

/// A control host that does not know since when a database drains must not count its drain
/// period from its own start.
#[test]
fn restart_of_control_does_not_extend_a_drain_period() {
    let (mut world, _) = world_with_sole_draining_primary();
    world.run(SECOND);
    for id in [1, 2, 3] {
        world.kill(HostId(id));
    }
    world.run(4 * SECOND);
    for id in [1, 2, 3] {
        world.boot(HostId(id), false);
    }
    world.run(2 * SECOND);
    let leader = world.leader().expect("a leader");
    assert_eq!(term(&world, leader).phase, TermPhase::Fencing { planned: true });
}

/// A service whose sole primary has drained must be served again once a database joins it.
#[test]
fn late_successor_of_a_drained_primary_is_promoted() {
    let (mut world, leader) = world_with_sole_draining_primary();
    run_with_renewals(&mut world, leader, 2 * DRAIN_PERIOD);
    assert!(world.promoted.is_empty());
    world.announce(leader, &instance("d", 4, InstanceRole::Replica));
    run_with_renewals(&mut world, leader, 3 * SECOND);
    let term = term(&world, leader);
    assert!(term.is_steady());
    assert_eq!(&*term.primary.id, "d");
}

/// A draining primary must not be given up for databases that have been silent: nobody would
/// serve writes until they are known to be gone.
#[test]
fn draining_primary_stays_while_its_successors_are_silent() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY]);
    world.instances.remove("b");
    world.instances.remove("c");
    run_with_renewals(&mut world, leader, 4 * SECOND);
    drain_primary(&mut world, leader);
    run_with_renewals(&mut world, leader, 4 * SECOND);
    let term = term(&world, leader);
    assert!(term.is_steady());
    assert_eq!(term.number, 1);
}

/// A planned change whose successors turn out to be dark must be abandoned, once, instead of
/// leaving the service without a primary.
#[test]
fn planned_change_without_an_answering_successor_is_abandoned() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY]);
    world.instances.remove("b");
    world.instances.remove("c");
    drain_primary(&mut world, leader);
    run_with_renewals(&mut world, leader, SECOND);
    assert_eq!(term(&world, leader).phase, TermPhase::Fencing { planned: true });
    run_with_renewals(&mut world, leader, 2 * SECOND);
    for _ in 0..4 {
        let term = term(&world, leader);
        assert!(term.is_steady());
        assert_eq!((&*term.primary.id, term.number), ("a", 2));
        run_with_renewals(&mut world, leader, SECOND / 2);
    }
}

/// A draining replica is better than no primary at all while its drain period lasts.
#[test]
fn failed_primary_is_replaced_by_a_draining_replica() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY]);
    for (id, born_ms) in [("b", 2), ("c", 3)] {
        let replica = instance(id, born_ms, InstanceRole::Replica);
        world.announce(leader, &InstanceRecord { draining: true, sequence: 20, ..replica });
    }
    report_reachability(&mut world, leader, FIRST_ENTRY, false);
    run_with_renewals(&mut world, leader, 2 * SECOND);
    let term = term(&world, leader);
    assert!(term.is_steady());
    assert_ne!(&*term.primary.id, "a");
}

#[test]
fn next_leader_finishes_the_change_with_one_promoted_database() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY]);
    report_reachability(&mut world, leader, FIRST_ENTRY, false);
    world.run(SECOND / 100);
    world.renew_lease(leader, FIRST_ENTRY);
    // The leader is killed as it asks for the promotion.
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

/// The call of a leader that is cut off may be on its way until its process has noticed the end
/// of its lead; `ControlWorld` fails if a call of the next leader may arrive before it.
#[test]
fn next_leader_leaves_a_choice_to_the_call_on_its_way() {
    for delay_ms in 0..60 {
        let (mut world, leader) = world_with_service(&[FIRST_ENTRY]);
        world.run(Duration::from_millis(delay_ms));
        report_reachability(&mut world, leader, FIRST_ENTRY, false);
        world.run(SECOND / 100);
        world.renew_lease(leader, FIRST_ENTRY);
        world.promotion_time = 60 * SECOND;
        while world.promoted.is_empty() {
            world.run(Duration::from_millis(1));
        }
        world.isolate(leader, &[1, 2, 3].map(HostId), true);
        world.run(3 * SECOND);
        let next = world.promoted.iter().any(|(_, host, ..)| *host != leader);
        assert!(next, "{:?}", world.promoted);
    }
}

/// A former leader's notice that a database was silent arrived late: the primary, which had
/// announced itself to the next leader, was replaced.
#[test]
fn late_notice_of_a_former_leader_replaces_no_primary() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY]);
    for _ in 0..15 {
        run_with_renewals(&mut world, leader, SECOND);
        world.repeat_announcements(leader);
    }
    let former = [1, 2, 3].map(HostId).into_iter().find(|host| *host != leader).expect("a host");
    let silent = vec![departure_of(&instance("a", 1, InstanceRole::Primary))];
    world.handle_event(leader, ControlEvent::Peer(former, ControlMessage::Expired(silent)));
    run_with_renewals(&mut world, leader, SECOND);
    let term = term(&world, leader);
    assert_eq!((&*term.primary.id, term.number), ("a", 1));
    assert!(term.is_steady());
}

#[test]
fn departed_primary_is_replaced() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY]);
    let gone = instance("a", 1, InstanceRole::Primary);
    world.instances.remove("a");
    world.handle_event(leader, ControlEvent::Departed(departure_of(&gone)));
    for _ in 0..20 {
        world.renew_lease(leader, FIRST_ENTRY);
        world.run(SECOND);
    }
    let term = term(&world, leader);
    assert!(term.is_steady());
    assert_ne!(&*term.primary.id, "a");
}

#[test]
fn databases_are_kept_across_a_restart_of_all_hosts() {
    let (mut world, _) = world_with_service(&[FIRST_ENTRY]);
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

/// When all control hosts restart and replay their log, they must not execute
/// its decisions again: an old one would promote a database that is no longer
/// the primary.
#[test]
fn old_promotions_are_not_repeated_after_a_restart_of_all_hosts() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY]);
    for number in 1..=2 {
        let report =
            EntryReport::PrimaryReachable { service: "books".into(), number, reachable: false };
        world.handle_event(leader, ControlEvent::Entry(FIRST_ENTRY, report));
        world.run(SECOND / 100);
        world.renew_lease(leader, FIRST_ENTRY);
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
        world.handle_event(
            HostId(id),
            ControlEvent::EntryLinked(FIRST_ENTRY, EntryHello::default()),
        );
    }
    world.run(2 * SECOND);
    let leader = world.leader().expect("a leader");
    assert_eq!(term(&world, leader).number, 3);
    assert_eq!(world.promoted, promoted);
    // Entry hosts get only the newest state.
    let old_state = |update: &EntryUpdate| match update {
        EntryUpdate::State { terms, .. } => terms.iter().any(|term| term.number < 3),
        _ => false,
    };
    assert!(!world.updates.iter().any(|(_, update)| old_state(update)));
}

/// Control hosts restart with a lower limit for the revocation of keys and grant shorter
/// leases. Guards against a promotion while a host may still use the old primary under a
/// lease that was granted before.
#[test]
fn shortened_leases_do_not_hasten_a_promotion() {
    let (mut world, leader) = world_with_service(&[FIRST_ENTRY, SECOND_ENTRY]);
    let renewed_at = world.now;
    world.renew_lease(leader, FIRST_ENTRY);
    world.lease_duration = Duration::from_millis(700);
    (1..=3).for_each(|id| world.kill(HostId(id)));
    (1..=3).for_each(|id| world.boot(HostId(id), false));
    world.run(SECOND / 2);
    let leader = world.leader().expect("a leader");
    world.handle_event(leader, ControlEvent::EntryLinked(SECOND_ENTRY, EntryHello::default()));
    world.repeat_announcements(leader);
    let end = world.now + 5 * SECOND;
    while world.promoted.is_empty() && world.now < end {
        world.renew_lease(leader, SECOND_ENTRY);
        report_reachability(&mut world, leader, SECOND_ENTRY, false);
        world.run(SECOND / 10);
    }
    let (at, ..) = world.promoted.first().expect("a promotion");
    assert!(*at >= renewed_at + LEASE, "after {:?}", at.since(renewed_at));
}
