//! Announcements of other writers that reach a control host while it starts.

mod control_world;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use control_world::{ControlWorld, instance};
use hawthornstack_decisions::{
    control_role::{ControlEvent, EntryHello, EntryUpdate},
    identity::HostId,
    instances::{InstanceKey, InstanceRecord, InstanceRole},
};

const ENTRY: HostId = HostId(101);
const SECOND: Duration = Duration::from_secs(1);

/// A record of a service that is not configured, with the address and a later start than those
/// of a database, and also with its id.
fn odd_record(database: &InstanceRecord, same_id: bool) -> InstanceRecord {
    let id = if same_id { database.key.id.clone() } else { Arc::from("odd") };
    InstanceRecord {
        key: InstanceKey { id, born_ms: 9_000 },
        service: Arc::from("elsewhere"),
        ..database.clone()
    }
}

/// A host that has just started does not know yet which services are configured: an entry of
/// another one must not take the address or the id of a database, nor reach entry hosts.
#[test]
fn odd_record_displaces_no_database_on_a_host_that_starts() {
    for same_id in [false, true] {
        let mut world = ControlWorld::start(3);
        world.run(3 * SECOND);
        assert!(world.replace(5, SECOND));
        let database = instance("i1", 1, InstanceRole::Primary);
        world.announce(HostId(1), &database);
        world.run(SECOND);
        let odd = odd_record(&database, same_id);
        for host in [1, 2, 3].map(HostId) {
            world.kill(host);
        }
        for host in [1, 2, 3].map(HostId) {
            world.boot(host, false);
            world.handle_event(host, ControlEvent::Announced(odd.clone()));
            world.handle_event(host, ControlEvent::EntryLinked(ENTRY, EntryHello::default()));
        }
        for _ in 0..3_000 {
            world.run(Duration::from_millis(1));
            [1, 2, 3].map(HostId).into_iter().for_each(|host| world.renew_lease(host, ENTRY));
        }
        let sent = world.updates.iter().flat_map(|(_, update)| match update {
            EntryUpdate::Announced(records) => records.clone(),
            _ => Vec::new(),
        });
        let services: BTreeSet<Arc<str>> = sent.map(|record| record.service).collect();
        assert_eq!(services, BTreeSet::from([Arc::from("books")]), "same id: {same_id}");
        let leader = world.leader().expect("a leader");
        for host in [1, 2, 3].map(HostId) {
            let directory = world.host(host).expect("a host").directory();
            let known = directory.get_by_key(&database.key);
            assert!(known.is_some(), "same id: {same_id}, {host:?}");
        }
        assert!(world.host(leader).expect("a host").control().instances.contains_key("i1"));
    }
}

/// An entry of a service that is not configured must not keep a database out that announces
/// itself after it, with an earlier start.
#[test]
fn odd_record_keeps_no_database_out() {
    for same_id in [false, true] {
        let mut world = ControlWorld::start(3);
        world.run(3 * SECOND);
        assert!(world.replace(5, SECOND));
        let database = instance("i1", 1, InstanceRole::Primary);
        world.announce(HostId(1), &odd_record(&database, same_id));
        world.run(SECOND);
        world.announce(HostId(2), &database);
        world.run(SECOND);
        for host in [1, 2, 3].map(HostId) {
            let directory = world.host(host).expect("a host").directory();
            let known = directory.get_by_key(&database.key);
            assert!(known.is_some(), "same id: {same_id}, {host:?}");
        }
    }
}
