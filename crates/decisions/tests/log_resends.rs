//! Load pattern: hundreds of hosts and databases join at once, so that the log grows by
//! thousands of entries a second, and a control host misses some of them.

mod control_world;

use std::{sync::Arc, time::Duration};

use control_world::{ControlWorld, table};
use hawthornstack_decisions::{
    control_role::{EntryHello, OperatorOrder},
    identity::HostId,
    routes::RouteTable,
};

/// Largest frame between control hosts, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
const SECOND: Duration = Duration::from_secs(1);
/// Entry hosts that join, each with one entry in the log.
const JOINS: u32 = 400;
/// Time between two joins: twenty fit into a round trip.
const JOIN_INTERVAL: Duration = Duration::from_micros(100);

fn world_with_leader() -> (ControlWorld, HostId, HostId) {
    let (world, leader) = ControlWorld::start_with_leader();
    let follower = if leader == HostId(3) { HostId(2) } else { HostId(3) };
    (world, leader, follower)
}

fn join(world: &mut ControlWorld, leader: HostId, number: u32) {
    world.link_and_renew(leader, HostId(1_000 + number), EntryHello::default());
}

/// Guards against a resend of all missing entries for each append that the host rejects:
/// those that were on their way when the first one was rejected are rejected as well. In a
/// deployment of 295 entry hosts and 720 databases the leader sent 80 MB a second.
#[test]
fn missed_entries_are_resent_once() {
    let (mut world, leader, follower) = world_with_leader();
    let before = world.entries_sent.get(&follower).copied().unwrap_or(0);
    for number in 0..JOINS {
        world.isolate(follower, &[leader], (20..40).contains(&number));
        join(&mut world, leader, number);
        world.run(JOIN_INTERVAL);
    }
    world.run(SECOND);
    let sent = world.entries_sent[&follower] - before;
    assert!(sent < 3 * JOINS as usize, "{sent} entries sent for {JOINS} joins");
    let holders = world.host(follower).map(|host| host.control().holders.len());
    assert_eq!(holders, Some(JOINS as usize), "the host has caught up");
}

/// A second load: entries are missed one after the other, with pauses. Guards against a
/// rejection that is taken for an old one and leaves the host behind.
#[test]
fn each_missed_entry_is_resent() {
    let (mut world, leader, follower) = world_with_leader();
    for number in 0..20 {
        world.isolate(follower, &[leader], true);
        join(&mut world, leader, number);
        world.run(SECOND / 100);
        world.isolate(follower, &[leader], false);
        join(&mut world, leader, 100 + number);
        world.run(SECOND / 4);
        let applied = |id| world.host(id).map(|host| host.agreement().commit());
        assert_eq!(applied(follower), applied(leader), "after {number}");
    }
}

/// Load pattern: large configurations in quick succession while a control host is away.
/// Guards against entries that fill more than a frame: the link would close, again and
/// again, and the host would not catch up before it is sent a snapshot.
#[test]
fn missed_configurations_fit_into_frames() {
    let (mut world, leader, follower) = world_with_leader();
    world.isolate(follower, &[leader], true);
    for version in 1..=40 {
        let text = format!("{{\"version\":{version},\"note\":\"{}\"}}", "x".repeat(500_000));
        let table = Arc::new(RouteTable { source: Arc::from(text), ..table(version) });
        world.order(leader, OperatorOrder::ReplaceRoutes { table, at_unix_ms: 0 });
        world.run(SECOND / 100);
    }
    world.kept_appends = Some(Vec::new());
    world.isolate(follower, &[leader], false);
    world.run(SECOND);
    let appends = world.kept_appends.take().unwrap_or_default();
    assert!(appends.iter().map(|append| append.entries.len()).sum::<usize>() >= 40);
    for append in appends {
        let mut bytes = Vec::new();
        ciborium::into_writer(&append, &mut bytes).expect("encoded");
        assert!(bytes.len() < MAX_FRAME_BYTES, "{} bytes", bytes.len());
    }
    let applied = |id| world.host(id).map(|host| host.control().routes.as_ref()?.version.into());
    assert_eq!(applied(follower), Some(Some(40)));
    assert_eq!(applied(leader), Some(Some(40)));
}
