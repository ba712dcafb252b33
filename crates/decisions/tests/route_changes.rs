//! Load pattern: configurations of thousands of routes and keys follow each other, each with
//! a few changes, and reach hundreds of entry hosts.

mod control_world;

use std::{sync::Arc, time::Duration};

use control_world::{ControlWorld, renewal, table};
use hawthornstack_decisions::{
    control_role::{ControlEvent, EntryHello, EntryUpdate, OperatorOrder},
    identity::{CallerKey, HostId},
    routes::{PackedRoutes, RouteKind, RouteRule, RouteTable, WorkspaceRule},
};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn route(number: u64) -> RouteRule {
    RouteRule {
        name: Arc::from(format!("r-{number}")),
        database: Arc::from(format!("d{:x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))),
        path: Arc::from("/"),
        kind: RouteKind::Primary,
        timeout: Duration::from_millis(800 + number % 7),
        objective: Duration::from_millis(100),
        priority: 2,
        service: Arc::from("books"),
        anonymous: false,
    }
}

fn workspace(number: u64) -> WorkspaceRule {
    let key = format!("key-{:x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let name = Arc::from(format!("w{number}"));
    WorkspaceRule { name, keys: vec![CallerKey::new(&key)], cap: None }
}

fn numbered_table(version: u64, routes: &[u64], workspaces: &[u64]) -> RouteTable {
    RouteTable {
        routes: routes.iter().copied().map(route).collect(),
        workspaces: Some(workspaces.iter().copied().map(workspace).collect()),
        source: Arc::from(""),
        ..table(version)
    }
}

/// Guards against a whole configuration of 100 kB for each changed key: at 300 machines that
/// was most of what control sent between data centres.
#[test]
fn changes_are_small() {
    let numbers: Vec<u64> = (0..2_000).collect();
    let old = numbered_table(1, &numbers, &numbers);
    let mut changed = numbers.clone();
    changed.remove(700);
    changed.insert(3, 5_000);
    let new = numbered_table(2, &numbers, &changed);
    let packed = PackedRoutes::pack_change(&old, &new).expect("packed");
    assert!(packed.packed_bytes() < 500, "{} bytes", packed.packed_bytes());
    assert_eq!(packed.unpack(Some(&old)).expect("unpacked"), new);
}

/// Guards against a host that serves by a mixture of configurations, with keys that were
/// removed: a change applies to just the one that it was made for.
#[test]
fn changes_of_other_configurations_are_refused() {
    let old = numbered_table(1, &[1, 2, 3], &[1, 2]);
    let new = numbered_table(2, &[1, 3], &[2, 4]);
    let packed = PackedRoutes::pack_change(&old, &new).expect("packed");
    let same_version = numbered_table(1, &[1, 2, 9], &[1, 2]);
    let other_workspace = numbered_table(1, &[1, 2, 3], &[1, 5]);
    let other_version = numbered_table(3, &[1, 2, 3], &[1, 2]);
    for other in [same_version, other_workspace, other_version] {
        assert!(packed.unpack(Some(&other)).is_err());
    }
    assert!(packed.unpack(None).is_err());
    assert_eq!(packed.unpack(Some(&old)).expect("unpacked"), new);
}

proptest! {
    /// Guards against edits that lose, repeat or reorder routes or keys.
    #[test]
    fn changes_result_in_the_new_configuration(
        old_routes in proptest::collection::vec(0_u64..30, 0..40),
        new_routes in proptest::collection::vec(0_u64..30, 0..40),
        old_workspaces in proptest::collection::vec(0_u64..10, 0..15),
        new_workspaces in proptest::collection::vec(0_u64..10, 0..15),
    ) {
        let old = numbered_table(1, &old_routes, &old_workspaces);
        let new = numbered_table(2, &new_routes, &new_workspaces);
        let packed = PackedRoutes::pack_change(&old, &new).expect("packed");
        prop_assert_eq!(packed.unpack(Some(&old)).expect("unpacked"), new);
    }
}

/// Sends configurations to the leader and returns what a host is sent that confirms each of
/// them, or none of them, and the configuration that results.
fn feed(confirms: bool, unpacks_records: bool) -> (usize, RouteTable) {
    const HOST: HostId = HostId(100);
    let (mut world, leader) = ControlWorld::start_with_leader();
    let hello = EntryHello { data_centre: None, unpacks_records };
    world.handle_event(leader, ControlEvent::EntryLinked(HOST, hello));
    let numbers: Vec<u64> = (0..500).collect();
    let (mut current, mut applied, mut seen, mut bytes) = (None::<RouteTable>, 0, 0, 0);
    for version in 1..=10 {
        let table = numbered_table(version, &numbers, &[version]);
        let order = OperatorOrder::ReplaceRoutes { table: Arc::new(table), at_unix_ms: 0 };
        world.order(leader, order);
        for _ in 0..8 {
            world.run(SECOND / 2);
            for (_, update) in &world.updates[seen..] {
                let EntryUpdate::State { index, routes, .. } = update else {
                    continue;
                };
                if let Some(packed) = routes.as_ref().filter(|_| confirms || version == 10) {
                    bytes += packed.packed_bytes();
                    current = Some(packed.unpack(current.as_ref()).expect("unpacked"));
                }
                applied = *index;
            }
            seen = world.updates.len();
            let known = current.as_ref().map_or(0, |table| table.version);
            let report = renewal(world.now, if confirms { applied } else { 0 }, known, None);
            world.handle_event(leader, ControlEvent::Entry(HOST, report));
        }
    }
    (bytes, current.expect("a configuration"))
}

/// Guards against whole configurations for hosts that have the one before.
#[test]
fn hosts_are_sent_changes() {
    let numbers: Vec<u64> = (0..500).collect();
    let newest = numbered_table(10, &numbers, &[10]);
    let whole = PackedRoutes::pack(&newest).expect("packed").packed_bytes();
    let (bytes, table) = feed(true, true);
    assert_eq!(table, newest);
    assert!(bytes < 2 * whole, "{bytes} bytes, {whole} for a whole configuration");
    let (bytes, table) = feed(true, false);
    assert_eq!(table, newest);
    assert!(bytes >= 9 * whole, "older builds do not read changes");
}

/// A second load: a host that confirms nothing. Guards against changes of a configuration
/// that it never had.
#[test]
fn hosts_without_a_configuration_get_it_whole() {
    let numbers: Vec<u64> = (0..500).collect();
    let (_, table) = feed(false, true);
    assert_eq!(table, numbered_table(10, &numbers, &[10]));
}
