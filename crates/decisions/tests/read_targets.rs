//! Load pattern: replicas lag, and a replica that refuses a read with a small maximum
//! age must still get reads that accept older data.

mod instance_records;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{
        DatabasePath, EntryView, GatewayMap, ReadRequirement, ReadTarget, SampledPositions,
    },
    identity::HostId,
    instances::{InstanceKey, InstanceRole},
    positions::LogPosition,
    primaries::ServiceTerm,
    routes::{RouteKind, RouteRule},
};
use instance_records::{SERVICE, record};

fn route(kind: RouteKind) -> RouteRule {
    RouteRule {
        name: Arc::from("r"),
        database: Arc::from("seats"),
        path: Arc::from("/"),
        kind,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(200),
        priority: 1,
        service: Arc::from(SERVICE),
        anonymous: false,
    }
}

/// A primary, a replica, a lease until 10 s, and a sampled position every 100 ms from
/// 1 s on: position (1, n) at n * 100 ms.
fn view(now: Moment) -> EntryView {
    let mut view = EntryView::new(Arc::from("a"));
    let records = [record("p", InstanceRole::Primary, 1), record("r", InstanceRole::Replica, 2)];
    view.record_announcements(Moment::from_millis(500), &records);
    let term = ServiceTerm::new(Arc::from(SERVICE), 1, 1, records[0].key.clone());
    view.apply_state(1, 0, None, vec![term]);
    view.extend_lease(Moment::from_millis(500), Duration::from_millis(9_500), 1, 1);
    let mut at = Moment::from_millis(1_000);
    while at < now {
        let position = LogPosition::new(1, at.as_micros() / 100_000);
        view.record_primary_position(at, &Arc::from(SERVICE), 1, at, position);
        at = at + Duration::from_millis(100);
    }
    view
}

fn target(view: &EntryView, now: Moment, kind: RouteKind, own: Option<LogPosition>) -> ReadTarget {
    let requirement = view.read_requirement(now, &route(kind), own);
    view.read_target(now, SERVICE, requirement, &[])
}

fn is_replica(target: &ReadTarget) -> bool {
    matches!(target, ReadTarget::Replica { .. })
}

const NOW: Moment = Moment::from_millis(5_000);
const YOUNG: RouteKind = RouteKind::BoundedStaleness { max_age: Duration::from_millis(1_000) };
const OLD: RouteKind = RouteKind::ReadYourWrites { max_age: Duration::from_millis(2_500) };

#[test]
fn sample_is_never_older_than_the_maximum_age() {
    let view = view(NOW);
    let ReadRequirement::Position { position, .. } =
        view.read_requirement(NOW, &route(YOUNG), None)
    else {
        panic!("no sampled position");
    };
    assert!(position.offset >= 40, "{position}");
    assert!(position.offset <= 42, "{position}");
}

#[test]
fn lag_for_a_young_read_does_not_exclude_older_reads() {
    let mut view = view(NOW);
    assert!(is_replica(&target(&view, NOW, YOUNG, None)));
    let ReadTarget::Replica { record, position } = target(&view, NOW, YOUNG, None) else {
        panic!("no replica");
    };
    view.loads.record_lag(NOW, &record.key, position);
    assert_eq!(target(&view, NOW, YOUNG, None), ReadTarget::Primary);
    assert!(is_replica(&target(&view, NOW, OLD, None)));
    let later = NOW + Duration::from_millis(300);
    assert!(is_replica(&target(&view, later, YOUNG, None)));
}

#[test]
fn own_commit_is_read_where_it_was_observed() {
    let mut view = view(NOW);
    let own = Some(LogPosition::new(1, 49));
    assert_eq!(target(&view, NOW, OLD, own), ReadTarget::Primary);
    let key = record("r", InstanceRole::Replica, 2).key;
    view.loads.record_position(&key, LogPosition::new(1, 49));
    assert!(is_replica(&target(&view, NOW, OLD, own)));
}

/// Guards against replicas that are never read where the primary answers faster than
/// an unknown database was assumed to.
#[test]
fn unread_replica_is_tried_before_a_fast_primary() {
    let mut view = view(NOW);
    let primary = record("p", InstanceRole::Primary, 1).key;
    for _ in 0..50 {
        view.loads.record_finish(&primary, Some(Duration::from_millis(1)));
    }
    assert!(is_replica(&target(&view, NOW, YOUNG, None)));
}

/// Load pattern: many hosts that each know little of a service. Guards against all of
/// them choosing the same of two equal replicas.
/// Guards against reads at the primary because it answers some microseconds sooner than a
/// replica, as on a fast machine, or sooner than an unused replica is assumed to.
#[test]
fn fast_databases_are_read_at_replicas() {
    let mut view = view(NOW);
    let [primary, replica] =
        [record("p", InstanceRole::Primary, 1).key, record("r", InstanceRole::Replica, 2).key];
    for _ in 0..50 {
        view.loads.record_start(&primary);
        view.loads.record_finish(&primary, Some(Duration::from_micros(20)));
    }
    for number in 0..20 {
        assert!(is_replica(&target(&view, NOW, YOUNG, None)), "read {number}");
        view.loads.record_start(&replica);
        view.loads.record_finish(&replica, Some(Duration::from_micros(60)));
    }
}

#[test]
fn equal_replicas_take_turns() {
    let mut view = view(NOW);
    view.record_announcements(NOW, &[record("s", InstanceRole::Replica, 3)]);
    let primary = record("p", InstanceRole::Primary, 1).key;
    for _ in 0..50 {
        view.loads.record_finish(&primary, Some(Duration::from_millis(10)));
    }
    let mut reads: BTreeMap<InstanceKey, u32> = BTreeMap::new();
    for _ in 0..100 {
        let ReadTarget::Replica { record, .. } = target(&view, NOW, YOUNG, None) else {
            panic!("no replica");
        };
        view.loads.record_start(&record.key);
        view.loads.record_finish(&record.key, Some(Duration::from_millis(10)));
        *reads.entry(record.key).or_default() += 1;
    }
    assert_eq!(reads.into_values().collect::<Vec<_>>(), [50, 50]);
    // A slower one gets fewer reads.
    let slow = record("s", InstanceRole::Replica, 3).key;
    for _ in 0..20 {
        view.loads.record_finish(&slow, Some(Duration::from_millis(60)));
    }
    for _ in 0..4 {
        let ReadTarget::Replica { record, .. } = target(&view, NOW, YOUNG, None) else {
            panic!("no replica");
        };
        assert_ne!(record.key, slow);
    }
}

#[test]
fn primary_routes_use_only_the_primary() {
    let view = view(NOW);
    assert_eq!(target(&view, NOW, RouteKind::Primary, None), ReadTarget::Primary);
}

#[test]
fn positions_are_sampled_only_under_a_lease() {
    let mut view = view(NOW);
    let late = Moment::from_millis(11_000);
    view.record_primary_position(late, &Arc::from(SERVICE), 1, late, LogPosition::new(1, 110));
    assert_eq!(view.read_requirement(late, &route(YOUNG), None), ReadRequirement::Latest);
}

#[test]
fn samples_do_not_go_backwards() {
    let mut samples = SampledPositions::default();
    samples.record(Moment::from_millis(100), LogPosition::new(2, 5));
    samples.record(Moment::from_millis(200), LogPosition::new(1, 9));
    let sample = samples.oldest_within(Moment::from_millis(210), Duration::from_millis(50));
    assert_eq!(sample, None);
}

fn path(view: &EntryView, me: u32, connections: u32) -> DatabasePath {
    view.path_to(HostId(me), "i-1", connections)
}

/// The view in a deployment with `hosts` entry hosts.
fn view_with_hosts(hosts: u32) -> EntryView {
    let mut view = EntryView::new(Arc::from("a"));
    view.extend_lease(Moment::ZERO, Duration::from_secs(1), 0, hosts);
    view.set_gateways(GatewayMap::without_places((1..=hosts).map(HostId).collect()));
    view
}

#[test]
fn every_host_connects_if_connections_suffice() {
    let view = view_with_hosts(9);
    for me in 1..=9 {
        assert_eq!(path(&view, me, 27), DatabasePath::Direct { connections: 3 });
    }
}

#[test]
fn gateways_stay_within_the_connection_limit() {
    for (hosts, connections) in [(60, 20), (71, 169), (71, 5), (300, 1), (10, 9), (9, 15)] {
        let view = view_with_hosts(hosts);
        let mut opened = 0;
        let mut gateway_lists = Vec::new();
        for me in 1..=hosts {
            match path(&view, me, connections) {
                DatabasePath::Direct { connections } => opened += connections,
                DatabasePath::Gateways(ranked) => gateway_lists.push(ranked),
            }
        }
        assert!((1..=connections).contains(&opened), "{hosts}: {opened} of {connections}");
        let first = gateway_lists.first().expect("a host that is not a gateway").len();
        assert!(gateway_lists.iter().all(|ranked| ranked.len() == first));
    }
}

#[test]
fn gateways_share_the_other_hosts() {
    let view = view_with_hosts(60);
    let mut preferred = BTreeMap::new();
    for me in 1..=60 {
        if let DatabasePath::Gateways(ranked) = path(&view, me, 20) {
            *preferred.entry(ranked[0]).or_insert(0) += 1;
        }
    }
    assert_eq!(preferred.len(), 6);
    assert!(preferred.values().all(|hosts| (3..=16).contains(hosts)), "{preferred:?}");
}

/// After a power failure all hosts connect at once, and each handshake occupies a
/// slot: 71 hosts with 2 connections each need 142 handshakes.
#[test]
fn many_hosts_use_few_handshakes() {
    let view = view_with_hosts(71);
    let paths: Vec<DatabasePath> = (1..=71).map(|me| path(&view, me, 1_000)).collect();
    let connects = |path: &&DatabasePath| matches!(path, DatabasePath::Direct { .. });
    assert_eq!(paths.iter().filter(connects).count(), 8);
    let view = view_with_hosts(16);
    assert!((1..=16).all(|me| path(&view, me, 48) == DatabasePath::Direct { connections: 3 }));
}

/// A replica that answers health checks but fails part of its statements gets fewer
/// reads, and more again after a while without failures.
#[test]
fn failing_replica_is_a_last_resort() {
    let now = Moment::from_millis(5_000);
    let mut view = view(now);
    let kind = RouteKind::BoundedStaleness { max_age: Duration::from_millis(1_500) };
    let reads_at_replica = |view: &EntryView, now: Moment| {
        matches!(target(view, now, kind, None), ReadTarget::Replica { .. })
    };
    assert!(reads_at_replica(&view, now));
    let replica = record("r", InstanceRole::Replica, 2).key;
    for outcome in [false, true, false, true, false, true] {
        view.loads.record_result(now, &replica, outcome);
    }
    assert!((0.1..0.5).contains(&view.loads.get(&replica).failure_share(now)));
    assert!(!reads_at_replica(&view, now));
    let later = now + Duration::from_secs(4);
    view.record_primary_position(later, &Arc::from(SERVICE), 1, later, LogPosition::new(1, 90));
    assert!(view.loads.get(&replica).failure_share(later) < 0.1);
}
