//! Load pattern: a configuration of thousands of routes is sent to every entry host
//! over a link of 2 Mbit/s, and must be in force within seconds.

use std::{io::Read, sync::Arc, time::Duration};

use flate2::read::DeflateDecoder;
use hawthornstack_decisions::{
    identity::CallerKey,
    routes::{
        PackedRoutes, RouteKind, RouteRule, RouteTable, ServiceRule, TrafficLimits, WorkspaceRule,
    },
};

/// Bytes that a link of 2 Mbit/s transmits in one second.
const LINK_BYTES_PER_SECOND: usize = 250_000;

fn table(routes: u64) -> RouteTable {
    let rule = |number: u64| {
        // Unique names without a common pattern, as operators choose them.
        let name = format!("{:x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        RouteRule {
            name: Arc::from(format!("r-{name}")),
            database: Arc::from(format!("d{name}")),
            path: Arc::from("/"),
            kind: RouteKind::BoundedStaleness { max_age: Duration::from_millis(1_500) },
            timeout: Duration::from_millis(800 + number % 7),
            objective: Duration::from_millis(100),
            priority: 2,
            service: Arc::from(format!("service{}", number % 8)),
            anonymous: false,
        }
    };
    RouteTable {
        version: 32,
        routes: (0..routes).map(rule).collect(),
        services: vec![ServiceRule {
            name: Arc::from("service0"),
            max_connections: 21,
            sync_replicas: 0,
        }],
        limits: TrafficLimits { transaction_idle: Duration::from_secs(3) },
        workspaces: None,
        source: Arc::from("x".repeat(400_000)),
    }
}

#[test]
fn routes_round_trip() {
    let table = table(50);
    let packed = PackedRoutes::pack(&table).expect("packed");
    let unpacked = packed.unpack(None).expect("unpacked");
    assert_eq!(packed.version, 32);
    assert_eq!((unpacked.routes, unpacked.services), (table.routes, table.services));
    assert_eq!(&*unpacked.source, "");
}

#[test]
fn thousands_of_routes_fit_a_narrow_link() {
    let packed = PackedRoutes::pack(&table(2_000)).expect("packed");
    let bytes = packed.packed_bytes();
    assert!(bytes < LINK_BYTES_PER_SECOND / 2, "{bytes} bytes");
}

#[test]
fn damaged_bytes_are_refused() {
    let packed = PackedRoutes::pack(&table(50)).expect("packed");
    let mut bytes = Vec::new();
    ciborium::into_writer(&packed, &mut bytes).expect("encoded");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    let read: Result<PackedRoutes, _> = ciborium::from_reader(&*bytes);
    let decoded = read.ok().and_then(|read| read.unpack(None).ok());
    assert!(decoded.is_none_or(|decoded| decoded.routes != table(50).routes));
}

/// Guards against a Debug text whose bytes can be decompressed to callers' keys.
#[test]
fn debug_text_holds_no_key() {
    let key = "SECRET-key-of-acme";
    let rule =
        WorkspaceRule { name: Arc::from("acme"), keys: vec![CallerKey::new(key)], cap: None };
    let table = RouteTable { workspaces: Some(vec![rule]), ..table(1) };
    let text = format!("{:?}", PackedRoutes::pack(&table).expect("packed"));
    let numbers = text.split(|c: char| !c.is_ascii_digit());
    let bytes: Vec<u8> = numbers.filter_map(|number| number.parse().ok()).collect();
    for start in 0..bytes.len() {
        let mut plain = Vec::new();
        let _ = DeflateDecoder::new(&bytes[start..]).read_to_end(&mut plain);
        assert!(!String::from_utf8_lossy(&plain).contains(key), "a key can be recovered");
    }
}
