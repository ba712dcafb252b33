//! Replacement of the whole route table: the highest version wins, repeated
//! requests are accepted, and an accepted version is neither lost nor followed by
//! a read of an older one.

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

fn start_world() -> (ControlWorld, HostId) {
    let (world, leader) = ControlWorld::start_with_leader();
    (world, leader)
}

fn read_routes(world: &mut ControlWorld, at: HostId) -> Option<OrderAnswer> {
    let ticket = world.order(at, OperatorOrder::ReadRoutes);
    world.run(SECOND / 10);
    world.answers.get(&ticket).cloned()
}

fn routes_version(answer: Option<OrderAnswer>) -> Option<u64> {
    match answer {
        Some(OrderAnswer::Routes(table)) => Some(table.version),
        _ => None,
    }
}

#[test]
fn older_version_is_accepted_without_effect() {
    let (mut world, leader) = start_world();
    assert!(world.replace(7, SECOND));
    assert!(world.replace(5, SECOND));
    assert!(world.replace(7, SECOND));
    assert_eq!(routes_version(read_routes(&mut world, leader)), Some(7));
}

#[test]
fn other_content_with_same_version_is_ignored() {
    let (mut world, leader) = start_world();
    assert!(world.replace(7, SECOND));
    let mut other = table(7);
    other.source = Arc::from("other");
    let order = OperatorOrder::ReplaceRoutes { table: Arc::new(other), at_unix_ms: 0 };
    world.order(leader, order);
    world.run(SECOND / 10);
    match read_routes(&mut world, leader) {
        Some(OrderAnswer::Routes(current)) => assert_eq!(current.source, table(7).source),
        answer => panic!("{answer:?}"),
    }
}

#[test]
fn follower_names_the_leader() {
    let (mut world, leader) = start_world();
    let follower = [1, 2, 3].map(HostId).into_iter().find(|id| *id != leader).expect("one");
    assert_eq!(read_routes(&mut world, follower), Some(OrderAnswer::NotLeader(leader)));
}

#[test]
fn isolated_leader_does_not_serve_reads() {
    let (mut world, leader) = start_world();
    assert!(world.replace(7, SECOND));
    let others: Vec<HostId> = [1, 2, 3].map(HostId).into();
    world.isolate(leader, &others, true);
    world.run(2 * SECOND);
    let answer = read_routes(&mut world, leader);
    assert!(!matches!(answer, Some(OrderAnswer::Routes(_))), "{answer:?}");
    assert!(world.replace(9, 3 * SECOND));
    world.isolate(leader, &others, false);
    world.run(2 * SECOND);
    let next = world.leader().expect("a leader");
    assert_eq!(routes_version(read_routes(&mut world, next)), Some(9));
}

#[test]
fn replacement_is_in_audit_trail() {
    let (mut world, leader) = start_world();
    assert!(world.replace(7, SECOND));
    let control = world.host(leader).expect("a host").control();
    let last = control.audit.last().expect("a record");
    assert_eq!(last.changes.len(), 1);
    assert!(last.changes[0].to_string().contains('7'));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]
    /// In each round one host loses its disk while all others lose power. The next
    /// disk is lost only after the wiped host had time to be admitted again.
    #[test]
    fn accepted_version_survives_lost_disks(first_wiped in 1u32..4, wait_ms in 0u64..400, rounds in 1usize..4) {
        let (mut world, _) = start_world();
        let mut accepted = 0;
        for round in 0..rounds {
            let next = accepted + 3;
            prop_assert!(world.replace(next, 10 * SECOND));
            accepted = next;
            world.run(Duration::from_millis(wait_ms));
            let wiped = HostId(1 + (first_wiped + round as u32) % 3);
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
            let answer = leader.and_then(|leader| read_routes(&mut world, leader));
            prop_assert_eq!(routes_version(answer), Some(accepted));
        }
    }
}

#[test]
fn inconsistent_routes_are_rejected() {
    let route = |name: &str, service: &str, timeout| RouteRule {
        name: Arc::from(name),
        database: Arc::from("seats"),
        path: Arc::from("/"),
        kind: RouteKind::Primary,
        timeout,
        objective: SECOND,
        priority: 1,
        service: Arc::from(service),
        anonymous: false,
    };
    let check_routes = |routes: Vec<RouteRule>| {
        let mut table = table(1);
        table.routes = routes;
        table.check()
    };
    assert!(check_routes(vec![route("r", "books", SECOND)]).is_ok());
    let unknown = check_routes(vec![route("r", "nowhere", SECOND)]);
    assert!(matches!(unknown, Err(RouteError::UnknownService { .. })));
    let zero_timeout = check_routes(vec![route("r", "books", Duration::ZERO)]);
    assert!(matches!(zero_timeout, Err(RouteError::ZeroTimeout { .. })));
    let duplicate_path =
        check_routes(vec![route("r", "books", SECOND), route("s", "books", SECOND)]);
    assert!(matches!(duplicate_path, Err(RouteError::DuplicatePath { .. })));
}
