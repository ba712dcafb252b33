//! Whole configurations: the highest version wins, repeats are accepted, and
//! nothing accepted is lost or shown older.

mod control_world;

use std::{sync::Arc, time::Duration};

use control_world::{ControlWorld, table};
use hawthornstack_decisions::{
    control_role::{OperatorOrder, OrderAnswer},
    identity::HostId,
    routes::{RouteError, RouteKind, RouteRule},
};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn formed() -> (ControlWorld, HostId) {
    let mut world = ControlWorld::start(3);
    world.run(3 * SECOND);
    let leader = world.leader().expect("a leader");
    (world, leader)
}

fn read(world: &mut ControlWorld, at: HostId) -> Option<OrderAnswer> {
    let ticket = world.order(at, OperatorOrder::ReadRoutes);
    world.run(SECOND / 10);
    world.answers.get(&ticket).cloned()
}

fn version(answer: Option<OrderAnswer>) -> Option<u64> {
    match answer {
        Some(OrderAnswer::Routes(table)) => Some(table.version),
        _ => None,
    }
}

#[test]
fn older_version_is_accepted_and_changes_nothing() {
    let (mut world, leader) = formed();
    assert!(world.replace(7, SECOND));
    assert!(world.replace(5, SECOND));
    assert!(world.replace(7, SECOND));
    assert_eq!(version(read(&mut world, leader)), Some(7));
}

#[test]
fn other_content_under_the_same_version_is_not_taken() {
    let (mut world, leader) = formed();
    assert!(world.replace(7, SECOND));
    let mut other = table(7);
    other.source = Arc::from("other");
    let order = OperatorOrder::ReplaceRoutes { table: Arc::new(other), at_unix_ms: 0 };
    world.order(leader, order);
    world.run(SECOND / 10);
    match read(&mut world, leader) {
        Some(OrderAnswer::Routes(held)) => assert_eq!(held.source, table(7).source),
        answer => panic!("{answer:?}"),
    }
}

#[test]
fn follower_names_the_leader() {
    let (mut world, leader) = formed();
    let follower = [1, 2, 3].map(HostId).into_iter().find(|id| *id != leader).expect("one");
    assert_eq!(read(&mut world, follower), Some(OrderAnswer::NotLeader(leader)));
}

#[test]
fn isolated_leader_does_not_read_back() {
    let (mut world, leader) = formed();
    assert!(world.replace(7, SECOND));
    let others: Vec<HostId> = [1, 2, 3].map(HostId).into();
    world.isolate(leader, &others, true);
    world.run(2 * SECOND);
    let answer = read(&mut world, leader);
    assert!(!matches!(answer, Some(OrderAnswer::Routes(_))), "{answer:?}");
    assert!(world.replace(9, 3 * SECOND));
    world.isolate(leader, &others, false);
    world.run(2 * SECOND);
    let next = world.leader().expect("a leader");
    assert_eq!(version(read(&mut world, next)), Some(9));
}

#[test]
fn change_is_in_the_audit_trail() {
    let (mut world, leader) = formed();
    assert!(world.replace(7, SECOND));
    let control = world.host(leader).expect("a host").control();
    let last = control.audit.last().expect("a record");
    assert_eq!(last.changes.len(), 1);
    assert!(last.changes[0].to_string().contains('7'));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]
    /// Disks are lost one at a time, each after its host was taken in again,
    /// while everything else loses power.
    #[test]
    fn accepted_version_outlives_a_lost_disk(wiped in 1u32..4, waits in 0u64..400, rounds in 1usize..4) {
        let (mut world, _) = formed();
        let mut accepted = 0;
        for round in 0..rounds {
            let next = accepted + 3;
            prop_assert!(world.replace(next, 10 * SECOND));
            accepted = next;
            world.run(Duration::from_millis(waits));
            let wiped = HostId(1 + (wiped + round as u32) % 3);
            for id in [1, 2, 3].map(HostId) {
                match id == wiped {
                    true => world.wipe(id),
                    false => world.kill(id),
                }
            }
            world.run(SECOND);
            for id in [1, 2, 3].map(HostId) {
                world.boot(id, false);
            }
            world.run(6 * SECOND);
            let leader = world.leader();
            prop_assert!(leader.is_some());
            let answer = leader.and_then(|leader| read(&mut world, leader));
            prop_assert_eq!(version(answer), Some(accepted));
        }
    }
}

#[test]
fn contradictions_are_refused_with_the_mend() {
    let route = |name: &str, service: &str, timeout| RouteRule {
        name: Arc::from(name),
        database: Arc::from("seats"),
        path: Arc::from("/"),
        kind: RouteKind::Primary,
        timeout,
        objective: SECOND,
        priority: 1,
        service: Arc::from(service),
    };
    let with = |routes: Vec<RouteRule>| {
        let mut table = table(1);
        table.routes = routes;
        table.check()
    };
    assert!(with(vec![route("r", "books", SECOND)]).is_ok());
    let unknown = with(vec![route("r", "nowhere", SECOND)]);
    assert!(matches!(unknown, Err(RouteError::UnknownService { .. })));
    let no_time = with(vec![route("r", "books", Duration::ZERO)]);
    assert!(matches!(no_time, Err(RouteError::ZeroTimeout { .. })));
    let shared = with(vec![route("r", "books", SECOND), route("s", "books", SECOND)]);
    assert!(matches!(shared, Err(RouteError::DuplicatePath { .. })));
}
