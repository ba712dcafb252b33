//! Load pattern: hundreds of databases, services and entry hosts start at once, so that the
//! leader's log grows by thousands of entries within seconds.

mod control_world;

use std::{sync::Arc, time::Duration};

use control_world::{ControlWorld, numbered_instance, renewal, table};
use hawthornstack_decisions::{
    control_role::{ControlEvent, EntryHello, EntryUpdate, OperatorOrder},
    identity::HostId,
    instances::InstanceRole,
    routes::RouteTable,
};

const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);

fn world_with_leader() -> (ControlWorld, HostId) {
    let (mut world, leader) = ControlWorld::start_with_leader();
    // Real disks sync the records that have gathered together.
    world.hosts.values_mut().for_each(|host| host.sync_time = SECOND / 100_000);
    (world, leader)
}

fn states_sent_to(world: &ControlWorld, to: HostId) -> usize {
    let updates = world.updates.iter().filter(|(host, _)| *host == to);
    updates.filter(|(_, update)| matches!(update, EntryUpdate::State { .. })).count()
}

/// Guards against a copy of the whole state for each 64 entries: with 2,100 databases a
/// control host that applied 1,700 entries at once grew by 118 MB, and ran out of memory.
#[test]
fn snapshots_copy_a_growing_state_rarely() {
    const DATABASES: usize = 2_000;
    let (mut world, leader) = world_with_leader();
    for number in 0..DATABASES {
        world.announce(leader, &numbered_instance(number as u64, InstanceRole::Replica));
        world.run(MILLISECOND / 10);
    }
    world.run(SECOND);
    for (id, copied) in &world.records_in_snapshots {
        let known = world.host(*id).expect("a host").control().instances.len();
        assert_eq!(known, DATABASES, "{id}");
        assert!(*copied <= 2 * DATABASES, "{id} copied {copied} records");
    }
}

/// A second, different load: few databases, and large configurations. Guards against a log
/// that keeps hundreds of them in memory.
#[test]
fn large_configurations_leave_the_log() {
    let (mut world, leader) = world_with_leader();
    for version in 1..=300 {
        let text = format!("{{\"version\":{version},\"note\":\"{}\"}}", "x".repeat(100_000));
        let table = Arc::new(RouteTable { source: Arc::from(text), ..table(version) });
        world.order(leader, OperatorOrder::ReplaceRoutes { table, at_unix_ms: 0 });
        world.run(MILLISECOND);
    }
    world.run(SECOND);
    for host in world.hosts.values().filter_map(|host| host.host.as_ref()) {
        let log = host.agreement().log();
        assert!(log.len() < 64, "{} entries", log.len());
        assert_eq!(host.control().routes_version(), 300);
    }
}

/// Guards against a message to every entry host for each service that gets its primary: at
/// 700 services and 295 hosts the leader sent 60,000 of them a second, and lost its lead.
#[test]
fn states_of_a_burst_are_gathered() {
    const HOSTS: u32 = 100;
    const SERVICES: u64 = 200;
    let (mut world, leader) = world_with_leader();
    for number in 0..HOSTS {
        world.link_and_renew(leader, HostId(100 + number), EntryHello::default());
    }
    world.run(SECOND / 10);
    let before = states_sent_to(&world, HostId(150));
    for number in 0..SERVICES {
        world.announce_primary(leader, number);
        world.run(MILLISECOND);
    }
    world.run(SECOND / 10);
    let sent = states_sent_to(&world, HostId(150)) - before;
    // 200 ms of changes, at 0.2 ms for each of the hosts.
    assert!(sent <= 12, "{sent} states");
    let last = world.updates.iter().rev().find_map(|(_, update)| match update {
        EntryUpdate::State { index, .. } => Some(*index),
        _ => None,
    });
    let control = world.host(leader).expect("the leader").control();
    assert_eq!(control.terms.len() as u64, SERVICES);
    assert!(last.is_some_and(|index| index + 2 * SERVICES > control.applied));
}

/// Guards against a look at all services for each announcement, which kept the leader from
/// its heartbeats: the tasks of a burst run together, and those after a pause at once.
#[test]
fn leader_tasks_of_a_burst_run_together() {
    const SERVICES: u64 = 500;
    let (mut world, leader) = world_with_leader();
    for number in 0..SERVICES {
        world.announce_primary(leader, number);
        world.run(MILLISECOND);
    }
    world.run(SECOND);
    let length = |world: &ControlWorld| {
        world.host(leader).map(|host| host.agreement().log().last_index()).expect("the leader")
    };
    let before = length(&world);
    world.announce_primary(leader, SERVICES);
    let first = length(&world);
    assert!(first > before, "the first announcement waits");
    for number in 1..=5 {
        world.announce_primary(leader, SERVICES + number);
    }
    assert_eq!(length(&world), first, "each announcement ran the tasks");
    world.run(20 * MILLISECOND);
    assert!(length(&world) >= first + 10, "two entries for each of five databases");
}

/// Guards against all terms for every entry host at a change of leader: the new leader has
/// an old report of what each host has, and 700 terms for 295 hosts took 120 MB.
#[test]
fn new_leader_waits_for_reports() {
    const HOST: HostId = HostId(100);
    let (mut world, leader) = world_with_leader();
    for control in [1, 2, 3].map(HostId) {
        world.handle_event(control, ControlEvent::EntryLinked(HOST, EntryHello::default()));
        let report = renewal(world.now, 0, 0, Some(leader));
        world.handle_event(control, ControlEvent::Entry(HOST, report));
    }
    for number in 0..20 {
        world.announce_primary(leader, number);
        world.run(10 * MILLISECOND);
    }
    let sent = world.updates.iter().rev().find_map(|(_, update)| match update {
        EntryUpdate::State { index, .. } => Some(*index),
        _ => None,
    });
    world.kill(leader);
    world.run(2 * SECOND);
    let next = world.leader().expect("a new leader");
    world.updates.clear();
    world.announce_primary(next, 20);
    world.run(SECOND / 10);
    assert_eq!(states_sent_to(&world, HOST), 0, "sent without a report");
    let report = renewal(world.now, sent.expect("a state"), 0, None);
    world.handle_event(next, ControlEvent::Entry(HOST, report));
    let terms = world.updates.iter().filter_map(|(_, update)| match update {
        EntryUpdate::State { terms, .. } => Some(terms.len()),
        _ => None,
    });
    assert_eq!(terms.collect::<Vec<_>>(), [1], "only what changed since");
}
