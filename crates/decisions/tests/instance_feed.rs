//! Load pattern: hundreds of databases announce themselves, and each change must reach
//! hundreds of entry hosts that are linked to all control hosts.

mod control_world;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use control_world::{ControlWorld, departure_of, numbered_instance, renewal};
use hawthornstack_decisions::{
    control_role::{ControlEvent, EntryHello, EntryUpdate},
    identity::HostId,
    instances::{InstanceRecord, InstanceRole},
};

const ENTRY: HostId = HostId(100);
const SECOND: Duration = Duration::from_secs(1);
/// Size of an announcement in a message, without packing.
const RECORD_BYTES: usize = 180;
const CONTROL_HOSTS: [HostId; 3] = [HostId(1), HostId(2), HostId(3)];

fn replica(number: u64, sequence: u64) -> InstanceRecord {
    let record = numbered_instance(number, InstanceRole::Replica);
    InstanceRecord { draining: sequence > 1, sequence, ..record }
}

/// Control with a configuration, without which no databases are sent, and its leader.
fn configured_world() -> (ControlWorld, HostId) {
    let (mut world, leader) = ControlWorld::start_with_leader();
    assert!(world.replace(5, SECOND));
    (world, leader)
}

fn renew(world: &mut ControlWorld, at: HostId, follows: Option<HostId>) {
    let report = renewal(world.now, 0, 0, follows);
    world.handle_event(at, ControlEvent::Entry(ENTRY, report));
}

/// An entry host that is linked to all control hosts and follows the leader, which is
/// returned with another control host.
fn world_with_follower() -> (ControlWorld, HostId, HostId) {
    let (mut world, leader) = configured_world();
    let other = CONTROL_HOSTS.into_iter().find(|host| *host != leader).expect("a follower");
    for host in CONTROL_HOSTS {
        world.handle_event(host, ControlEvent::EntryLinked(ENTRY, EntryHello::default()));
        renew(&mut world, host, Some(leader));
    }
    world.run(2 * SECOND);
    for host in CONTROL_HOSTS {
        renew(&mut world, host, Some(leader));
    }
    forget_updates(&mut world);
    (world, leader, other)
}

fn forget_updates(world: &mut ControlWorld) {
    world.updates.clear();
    world.update_senders.clear();
}

fn records_in(update: &EntryUpdate) -> Vec<InstanceRecord> {
    match update {
        EntryUpdate::Announced(records) => records.clone(),
        EntryUpdate::PackedInstances(packed) => packed.unpack().expect("records"),
        _ => Vec::new(),
    }
}

fn ids_of(records: &[InstanceRecord]) -> impl Iterator<Item = String> {
    records.iter().map(|record| record.key.id.to_string())
}

/// Senders of each message with databases, and the number of databases in it.
fn announcements(world: &ControlWorld) -> Vec<(HostId, usize)> {
    let updates = world.updates.iter().zip(&world.update_senders);
    let counted = updates.map(|((_, update), sender)| (*sender, records_in(update).len()));
    counted.filter(|(_, count)| *count > 0).collect()
}

/// Ids of all databases that entry hosts were sent, in order.
fn announced_ids(world: &ControlWorld) -> Vec<String> {
    let records = world.updates.iter().map(|(_, update)| records_in(update));
    records.flat_map(|records| ids_of(&records).collect::<Vec<_>>()).collect()
}

/// Links a host that follows nobody to all control hosts, and lets it renew at each.
fn link_host(world: &mut ControlWorld, host: HostId, unpacks_records: bool) {
    for control in CONTROL_HOSTS {
        world.link_and_renew(control, host, EntryHello { data_centre: None, unpacks_records });
    }
}

/// Guards against a copy of each change from every control host, and against a message for
/// each of hundreds of changes: at 720 databases and 295 entry hosts, five control hosts sent
/// 100 MB in four seconds.
#[test]
fn changes_reach_a_host_once() {
    let (mut world, leader, _) = world_with_follower();
    for number in 0..200 {
        let host = CONTROL_HOSTS[number as usize % CONTROL_HOSTS.len()];
        world.announce(host, &replica(number, 1));
        world.run(SECOND / 1_000);
    }
    world.run(SECOND / 10);
    let announced = announcements(&world);
    assert!(announced.iter().all(|(sender, _)| *sender == leader), "{announced:?}");
    assert_eq!(announced.iter().map(|(_, count)| count).sum::<usize>(), 200);
    assert!(announced.len() <= 20, "{} messages", announced.len());
}

/// Guards against a change that an entry host never learns of, since the leader ended before
/// it sent the change. Control hosts that do not lead send no databases: at 2,100 databases
/// and 295 entry hosts without a leader, five of them sent 100 MB in two seconds and ran out
/// of memory.
#[test]
fn next_leader_sends_what_the_last_one_missed() {
    let (mut world, leader, other) = world_with_follower();
    world.kill(leader);
    world.announce(other, &replica(7, 1));
    renew(&mut world, other, None);
    assert_eq!(announcements(&world), []);
    world.run(2 * SECOND);
    let next = world.leader().expect("a new leader");
    renew(&mut world, next, None);
    assert_eq!(announcements(&world), [(next, 1)]);
    renew(&mut world, next, Some(next));
    world.announce(other, &replica(8, 1));
    world.run(SECOND / 10);
    assert_eq!(announcements(&world), [(next, 1), (next, 1)]);
}

/// Guards against a database that is in use again after it has left: its change was gathered,
/// or was not sent by the last leader, and is sent after the news of its departure.
#[test]
fn departed_database_is_not_announced() {
    let (mut world, leader, other) = world_with_follower();
    // The first change is sent at once, the second one is gathered.
    world.announce(other, &replica(7, 1));
    world.announce(other, &replica(8, 1));
    world.handle_event(other, ControlEvent::Departed(departure_of(&replica(8, 1))));
    world.run(SECOND / 10);
    assert_eq!(announcements(&world), [(leader, 1)]);
    world.kill(leader);
    world.run(2 * SECOND);
    let next = world.leader().expect("a new leader");
    renew(&mut world, next, None);
    assert_eq!(announced_ids(&world), ["i-7", "i-7"]);
}

/// Load pattern: all hosts start at once and link to all control hosts while the databases
/// announce themselves. Guards against a copy of the whole directory from every control host,
/// and for each entry host.
#[test]
fn directory_is_packed_once_at_a_start() {
    let (mut world, leader) = configured_world();
    // Real disks sync the records that have gathered together.
    world.hosts.values_mut().for_each(|host| host.sync_time = SECOND / 100_000);
    for number in 0..700 {
        world.announce(leader, &replica(number, 1));
    }
    world.run(SECOND / 10);
    for number in 0..300 {
        link_host(&mut world, HostId(100 + number), true);
        world.announce(leader, &replica(700 + u64::from(number), 1));
        world.run(SECOND / 1_000);
    }
    world.run(SECOND / 10);
    let mut bytes = 0;
    let mut known: BTreeMap<HostId, BTreeSet<String>> = BTreeMap::new();
    for ((host, update), sender) in world.updates.iter().zip(&world.update_senders) {
        let records = records_in(update);
        assert!(records.is_empty() || *sender == leader, "{sender} sent {}", records.len());
        bytes += match update {
            EntryUpdate::PackedInstances(packed) => packed.packed_bytes(),
            _ => records.len() * RECORD_BYTES,
        };
        known.entry(*host).or_default().extend(ids_of(&records));
    }
    for number in 0..300 {
        assert_eq!(known[&HostId(100 + number)].len(), 1_000);
    }
    let plain = 300 * 1_000 * RECORD_BYTES;
    assert!(bytes < plain / 4, "{bytes} bytes, {plain} without packing");
}

fn world_with_databases() -> (ControlWorld, HostId) {
    let (mut world, leader) = configured_world();
    for number in 0..20 {
        world.announce(leader, &replica(number, 1));
    }
    world.run(SECOND / 10);
    (world, leader)
}

/// Guards against a packed directory that names a database which left after it was packed.
#[test]
fn packed_directory_forgets_departed_databases() {
    let (mut world, leader) = world_with_databases();
    link_host(&mut world, ENTRY, true);
    assert_eq!(announced_ids(&world).len(), 20);
    world.handle_event(leader, ControlEvent::Departed(departure_of(&replica(8, 1))));
    forget_updates(&mut world);
    link_host(&mut world, HostId(101), true);
    let ids = announced_ids(&world);
    assert!(ids.len() == 19 && !ids.contains(&String::from("i-8")), "{ids:?}");
}

/// Guards against a message that an older build cannot read: it would close its link again
/// and again.
#[test]
fn older_builds_get_plain_records() {
    let (mut world, leader) = world_with_databases();
    link_host(&mut world, ENTRY, false);
    assert_eq!(announcements(&world), [(leader, 20)]);
    assert!(
        !world.updates.iter().any(|(_, update)| matches!(update, EntryUpdate::PackedInstances(_)))
    );
}

/// A second, different load: one change in a quiet time. Guards against one that waits for
/// others.
#[test]
fn single_change_is_sent_at_once() {
    let (mut world, leader, _) = world_with_follower();
    world.announce(leader, &replica(1, 1));
    assert_eq!(announcements(&world), [(leader, 1)]);
    world.run(SECOND);
    world.announce(leader, &replica(1, 2));
    assert_eq!(announcements(&world), [(leader, 1), (leader, 1)]);
}
