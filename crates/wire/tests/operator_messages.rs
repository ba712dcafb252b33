//! Guards against a change of the operators' JSON interface, which the command-line
//! tool and third-party programs read and write.

use std::fmt::Debug;

use hawthornstack_wire::operators::{
    ANNOUNCE_PATH, AUDIT_PATH, CONFIRM_PATH, ConfirmRequest, ConfirmResponse, ErrorResponse,
    HEALTH_PATH, METRICS_PATH, PLAN_PATH, PlanRequest, PlanResponse, STATUS_PATH, StatusResponse,
};
use serde::{Serialize, de::DeserializeOwned};

const INTENTS: [&str; 6] = [
    r#"{"Declare": {"services": {"books": {"instances": 2, "databases": 3, "max_waiting": 50},
        "shifts": {"instances": 1, "databases": 1}}}}"#,
    r#"{"DrainDatabase": "books-1-a"}"#,
    r#"{"RestoreDatabase": "books-1-a"}"#,
    r#"{"DrainHost": 3}"#,
    r#"{"RestoreHost": 3}"#,
    r#"{"ChangeWaitingLimit": {"service": "books", "max_waiting": 70}}"#,
];

const PLAN: &str = r#"{"id": "0123456789ab", "base_version": 6, "changes": [
    {"AddService": ["books", {"instances": 2, "databases": 3, "max_waiting": 50}]},
    {"ChangeService": ["books", {"instances": 2, "databases": 3, "max_waiting": 50},
        {"instances": 4, "databases": 5, "max_waiting": 60}]},
    {"RemoveService": "books"}, {"SetDatabaseDraining": ["books-1-a", true]},
    {"SetHostDraining": [3, false]}, {"ReplaceRoutes": 17}],
    "steps": ["one sentence", "another one"]}"#;

const STATUS: &str = r#"{"host": 1, "leader": 2, "is_current_leader": true, "has_lease": true,
    "version": 6, "applied": 70,
    "services": [["books", {"instances": 2, "databases": 3, "max_waiting": 50}]],
    "groups": [{"group": "books.1", "term": 4, "primary": "books-1-a", "phase": "steady",
        "homes": [1, 2], "waiting": 5, "members": [{"database": "books-1-a",
        "address": "127.0.0.1:5432", "data_centre": "north", "standing": "counting",
        "role": "primary", "position": "4/90", "in_use": 8}]}],
    "hosts": [{"host": 1, "peer_address": "127.0.0.1:7432", "data_centre": "north",
        "draining": true}]}"#;

/// Decodes JSON and encodes the value again, after a check that the encoded JSON
/// decodes to the same value.
fn written_again<T>(json: &str) -> String
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let value: T = serde_json::from_str(json).expect(json);
    let written = serde_json::to_string_pretty(&value).expect("JSON");
    assert_eq!(serde_json::from_str::<T>(&written).expect("written JSON"), value);
    written
}

#[test]
fn plan_requests() {
    let requests = INTENTS.map(|intent| format!(r#"{{"intent": {intent}}}"#));
    let written = requests.map(|request| written_again::<PlanRequest>(&request));
    insta::assert_snapshot!("plan_requests", written.join("\n"));
}

#[test]
fn plan_response() {
    insta::assert_snapshot!("plan_response", written_again::<PlanResponse>(PLAN));
}

#[test]
fn confirmation() {
    let request = r#"{"request": "r-1", "plan": "0123456789ab", "operator": "somebody"}"#;
    let response = r#"{"code": 501, "text": "why", "version": 8, "changed_since": ["a step"]}"#;
    insta::assert_snapshot!("confirm_request", written_again::<ConfirmRequest>(request));
    insta::assert_snapshot!("confirm_response", written_again::<ConfirmResponse>(response));
}

#[test]
fn refusals() {
    let known = r#"{"code": 503, "text": "why", "mend": "how", "leader": 2}"#;
    let unknown = r#"{"code": 503, "text": "why", "mend": "how", "leader": null}"#;
    let written = [known, unknown].map(written_again::<ErrorResponse>);
    insta::assert_snapshot!("errors", written.join("\n"));
}

#[test]
fn status() {
    insta::assert_snapshot!("status", written_again::<StatusResponse>(STATUS));
}

#[test]
fn paths() {
    let paths = [
        ("announcements", ANNOUNCE_PATH),
        ("plans", PLAN_PATH),
        ("confirmations", CONFIRM_PATH),
        ("status", STATUS_PATH),
        ("audit", AUDIT_PATH),
        ("metrics", METRICS_PATH),
        ("health", HEALTH_PATH),
    ];
    let lines = paths.map(|(what, path)| format!("{what}: {path}"));
    insta::assert_snapshot!("paths", lines.join("\n"));
}
