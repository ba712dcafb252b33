//! Load pattern "callers of many workspaces": a key proves its workspace only under a
//! lease, and a configuration with ambiguous or malformed workspaces is refused whole.

use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    control_role::ControlSettings,
    entry_role::{CallerAccess, EntryView},
    identity::{CallerKey, HostId},
    routes::{
        PackedRoutes, RouteError, RouteKind, RouteRule, RouteTable, ServiceRule, TrafficLimits,
        UsageCap, WorkspaceRule,
    },
};

/// Bytes that a link of 2 Mbit/s transmits in one second.
const LINK_BYTES_PER_SECOND: usize = 250_000;
const LEASE: Duration = Duration::from_millis(3_500);
const LAST_CONTACT: Moment = Moment::from_millis(10_000);

fn route(name: &str, anonymous: bool) -> RouteRule {
    RouteRule {
        name: Arc::from(name),
        database: Arc::from(name),
        path: Arc::from("/"),
        kind: RouteKind::Primary,
        timeout: Duration::from_millis(800),
        objective: Duration::from_millis(100),
        priority: 0,
        service: Arc::from("books"),
        anonymous,
    }
}

fn rule(name: &str, keys: &[&str]) -> WorkspaceRule {
    let keys = keys.iter().map(|key| CallerKey::new(key)).collect();
    WorkspaceRule { name: Arc::from(name), keys, cap: None }
}

fn table(version: u64, workspaces: Option<Vec<WorkspaceRule>>) -> RouteTable {
    RouteTable {
        version,
        routes: vec![route("keyed", false), route("public", true)],
        services: vec![ServiceRule {
            name: Arc::from("books"),
            max_connections: 16,
            sync_replicas: 0,
        }],
        limits: TrafficLimits { transaction_idle: Duration::from_secs(3) },
        workspaces,
        source: Arc::from("the operator's text with key-of-acme"),
    }
}

fn acme() -> Vec<WorkspaceRule> {
    vec![rule("acme", &["key-of-acme", "spare"]), rule("zenith", &["key-of-zenith"])]
}

/// A host that got its last lease at `LAST_CONTACT`.
fn view(workspaces: Option<Vec<WorkspaceRule>>) -> EntryView {
    let mut view = EntryView::new(Arc::from("a"));
    view.apply_state(1, 0, Some(Arc::new(table(1, workspaces))), Vec::new());
    view.record_control_message(LAST_CONTACT);
    view.extend_lease(LAST_CONTACT, LEASE, 1, 1);
    view
}

fn access(view: &EntryView, ms: u64, database: &str, key: Option<&str>) -> CallerAccess {
    let now = LAST_CONTACT + Duration::from_millis(ms);
    let (route, key) = (view.route(database), key.map(CallerKey::new));
    view.caller_access(now, route.as_deref(), key.as_ref())
}

#[test]
fn key_leads_to_its_workspace() {
    let view = view(Some(acme()));
    for (key, workspace) in
        [("key-of-acme", "acme"), ("spare", "acme"), ("key-of-zenith", "zenith")]
    {
        let member = CallerAccess::Member(Arc::from(workspace));
        assert_eq!(access(&view, 100, "keyed", Some(key)), member);
    }
    for key in [None, Some("key-of-acm"), Some("acme"), Some("KEY-OF-ACME")] {
        assert_eq!(access(&view, 100, "keyed", key), CallerAccess::Refused, "{key:?}");
    }
}

#[test]
fn anonymous_routes_and_tables_without_workspaces_need_no_key() {
    assert_eq!(access(&view(Some(acme())), 9_000, "public", None), CallerAccess::Open);
    assert_eq!(access(&view(None), 9_000, "keyed", None), CallerAccess::Open);
    // An empty list asks for keys that nobody has.
    assert_eq!(access(&view(Some(vec![])), 1, "keyed", Some("k")), CallerAccess::Refused);
}

/// Guards against a transaction that outlives its key because its route is dropped by
/// the same configuration.
#[test]
fn dropped_route_still_needs_a_key() {
    let view = view(Some(acme()));
    assert_eq!(access(&view, 1, "no such route", Some("gone")), CallerAccess::Refused);
}

/// Guards against a host that serves, or reports a key as unknown, by a configuration
/// that may be out of date.
#[test]
fn no_key_is_judged_without_a_lease() {
    let mut view = view(Some(acme()));
    for key in [Some("key-of-acme"), Some("unknown"), None] {
        assert_eq!(access(&view, 3_600, "keyed", key), CallerAccess::CutOff);
    }
    view.record_control_message(LAST_CONTACT + Duration::from_millis(3_000));
    for key in [Some("key-of-acme"), Some("unknown"), None] {
        assert_eq!(access(&view, 3_600, "keyed", key), CallerAccess::Unproven);
    }
}

/// Guards against a lease that counts before the configuration that it names is applied.
#[test]
fn lease_of_a_newer_configuration_waits_for_it() {
    let mut view = view(Some(acme()));
    let later = LAST_CONTACT + Duration::from_millis(500);
    view.extend_lease(later, LEASE, 2, 1);
    assert_eq!(access(&view, 600, "keyed", Some("spare")), CallerAccess::Unproven);
    let without_spare = vec![rule("acme", &["key-of-acme"])];
    view.apply_state(2, 0, Some(Arc::new(table(2, Some(without_spare)))), Vec::new());
    assert_eq!(access(&view, 600, "keyed", Some("spare")), CallerAccess::Refused);
    let member = CallerAccess::Member(Arc::from("acme"));
    assert_eq!(access(&view, 600, "keyed", Some("key-of-acme")), member);
}

#[test]
fn moved_key_is_refused_to_its_session() {
    let admitted: Arc<str> = Arc::from("acme");
    let now_in = |workspace: &str| CallerAccess::Member(Arc::from(workspace));
    assert_eq!(now_in("zenith").of_member(Some(&admitted)), CallerAccess::Refused);
    assert_eq!(now_in("acme").of_member(Some(&admitted)), now_in("acme"));
    assert_eq!(now_in("zenith").of_member(None), now_in("zenith"));
    assert_eq!(CallerAccess::Unproven.of_member(Some(&admitted)), CallerAccess::Unproven);
}

#[test]
fn lease_is_shorter_than_the_limit() {
    let lease = |limit_ms| {
        let second = Duration::from_secs(1);
        let settings = ControlSettings::new(HostId(1), [].into(), true, second, None, 1);
        settings.with_revocation_limit(Duration::from_millis(limit_ms)).lease_duration
    };
    assert_eq!(lease(5_000), Duration::from_millis(3_500));
    assert_eq!(lease(60_000), Duration::from_millis(3_500));
    assert_eq!(lease(2_000), Duration::from_millis(1_400));
}

#[test]
fn ambiguous_and_malformed_workspaces_are_refused() {
    let check = |rules: &[WorkspaceRule]| table(1, Some(rules.to_vec())).check();
    assert_eq!(check(&acme()), Ok(()));
    assert_eq!(check(&[rule("keyless", &[])]), Ok(()));
    let huge = "k".repeat(1 << 20);
    assert_eq!(check(&[rule("a", &[&huge])]), Ok(()));
    for rules in [
        [rule("a", &["k"]), rule("b", &["k"])],
        [rule("a", &["k", "k"]), rule("b", &[])],
        [rule("a", &[&huge]), rule("b", &[&huge])],
    ] {
        assert!(matches!(check(&rules), Err(RouteError::DuplicateKey { .. })), "{rules:?}");
    }
    let twice = [rule("a", &["1"]), rule("a", &["2"])];
    assert!(matches!(check(&twice), Err(RouteError::DuplicateWorkspace { .. })));
    for text in ["", " ", "a b", "a\tb", "a\r\nb", "a\0", "a\u{a0}b", "\u{7f}", "a\u{85}"] {
        for rules in [[rule(text, &["k"])], [rule("a", &[text])]] {
            let refused = matches!(check(&rules), Err(RouteError::MalformedWorkspace { .. }));
            assert!(refused, "{text:?}");
        }
    }
}

#[test]
fn caps() {
    for (rate, burst) in [(0.0, 0.0), (0.5, 0.0), (1e12, 3.0), (f64::MAX, f64::MAX)] {
        assert!(UsageCap::new(rate, burst).is_some(), "{rate} {burst}");
    }
    let cap = UsageCap::new(0.0, 2.5).expect("a cap");
    assert_eq!((cap.per_second(), cap.burst()), (0.0, 2.5));
    // A rate above 0 admits something.
    assert!(UsageCap::new(1e-9, 0.0).expect("a cap").per_second() > 0.0);
    for value in [-1.0, -1e-9, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(UsageCap::new(value, 1.0), None, "{value}");
        assert_eq!(UsageCap::new(1.0, value), None, "{value}");
    }
}

/// Guards against keys in logs, which print the Debug texts of what holds a table.
#[test]
fn debug_texts_show_no_key() {
    let table = table(1, Some(acme()));
    let error = table_error(&[rule("a", &["secret-1"]), rule("b", &["secret-1"])]);
    let shown = format!("{table:?} {table:#?} {error} {error:?} {:?}", view(Some(acme())));
    for key in ["key-of-acme", "spare", "key-of-zenith", "secret-1"] {
        assert!(!shown.contains(key), "{key}: {shown}");
    }
    assert!(shown.contains("acme"), "{shown}");
}

fn table_error(rules: &[WorkspaceRule]) -> RouteError {
    table(1, Some(rules.to_vec())).check().expect_err("a key that is declared twice")
}

/// Guards against a changed form of tables without workspaces, which older hosts and
/// existing journals hold.
#[test]
fn table_without_workspaces_keeps_its_form() {
    let mut table = table(1, None);
    table.routes.truncate(1);
    let json = serde_json::to_string(&table).expect("encoded");
    let expected = r#"{"version":1,"routes":[{"name":"keyed","database":"keyed","path":"/","kind":"Primary","timeout":{"secs":0,"nanos":800000000},"objective":{"secs":0,"nanos":100000000},"priority":0,"service":"books"}],"services":[{"name":"books","max_connections":16,"sync_replicas":0}],"limits":{"transaction_idle":{"secs":3,"nanos":0}},"source":"the operator's text with key-of-acme"}"#;
    assert_eq!(json, expected);
    let read: RouteTable = serde_json::from_str(&json).expect("decoded");
    assert_eq!(read, table);
}

#[test]
fn thousands_of_workspaces_fit_a_narrow_link() {
    let workspace = |number: u64| {
        // Keys as they are generated, which cannot be compressed well.
        let part = |salt: u64| (number + salt).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let key = format!("{:016x}{:016x}", part(7), part(11).rotate_left(17));
        let cap = UsageCap::new(number as f64, 2.0 * number as f64);
        WorkspaceRule { cap, ..rule(&format!("w{:x}", part(3)), &[&key]) }
    };
    let table = table(1, Some((0..2_000).map(workspace).collect()));
    assert_eq!(table.check(), Ok(()));
    let packed = PackedRoutes::pack(&table).expect("packed");
    let bytes = packed.packed_bytes();
    assert!(bytes < LINK_BYTES_PER_SECOND / 2, "{bytes} bytes");
    assert_eq!(packed.unpack(None).expect("unpacked").workspaces, table.workspaces);
}
