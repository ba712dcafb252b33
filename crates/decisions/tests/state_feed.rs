//! Load pattern: hundreds of services get their primaries, and configurations come in quick
//! succession, while entry hosts confirm late over narrow links.

mod control_world;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use control_world::{ControlWorld, renewal, table};
use hawthornstack_decisions::{
    clock::Moment,
    control_role::{ControlEvent, EntryHello, EntryReport, EntryUpdate, OperatorOrder},
    entry_role::EntryView,
    identity::HostId,
    packing::PackedRecords,
    primaries::ServiceTerm,
    routes::PackedRoutes,
};

const ENTRY: HostId = HostId(100);
const SECOND: Duration = Duration::from_secs(1);
const SERVICES: u64 = 60;

/// An entry host that applies what was sent to it when the test says so.
struct FedHost {
    view: EntryView,
    /// Updates of the world that are applied.
    seen: usize,
    /// False for a build that takes the terms of a state for all of them.
    reports_received: bool,
}

impl FedHost {
    fn new() -> Self {
        Self { view: EntryView::new(Arc::from("a")), seen: 0, reports_received: true }
    }

    fn renew(&self, world: &mut ControlWorld, at: HostId) {
        let (applied, version) = (self.view.applied(), self.view.routes_version());
        let mut report = renewal(world.now, applied, version, None);
        if let EntryReport::Renew { received, .. } = &mut report
            && !self.reports_received
        {
            *received = None;
        }
        world.handle_event(at, ControlEvent::Entry(ENTRY, report));
    }

    /// Applies everything sent so far, except for the states that `lost` selects.
    fn receive(&mut self, world: &ControlWorld, lost: impl Fn(u64) -> bool) {
        for (_, update) in &world.updates[self.seen..] {
            if let EntryUpdate::State { index, since, routes, .. } = update
                && !lost(*index)
            {
                let current = self.view.routes().cloned();
                let unpack = |packed: &Arc<PackedRoutes>| packed.unpack(current.as_deref());
                let routes = routes.as_ref().map(|packed| unpack(packed).expect("routes"));
                self.view.apply_state(*index, *since, routes.map(Arc::new), terms_in(update));
            }
        }
        self.seen = world.updates.len();
    }
}

fn world_with_entry() -> (ControlWorld, HostId, FedHost) {
    let (mut world, leader) = ControlWorld::start_with_leader();
    assert!(world.replace(1, SECOND));
    let hello = EntryHello { data_centre: None, unpacks_records: true };
    world.handle_event(leader, ControlEvent::EntryLinked(ENTRY, hello));
    let mut host = FedHost::new();
    for _ in 0..3 {
        host.renew(&mut world, leader);
        world.run(SECOND / 10);
        host.receive(&world, |_| false);
    }
    (world, leader, host)
}

fn terms_in(update: &EntryUpdate) -> Vec<ServiceTerm> {
    match update {
        EntryUpdate::State { terms, packed_terms, .. } => {
            PackedRecords::unpack_or(packed_terms.as_deref(), terms.clone()).expect("terms")
        }
        _ => Vec::new(),
    }
}

fn sent_states(world: &ControlWorld) -> impl Iterator<Item = (u64, bool, usize)> + '_ {
    world.updates.iter().filter_map(|(_, update)| match update {
        EntryUpdate::State { index, routes, .. } => {
            Some((*index, routes.is_some(), terms_in(update).len()))
        }
        _ => None,
    })
}

fn known_services(world: &ControlWorld, host: &FedHost, leader: HostId) -> (usize, usize) {
    let control = world.host(leader).expect("the leader").control();
    let known = control.terms.values().filter(|term| host.view.term(&term.service) == Some(term));
    (known.count(), control.terms.len())
}

/// Guards against a feed that sends the terms of all services whenever one changes: at 240
/// services and 295 entry hosts that took 61 MB in two seconds and the leader's memory.
#[test]
fn each_term_is_sent_once() {
    let (mut world, leader, mut host) = world_with_entry();
    let before = sent_states(&world).map(|(.., terms)| terms).sum::<usize>();
    for number in 0..SERVICES {
        world.announce_primary(leader, number);
        world.run(SECOND / 50);
        // Renewals in between confirm nothing: the link is slow.
        if number % 10 == 0 {
            host.renew(&mut world, leader);
        }
    }
    world.run(SECOND / 10);
    let sent = sent_states(&world).map(|(.., terms)| terms).sum::<usize>() - before;
    assert!(sent as u64 <= SERVICES, "{sent} terms");
    host.receive(&world, |_| false);
    assert_eq!(known_services(&world, &host, leader), (SERVICES as usize, SERVICES as usize));
}

/// Load pattern: all entry hosts return at once and have nothing. Guards against a copy of
/// all terms for each of them: at 700 services and 295 hosts that took 50 MB of the leader's
/// memory.
#[test]
fn returning_hosts_share_packed_terms() {
    let (mut world, leader, _) = world_with_entry();
    for number in 0..SERVICES {
        world.announce_primary(leader, number);
    }
    world.run(SECOND);
    world.updates.clear();
    for number in 0..100 {
        let hello = EntryHello { data_centre: None, unpacks_records: true };
        world.link_and_renew(leader, HostId(200 + number), hello);
    }
    let packed = world.updates.iter().filter_map(|(_, update)| match update {
        EntryUpdate::State { packed_terms, .. } => Some(packed_terms.clone().expect("packed")),
        _ => None,
    });
    let packed: Vec<_> = packed.collect();
    assert_eq!(packed.len(), 100);
    assert!(packed.iter().all(|terms| Arc::ptr_eq(terms, &packed[0])), "a copy for each host");
    assert_eq!(packed[0].unpack().expect("terms").len() as u64, SERVICES);
    assert!(packed[0].packed_bytes() < 40 * SERVICES as usize, "{}", packed[0].packed_bytes());
}

/// Guards against terms that are missing for good after changes were lost: the next ones
/// must not be applied without them.
#[test]
fn lost_changes_are_sent_again() {
    let (mut world, leader, mut host) = world_with_entry();
    let applied = host.view.applied();
    world.announce_primary(leader, 0);
    world.run(SECOND / 10);
    let lost: BTreeSet<u64> = sent_states(&world).map(|(index, ..)| index).collect();
    world.announce_primary(leader, 1);
    world.run(SECOND / 10);
    host.receive(&world, |index| lost.contains(&index));
    assert_eq!(host.view.applied(), applied, "changes were applied without the ones before");
    for _ in 0..6 {
        host.renew(&mut world, leader);
        world.run(SECOND / 2);
        host.receive(&world, |_| false);
    }
    assert_eq!(known_services(&world, &host, leader), (2, 2));
}

/// Guards against an older build that loses the terms of all other services, since it takes
/// the changes that it is sent for all terms.
#[test]
fn older_builds_get_all_terms() {
    let (mut world, leader, mut host) = world_with_entry();
    world.handle_event(leader, ControlEvent::EntryLinked(ENTRY, EntryHello::default()));
    host.reports_received = false;
    host.renew(&mut world, leader);
    for number in 0..4 {
        world.announce_primary(leader, number);
        world.run(SECOND / 10);
    }
    for (_, update) in &world.updates[host.seen..] {
        if let EntryUpdate::State { since, packed_terms, .. } = update {
            assert!(*since == 0 && packed_terms.is_none());
        }
    }
    host.receive(&world, |_| false);
    assert_eq!(known_services(&world, &host, leader), (4, 4));
}

/// Guards against whole configurations that queue on a narrow link: the host gets the one on
/// its way and then the newest.
#[test]
fn configuration_on_its_way_is_followed_by_the_newest() {
    let (mut world, leader, mut host) = world_with_entry();
    let before = sent_states(&world).filter(|(_, routes, _)| *routes).count();
    for version in 2..=12 {
        let order = OperatorOrder::ReplaceRoutes { table: Arc::new(table(version)), at_unix_ms: 0 };
        world.order(leader, order);
        world.run(SECOND / 10);
        host.renew(&mut world, leader);
    }
    host.receive(&world, |_| false);
    assert_eq!(host.view.routes_version(), 2);
    host.renew(&mut world, leader);
    world.run(SECOND / 10);
    host.receive(&world, |_| false);
    assert_eq!(host.view.routes_version(), 12);
    let sent = sent_states(&world).filter(|(_, routes, _)| *routes).count() - before;
    assert_eq!(sent, 2);
    let control = world.host(leader).expect("the leader").control();
    assert!(host.view.applied() > 0 && control.routes_version() == 12);
}

/// A second, different load: no change for long, then one. Guards against a host that waits
/// for a renewal before it learns of a change.
#[test]
fn single_change_is_sent_at_once() {
    let (mut world, leader, mut host) = world_with_entry();
    for _ in 0..10 {
        host.renew(&mut world, leader);
        world.run(SECOND / 2);
    }
    let began: Moment = world.now;
    world.announce_primary(leader, 0);
    world.run(SECOND / 50);
    host.receive(&world, |_| false);
    assert_eq!(known_services(&world, &host, leader), (1, 1), "after {:?}", world.now.since(began));
}
