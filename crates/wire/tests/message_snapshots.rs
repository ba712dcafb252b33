//! Guards the encoded form of messages between hosts and of records on disk: if
//! it changes, hosts of two builds cannot understand each other and a new build
//! cannot read old journals.
//!
//! Each sample is JSON with the serialised names of fields and variants. It is
//! decoded, encoded as CBOR, decoded again, and must come back unchanged.

use std::collections::BTreeSet;

use hawthornstack_decisions::{
    agreement::{AgreementMessage, JournalRecord},
    control_role::{ControlMessage, EntryReport, EntryUpdate, LinkFrame, LinkRole},
    control_state::{ControlCommand, ControlState, Intent, PlannedChange},
    directory::{Announcement, DatabaseRole, DatabaseStatus},
    failover::DatabaseOrder,
    outcomes::{Outcome, ResultCode},
    pg_host::{OperatorAnswer, OperatorQuestion, PeerMessage},
    primaries::{ServiceTerm, TermPhase},
    routes::{PackedRoutes, RouteKind, RouteTable},
    sessions::{SessionToken, TokenKey},
};
use hawthornstack_wire::peers::PeerFrame;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};

fn hex(bytes: &[u8]) -> String {
    bytes
        .chunks(40)
        .map(|row| row.iter().map(|byte| format!("{byte:02x}")).collect::<String>())
        .collect::<Vec<_>>()
        .join("\n")
}

fn cbor<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    bytes
}

/// Decodes a sample, checks that neither JSON nor CBOR loses a part of it, and
/// returns its CBOR encoding.
fn encoded<T: Serialize + DeserializeOwned>(sample: &Value) -> Vec<u8> {
    let value: T = serde_json::from_value(sample.clone()).unwrap();
    assert_eq!(&serde_json::to_value(&value).unwrap(), sample);
    let bytes = cbor(&value);
    let decoded: T = ciborium::from_reader(&*bytes).unwrap();
    assert_eq!(&serde_json::to_value(&decoded).unwrap(), sample);
    bytes
}

/// Returns the CBOR encoding of all samples of an enum and checks that there is
/// one for each variant. Serde names the variants in its error for an unknown one.
fn all_variants<T: Serialize + DeserializeOwned>(samples: &[Value]) -> String {
    let error = serde_json::from_value::<T>(json!({ "?": null })).err().unwrap().to_string();
    let known: BTreeSet<&str> = error.split('`').skip(3).step_by(2).collect();
    let shown: BTreeSet<&str> = samples.iter().map(variant_name).collect();
    assert_eq!(known, shown, "a sample for each variant");
    samples
        .iter()
        .map(|sample| format!("{}\n{}\n", variant_name(sample), hex(&encoded::<T>(sample))))
        .collect()
}

fn variant_name(sample: &Value) -> &str {
    match sample {
        Value::String(name) => name,
        Value::Object(fields) => fields.keys().next().unwrap(),
        other => panic!("{other} is not an enum variant"),
    }
}

fn instance_key() -> Value {
    json!({ "id": "i-1", "born_ms": 7 })
}

fn instance_record() -> Value {
    json!({
        "key": instance_key(), "sequence": 3, "service": "books", "address": "10.0.0.1:5432",
        "data_centre": "a", "slots": 2, "draining": false, "role": "Replica",
        "warm_up": { "secs": 1, "nanos": 500 }
    })
}

fn departure() -> Value {
    json!({ "id": "i-1", "born_ms": 7 })
}

fn member_record(standing: &str) -> Value {
    json!({
        "database": "db-1", "address": "10.0.0.1:5432", "data_centre": "a", "connections": 16,
        "slots": 2, "standing": standing
    })
}

fn group_record(phase: Value) -> Value {
    let members: serde_json::Map<String, Value> = ["Counting", "Joining", "Draining", "Left"]
        .into_iter()
        .map(|standing| (format!("db-{}", standing.to_lowercase()), member_record(standing)))
        .collect();
    json!({
        "name": "books.1", "term": 4, "primary": "db-1", "phase": phase, "members": members,
        "homes": [1, 2], "home_shares": 3
    })
}

fn host_record() -> Value {
    json!({
        "id": 2, "peer_address": "10.0.0.2:7000", "caller_address": "10.0.0.2:5432",
        "data_centre": "b", "draining": true
    })
}

fn declaration() -> Value {
    json!({ "services": { "books": { "instances": 2, "databases": 3, "max_waiting": 40 } } })
}

fn planned_changes() -> Vec<Value> {
    let (before, after) = (
        json!({ "instances": 2, "databases": 3, "max_waiting": 40 }),
        json!({ "instances": 4, "databases": 3, "max_waiting": 50 }),
    );
    vec![
        json!({ "AddService": ["books", before] }),
        json!({ "ChangeService": ["books", before, after] }),
        json!({ "RemoveService": "books" }),
        json!({ "SetDatabaseDraining": ["db-1", true] }),
        json!({ "SetHostDraining": [2, false] }),
        json!({ "ReplaceRoutes": 9 }),
    ]
}

fn plan() -> Value {
    json!({ "id": "0123456789ab", "base_version": 3, "changes": planned_changes() })
}

fn control_answer() -> Value {
    json!({ "result": "Done", "version": 5, "changed_since": planned_changes() })
}

fn duration(secs: u64, nanos: u32) -> Value {
    json!({ "secs": secs, "nanos": nanos })
}

fn route_table() -> Value {
    let route = |name: &str, kind: Value| {
        json!({
            "name": name, "database": format!("db-{name}"), "path": "/p", "kind": kind,
            "timeout": duration(1, 0), "objective": duration(0, 200), "priority": 1,
            "service": "books"
        })
    };
    json!({
        "version": 9,
        "routes": [
            route("first", json!("Primary")),
            route("second", json!({ "BoundedStaleness": { "max_age": duration(2, 0) } })),
            route("third", json!({ "ReadYourWrites": { "max_age": duration(3, 0) } })),
        ],
        "services": [{ "name": "books", "max_connections": 16, "sync_replicas": 1 }],
        "limits": { "transaction_idle": duration(3, 0) },
        "source": "{\"text\":\"as sent\"}"
    })
}

fn service_term(phase: Value) -> Value {
    json!({
        "service": "books", "number": 5, "since_index": 12, "primary": instance_key(),
        "phase": phase, "above_term": 3
    })
}

fn term_phases() -> Vec<Value> {
    vec![
        json!("Steady"),
        json!({ "Fencing": { "planned": true } }),
        json!({ "Promoting": { "chosen": instance_key() } }),
    ]
}

fn control_state() -> Value {
    json!({
        "applied": 20, "version": 5, "hosts_version": 2,
        "services": declaration()["services"],
        "groups": {
            "books.1": group_record(json!("Steady")),
            "books.2": group_record(json!({ "Fencing": { "next_term": 6, "planned": false } })),
            "books.3": group_record(json!({ "Promoting": { "next_term": 6, "chosen": "db-1" } }))
        },
        "hosts": { "2": host_record() },
        "plans": { "0123456789ab": plan() },
        "answers": { "request-1": control_answer() },
        "audit": [{
            "sequence": 1, "at_unix_ms": 1_000, "operator": "ann", "plan": "0123456789ab",
            "changes": planned_changes(), "result": "Done", "chain": "00ff"
        }],
        "routes": route_table(),
        "terms": { "books": service_term(json!("Steady")) },
        "instances": { "i-1": instance_record() },
        "holders": [4, 5]
    })
}

fn commands() -> Vec<Value> {
    vec![
        json!("LeaderElected"),
        json!({ "HostJoined": host_record() }),
        json!({ "HostLeft": 2 }),
        json!({ "GroupFormed": group_record(json!("Steady")) }),
        json!({ "MemberJoined": ["books.1", member_record("Joining")] }),
        json!({ "MemberCounts": ["books.1", "db-1"] }),
        json!({ "MemberDraining": ["books.1", "db-1"] }),
        json!({ "MemberLeft": ["books.1", "db-1"] }),
        json!({ "HomesAssigned": ["books.1", [1, 2]] }),
        json!({ "TermEnded": { "group": "books.1", "expected": 4, "planned": true } }),
        json!({ "PrimaryChosen": { "group": "books.1", "next_term": 5, "chosen": "db-1" } }),
        json!({ "TermStarted": { "group": "books.1", "term": 5 } }),
        json!({ "PlanMade": plan() }),
        json!({ "PlanConfirmed": {
            "request": "request-1", "plan": "0123456789ab", "operator": "ann", "at_unix_ms": 1_000
        } }),
        json!({ "RoutesReplaced": { "table": route_table(), "at_unix_ms": 1_000 } }),
        json!({ "InstanceSeen": instance_record() }),
        json!({ "InstanceGone": departure() }),
        json!({ "HolderJoined": 4 }),
        json!({ "HolderLeft": 4 }),
        json!({ "ServicePrimaryKnown": { "service": "books", "primary": instance_key() } }),
        json!({ "ServiceTermEnded": { "service": "books", "number": 5, "planned": false } }),
        json!({ "ServicePrimaryChosen": {
            "service": "books", "number": 5, "chosen": instance_key(), "above_term": 4
        } }),
        json!({ "ServiceTermStarted": { "service": "books", "number": 5 } }),
        json!({ "ServiceTermStarted": { "service": "books", "number": 5, "drained": true } }),
        json!({ "ServiceLossCovered": {
            "service": "books", "number": 5, "lost": [instance_key()]
        } }),
    ]
}

fn log_entry() -> Value {
    json!({ "index": 12, "term": 3, "payload": { "Command": "LeaderElected" } })
}

fn voters_entry() -> Value {
    json!({ "index": 13, "term": 3, "payload": { "Voters": {
        "voters": [1, 2, 3], "admitted": { "host": 3, "incarnation": 77 }
    } } })
}

fn snapshot() -> Value {
    json!({ "index": 11, "term": 2, "voters": [1, 2, 3], "state": control_state() })
}

fn agreement_messages() -> Vec<Value> {
    vec![
        json!({ "Vote": {
            "pre_vote": true, "forming": false, "term": 3, "last_index": 12, "last_term": 2
        } }),
        json!({ "VoteReply": { "pre_vote": true, "term": 3, "granted": true } }),
        json!({ "Inquiry": { "number": 8 } }),
        json!({ "InquiryReply": { "number": 8, "knows_no_leader": true, "voters": [1, 2, 3] } }),
        json!({ "Append": {
            "term": 3, "previous_index": 11, "previous_term": 2,
            "entries": [log_entry(), voters_entry()], "commit": 10, "sent_at": 900
        } }),
        json!({ "AppendReply": {
            "term": 3, "accepted": true, "match_index": 13, "eligible": true, "incarnation": 77,
            "sent_at": 900
        } }),
        json!({ "InstallSnapshot": { "term": 3, "snapshot": snapshot(), "sent_at": 900 } }),
    ]
}

fn position() -> Value {
    json!({ "term": 4, "offset": 120 })
}

fn announcement() -> Value {
    json!({
        "database": "db-1", "group": "books.1", "address": "10.0.0.1:5432", "data_centre": "a",
        "connections": 16, "slots": 2, "role": "Primary", "term": 4, "leaving": false
    })
}

fn intents() -> Vec<Value> {
    vec![
        json!({ "Declare": declaration() }),
        json!({ "DrainDatabase": "db-1" }),
        json!({ "RestoreDatabase": "db-1" }),
        json!({ "DrainHost": 2 }),
        json!({ "RestoreHost": 2 }),
        json!({ "ChangeWaitingLimit": { "service": "books", "max_waiting": 50 } }),
    ]
}

fn peer_messages() -> Vec<Value> {
    let stored = json!({ "session": "s-1", "group": "books.1", "mark": position() });
    vec![
        json!({ "Agreement": agreement_messages()[0] }),
        json!({ "LeaseRequest": {
            "record": host_record(), "sent_at": 900, "applied": 12, "leaving": true
        } }),
        json!({ "LeaseGrant": {
            "sent_at": 900, "duration": duration(0, 600_000_000), "required_index": 12
        } }),
        json!({ "LeaderIs": 1 }),
        json!({ "Subscribe": { "applied": 12 } }),
        json!({ "Updates": { "first_index": 12, "commands": ["LeaderElected"] } }),
        json!({ "State": control_state() }),
        json!({ "Announced": announcement() }),
        json!({ "SuspectPrimary": { "group": "books.1", "term": 4 } }),
        json!({ "TermFenced": { "group": "books.1", "term": 4 } }),
        json!({ "MemberReport": {
            "group": "books.1", "astray": ["db-1"], "caught_up": ["db-2"], "removable": ["db-3"]
        } }),
        json!({ "MarkQuery": {
            "request": 6, "session": "s-1", "group": "books.1", "hosts_version": 2
        } }),
        json!({ "MarkAnswer": { "request": 6, "mark": position() } }),
        json!({ "MarkStore": { "request": 6, "stored": stored, "hosts_version": 2 } }),
        json!({ "OperatorAsk": { "ticket": 1, "question": { "Plan": intents()[0] } } }),
        json!({ "OperatorReply": { "ticket": 1, "answer": { "NotCurrent": null } } }),
        json!({ "MarkStored": { "request": 6 } }),
    ]
}

fn control_messages() -> Vec<Value> {
    vec![
        json!({ "Agreement": agreement_messages()[1] }),
        json!({ "Peers": [1, 2] }),
        json!({ "Announced": [instance_record()] }),
        json!({ "Departed": [departure()] }),
        json!({ "Expired": [departure()] }),
        json!("Stopping"),
    ]
}

fn entry_reports() -> Vec<Value> {
    vec![
        json!({ "Renew": {
            "sent_at": 900, "applied": 12, "received": 14, "routes_version": 9, "follows": 1,
            "leaving": true
        } }),
        json!({ "PrimaryReachable": { "service": "books", "number": 5, "reachable": false } }),
        json!({ "UsageRequest": {
            "sent_at": 900, "needs": [{ "workspace": "books", "tokens": 3 }]
        } }),
    ]
}

fn packed_routes() -> Value {
    json!({ "version": 9, "packed": [1, 2, 255] })
}

fn entry_updates() -> Vec<Value> {
    let terms: Vec<Value> = term_phases().into_iter().map(service_term).collect();
    vec![
        json!({ "Grant": {
            "sent_at": 900, "duration": duration(4, 0), "required_index": 12, "entry_hosts": 60
        } }),
        json!({ "NotLeader": { "leader": 1 } }),
        json!({ "State": {
            "index": 12, "since": 10, "routes": packed_routes(), "terms": terms
        } }),
        json!({ "State": {
            "index": 12, "since": 10, "routes": null, "terms": [],
            "packed_terms": { "packed": [1, 2, 255] }
        } }),
        json!({ "Hosts": [1, 2] }),
        json!({ "EntryHosts": [4, 5] }),
        json!({ "GatewayHosts": [{ "data_centre": "a", "hosts": [4, 5] }] }),
        json!({ "Announced": [instance_record()] }),
        json!({ "PackedInstances": { "packed": [1, 2, 255] } }),
        json!({ "Departed": [departure()] }),
        json!({ "Expired": [departure()] }),
        json!({ "Probe": { "service": "books", "number": 5 } }),
        json!({ "UsageGrant": { "sent_at": 900, "lifetime": duration(0, 500_000_000), "grants": [
            { "workspace": "books", "tokens": 3, "retry_after": duration(0, 0) },
            { "workspace": "tools", "tokens": 0, "retry_after": duration(0, 100_000_000) }
        ] } }),
    ]
}

#[test]
fn journal_records() {
    let records = [
        json!({ "Hard": { "term": 3, "voted_for": 1, "eligible": true, "incarnation": 77 } }),
        json!({ "Entry": voters_entry() }),
        json!({ "Snapshot": snapshot() }),
    ];
    insta::assert_snapshot!("journal_records", all_variants::<JournalRecord>(&records));
}

/// Snapshots of the control state that the first builds wrote lack the fields
/// added since.
#[test]
fn early_state() {
    let mut state = control_state();
    for name in ["routes", "terms", "instances", "holders"] {
        assert!(state.as_object_mut().unwrap().remove(name).is_some(), "{name}");
    }
    let read: ControlState = serde_json::from_value(state).unwrap();
    insta::assert_snapshot!("early_state", hex(&cbor(&read)));
}

#[test]
fn control_commands() {
    insta::assert_snapshot!("control_commands", all_variants::<ControlCommand>(&commands()));
}

#[test]
fn agreement_messages_keep_form() {
    let messages = agreement_messages();
    insta::assert_snapshot!("agreement_messages", all_variants::<AgreementMessage>(&messages));
}

#[test]
fn peer_frames() {
    insta::assert_snapshot!("peer_messages", all_variants::<PeerMessage>(&peer_messages()));
    let sample = json!({ "version": 1, "from": 3, "message": peer_messages()[3] });
    let frame: PeerFrame = serde_json::from_value(sample).unwrap();
    let bytes = frame.encode().unwrap();
    assert_eq!(PeerFrame::decode(&bytes).unwrap(), frame);
    insta::assert_snapshot!("peer_frame", hex(&bytes));
}

#[test]
fn link_frames() {
    let messages = control_messages();
    insta::assert_snapshot!("control_messages", all_variants::<ControlMessage>(&messages));
    insta::assert_snapshot!("entry_reports", all_variants::<EntryReport>(&entry_reports()));
    insta::assert_snapshot!("entry_updates", all_variants::<EntryUpdate>(&entry_updates()));
    let roles = ["Control", "Entry"].map(|role| json!(role));
    insta::assert_snapshot!("link_roles", all_variants::<LinkRole>(&roles));
    insta::assert_snapshot!(
        "link_frames",
        all_variants::<LinkFrame>(&[
            json!({ "Hello": { "role": "Entry", "host": 4 } }),
            json!({ "Hello": { "role": "Entry", "host": 4, "data_centre": "a" } }),
            json!({ "Hello": {
                "role": "Entry", "host": 4, "data_centre": "a", "unpacks_records": true
            } }),
            json!({ "Control": messages[1] }),
            json!({ "Report": entry_reports()[1] }),
            json!({ "Update": entry_updates()[1] }),
        ])
    );
}

#[test]
fn operator_questions() {
    insta::assert_snapshot!("intents", all_variants::<Intent>(&intents()));
    insta::assert_snapshot!("planned_changes", all_variants::<PlannedChange>(&planned_changes()));
    insta::assert_snapshot!(
        "questions",
        all_variants::<OperatorQuestion>(&[
            json!({ "Plan": intents()[3] }),
            json!({ "Confirm": {
                "request": "request-1", "plan": "0123456789ab", "operator": "ann",
                "at_unix_ms": 1_000
            } }),
        ])
    );
    insta::assert_snapshot!(
        "answers",
        all_variants::<OperatorAnswer>(&[
            json!({ "Plan": { "Ok": plan() } }),
            json!({ "Confirm": control_answer() }),
            json!({ "NotCurrent": 1 }),
        ])
    );
    encoded::<OperatorAnswer>(&json!({ "Plan": { "Err": "no such service" } }));
}

#[test]
fn routes_and_terms() {
    insta::assert_snapshot!("route_table", hex(&encoded::<RouteTable>(&route_table())));
    insta::assert_snapshot!("packed_routes", hex(&encoded::<PackedRoutes>(&packed_routes())));
    insta::assert_snapshot!("term_phases", all_variants::<TermPhase>(&term_phases()));
    let routes = route_table()["routes"].clone();
    let kinds: Vec<Value> =
        routes.as_array().unwrap().iter().map(|route| route["kind"].clone()).collect();
    insta::assert_snapshot!("route_kinds", all_variants::<RouteKind>(&kinds));
}

/// A journal of an older build names no term that a primary must exceed.
#[test]
fn promotions_of_older_builds_are_read() {
    let mut older = service_term(json!("Steady"));
    older.as_object_mut().unwrap().remove("above_term");
    let term: ServiceTerm = serde_json::from_value(older).unwrap();
    assert_eq!(term.above_term, 0);
    let command: ControlCommand = serde_json::from_value(json!({ "ServicePrimaryChosen": {
        "service": "books", "number": 5, "chosen": instance_key()
    } }))
    .unwrap();
    assert!(matches!(command, ControlCommand::ServicePrimaryChosen { above_term: 0, .. }));
}

/// Databases that were lost in a term must not be forgotten by a restart of control.
#[test]
fn lost_databases_keep_form() {
    let mut term = service_term(json!("Steady"));
    let lost = json!({ "key": instance_key(), "address": "10.0.0.1:5432" });
    term["lost_databases"] = json!([lost]);
    term["log_successor"] = instance_key();
    insta::assert_snapshot!("lost_databases", hex(&encoded::<ServiceTerm>(&term)));
}

#[test]
fn databases() {
    let status = json!({
        "role": "Replica", "term": 4, "fenced_below": 3, "position": position(),
        "history": { "starts": [{ "term": 1, "base_offset": 0 }, { "term": 4, "base_offset": 90 }] }
    });
    insta::assert_snapshot!("database_status", hex(&encoded::<DatabaseStatus>(&status)));
    insta::assert_snapshot!("announcement", hex(&encoded::<Announcement>(&announcement())));
    let roles = ["Primary", "Replica"].map(|role| json!(role));
    insta::assert_snapshot!("database_roles", all_variants::<DatabaseRole>(&roles));
    insta::assert_snapshot!(
        "database_orders",
        all_variants::<DatabaseOrder>(&[
            json!("Report"),
            json!({ "Fence": { "term": 4 } }),
            json!({ "Promote": { "term": 4 } }),
            json!({ "Follow": { "term": 4, "primary": "10.0.0.1:5432" } }),
        ])
    );
}

#[test]
fn result_codes() {
    let codes: Vec<Value> =
        ResultCode::ALL.iter().map(|code| serde_json::to_value(code).unwrap()).collect();
    insta::assert_snapshot!("result_codes", all_variants::<ResultCode>(&codes));
    let outcomes = ["Ran", "DidNotRun", "Unknown"].map(|outcome| json!(outcome));
    insta::assert_snapshot!("outcomes", all_variants::<Outcome>(&outcomes));
}

/// Callers present the token of one host to another, which has to decode it.
#[test]
fn session_tokens() {
    let sample = json!({ "session": "s-1", "group": "books.1", "mark": position() });
    insta::assert_snapshot!("session_token", hex(&encoded::<SessionToken>(&sample)));
    let token: SessionToken = serde_json::from_value(sample).unwrap();
    let key = TokenKey::derive("a secret of sixteen characters");
    let text = token.encode(&key);
    assert_eq!(SessionToken::decode(&text, &key, &token.group).unwrap(), token);
    insta::assert_snapshot!("session_token_text", text);
}
