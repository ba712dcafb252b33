//! Load pattern "more hosts than connections": most hosts reach a service through
//! gateways, each of them rarely, and over several data centres.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{DataCentreHosts, DatabasePath, GatewayMap, SampledPositions},
    identity::HostId,
    positions::LogPosition,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SITES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Hosts 1 to `hosts`, in turn in the first `sites` data centres.
fn map_of(hosts: u32, sites: usize) -> GatewayMap {
    let site = |index: usize| DataCentreHosts {
        data_centre: Arc::from(SITES[index]),
        hosts: (1..=hosts).filter(|host| site_of(*host, sites) == index).map(HostId).collect(),
    };
    GatewayMap::by_data_centre((0..sites).map(site).collect())
}

fn site_of(host: u32, sites: usize) -> usize {
    host as usize % sites
}

/// Paths of all hosts to one service.
fn paths(hosts: u32, sites: usize, service: &str, connections: u32) -> Vec<(u32, DatabasePath)> {
    let map = map_of(hosts, sites);
    let path =
        |me: u32| map.path_to(HostId(me), SITES[site_of(me, sites)], service, hosts, connections);
    (1..=hosts).map(|me| (me, path(me))).collect()
}

/// Guards against statements that cross between data centres twice.
#[test]
fn first_gateway_is_in_the_same_data_centre() {
    for (hosts, sites, connections) in [(295, 6, 87), (62, 3, 31), (60, 4, 20)] {
        for (me, path) in paths(hosts, sites, "books", connections) {
            if let DatabasePath::Gateways(ranked) = path {
                let near = site_of(ranked[0].0, sites) == site_of(me, sites);
                assert!(near, "{hosts} hosts, host {me}: {ranked:?}");
            }
        }
    }
}

/// All databases of a service have the same gateways, and together these open no more
/// connections than a database accepts.
#[test]
fn gateways_stay_within_the_connection_limit() {
    let cases =
        [(295, 6, 87), (62, 3, 31), (60, 4, 20), (71, 4, 5), (300, 6, 1), (20, 6, 11), (9, 4, 15)];
    for (hosts, sites, connections) in cases {
        let mut opened = 0;
        let mut listed = Vec::new();
        for (_, path) in paths(hosts, sites, "books", connections) {
            match path {
                DatabasePath::Direct { connections } => opened += connections,
                DatabasePath::Gateways(mut ranked) => {
                    ranked.sort_unstable();
                    listed.push(ranked);
                }
            }
        }
        assert!((1..=connections).contains(&opened), "{hosts}: {opened} of {connections}");
        assert!(listed.windows(2).all(|pair| pair[0] == pair[1]), "{hosts}: lists differ");
    }
}

/// Guards against a lost data centre that leaves the hosts of another without gateway.
#[test]
fn other_data_centres_stand_in() {
    for (me, path) in paths(295, 6, "books", 87) {
        if let DatabasePath::Gateways(ranked) = path {
            let mut sites: Vec<usize> =
                ranked.iter().map(|gateway| site_of(gateway.0, 6)).collect();
            sites.sort_unstable();
            sites.dedup();
            assert_eq!(sites.len(), 6, "host {me}: {ranked:?}");
        }
    }
}

/// One host that joins or leaves changes the gateways of few services.
#[test]
fn lost_host_moves_only_its_own_services() {
    let service = |number: u32| format!("books-{number}");
    let gateways = |map: &GatewayMap, number: u32| {
        // A host of no data centre in the map is no gateway and sees them all.
        let path = map.path_to(HostId(9_999), "none", &service(number), 294, 87);
        let DatabasePath::Gateways(mut ranked) = path else { panic!("a gateway") };
        ranked.sort_unstable();
        ranked
    };
    let all = map_of(294, 6);
    let mut roles: BTreeMap<HostId, u32> = BTreeMap::new();
    (0..20).for_each(|number| {
        gateways(&all, number).into_iter().for_each(|host| *roles.entry(host).or_default() += 1)
    });
    let (lost, most) = roles.iter().max_by_key(|(_, roles)| **roles).expect("gateways");
    let site = |index: usize| DataCentreHosts {
        data_centre: Arc::from(SITES[index]),
        hosts: (1..=294)
            .filter(|host| site_of(*host, 6) == index && HostId(*host) != *lost)
            .map(HostId)
            .collect(),
    };
    let rest = GatewayMap::by_data_centre((0..6).map(site).collect());
    let moved = (0..20).filter(|number| gateways(&all, *number) != gateways(&rest, *number));
    assert_eq!(moved.count() as u32, *most);
}

/// Hosts of builds that do not name their data centre get the same gateways as before
/// from an older control host, which do not choose databases.
#[test]
fn list_without_places_is_one_data_centre() {
    let map = GatewayMap::without_places((1..=60).map(HostId).collect());
    assert!(!map.gateways_choose_databases());
    let gateways = (1..=60)
        .filter(|me| {
            let path = map.path_to(HostId(*me), "a", "books", 60, 20);
            matches!(path, DatabasePath::Direct { connections: 3 })
        })
        .count();
    assert_eq!(gateways, 6);
    let empty = GatewayMap::default().path_to(HostId(1), "a", "books", 60, 20);
    assert!(matches!(empty, DatabasePath::Direct { .. }));
}

/// 300 hosts send 4,000 operations a second to 20 services; a third of them reach the
/// primary, which tells its position, and the rest are reads that accept data of
/// 1.5 s. Counts the reads for which the deciding host knows no position young enough,
/// so that only the primary can serve them.
#[test]
fn gateways_know_positions_that_rare_hosts_do_not() {
    const HOSTS: u32 = 300;
    const SERVICES: u64 = 20;
    const MAX_AGE: Duration = Duration::from_millis(1_450);
    const OPERATION_INTERVAL: Duration = Duration::from_micros(250);
    let services: Vec<String> = (0..SERVICES).map(|number| format!("books-{number}")).collect();
    let map = map_of(HOSTS, 6);
    // Gateway of each host for each service; the host itself if it is one.
    let gateway_of = |host: u32, service: &str| match map.path_to(
        HostId(host),
        SITES[site_of(host, 6)],
        service,
        HOSTS,
        87,
    ) {
        DatabasePath::Direct { .. } => HostId(host),
        DatabasePath::Gateways(ranked) => ranked[0],
    };
    let mut known: BTreeMap<(HostId, usize), SampledPositions> = BTreeMap::new();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let (mut reads, mut unknown_to_host, mut unknown_to_gateway) = (0u32, 0u32, 0u32);
    let mut now = Moment::ZERO;
    for operation in 0..80_000u64 {
        now = now + OPERATION_INTERVAL;
        let host = random.random_range(1..=HOSTS);
        let service = random.random_range(0..services.len());
        let gateway = gateway_of(host, &services[service]);
        if random.random_bool(1.0 / 3.0) {
            for knowing in [HostId(host), gateway] {
                let samples = known.entry((knowing, service)).or_default();
                samples.record(now, LogPosition::new(1, operation));
            }
        } else if operation > 20_000 {
            let mut knows = |host: HostId| {
                let samples = known.entry((host, service)).or_default();
                samples.oldest_within(now, MAX_AGE).is_some()
            };
            reads += 1;
            unknown_to_host += u32::from(!knows(HostId(host)));
            unknown_to_gateway += u32::from(!knows(gateway));
        }
    }
    assert!(unknown_to_host * 2 > reads, "the pattern: {unknown_to_host} of {reads}");
    assert!(unknown_to_gateway * 50 < reads, "{unknown_to_gateway} of {reads}");
}

/// Guards against handshakes for most statements: a connection belongs to one
/// workspace, so the hosts of a data centre have to send its statements to the same
/// gateway, which is one of their own data centre.
#[test]
fn workspace_has_one_gateway_in_each_data_centre() {
    let (hosts, sites, connections) = (76, 4, 43);
    let map = map_of(hosts, sites);
    let mut first_gateways = BTreeMap::new();
    for me in 1..=hosts {
        let site = site_of(me, sites);
        let path =
            map.workspace_path(HostId(me), SITES[site], "books", "north", hosts, connections);
        let first = match path {
            DatabasePath::Direct { .. } => HostId(me),
            DatabasePath::Gateways(ranked) => ranked[0],
        };
        assert_eq!(*first_gateways.entry(site).or_insert(first), first, "host {me}");
        assert_eq!(site_of(first.0, sites), site);
    }
    let other = map.workspace_path(HostId(1), SITES[1], "books", "south", hosts, connections);
    assert_ne!(
        other,
        map.workspace_path(HostId(1), SITES[1], "books", "north", hosts, connections)
    );
}

/// A host that is a gateway, but not the workspace's first one, uses another host's
/// connections and is not asked to connect to itself.
#[test]
fn gateways_forward_to_the_first_gateway_of_a_workspace() {
    let (hosts, sites, connections) = (76, 4, 43);
    let map = map_of(hosts, sites);
    for (me, path) in paths(hosts, sites, "books", connections) {
        if matches!(path, DatabasePath::Direct { .. }) {
            let site = SITES[site_of(me, sites)];
            let path = map.workspace_path(HostId(me), site, "books", "north", hosts, connections);
            if let DatabasePath::Gateways(ranked) = path {
                assert!(!ranked.is_empty() && !ranked.contains(&HostId(me)), "host {me}");
            }
        }
    }
}
