//! Guards against changes of the JSON and text of the lab's reports: scripts read
//! them, and they are compared with earlier journal entries.

use std::fmt::Debug;

use hawthornstack_lab::{
    demo::DemoReport,
    faults::{FaultKind, FaultRecord, FaultSummary, summarize},
    history::{FinalState, HistoryReport, RecordedOperation, check_history},
    latency::LatencyReport,
    load::LoadReport,
    slopes::SlopeLine,
    standalone::FaultRequest,
};
use serde::{Serialize, de::DeserializeOwned};

const HISTORY_REPORT: &str = r#"{"requests": 1, "answered_correctly": 2, "lost_writes": 3,
    "doubled_writes": 4, "stale_session_reads": 5, "crossed_answers": 6, "unknown_outcomes": 7,
    "refused": 8}"#;

const DEMO: &str = r#"{"requests": 1, "answered_correctly": 2, "lost_writes": 3,
    "doubled_writes": 4, "stale_session_reads": 5, "crossed_answers": 6, "unknown_outcomes": 7,
    "refused": 8, "replica_read_share": 0.5, "failover_gap_ms": 250.25, "p50_ms": 1.5,
    "p99_ms": 9.75, "drain_failures": 10, "connections_refused": 11,
    "not_run": ["a part, for a reason"]}"#;

const DEMO_NOT_MEASURED: &str = r#"{"requests": 0, "answered_correctly": 0, "lost_writes": 0,
    "doubled_writes": 0, "stale_session_reads": 0, "crossed_answers": 0, "unknown_outcomes": 0,
    "refused": 0, "replica_read_share": null, "failover_gap_ms": null, "p50_ms": null,
    "p99_ms": null, "drain_failures": null, "connections_refused": 0, "not_run": []}"#;

const LOAD: &str = r#"{"factor": 1.5, "offered_per_second": 100.5, "goodput_per_second": 90.25,
    "sent": 1, "late": 2, "refused": 3, "unknown": 4, "p50_ms": 5.5, "p99_ms": 6.5,
    "replica_read_share": 0.75, "best_to_worst": 1.25, "opened_per_thousand": 7.5,
    "connections_refused": 8}"#;

const LATENCY: &str = r#"{"callers": 4,
    "direct": {"per_second": 1000.5, "p50_us": 1, "p99_us": 2},
    "proxied": {"per_second": 900.5, "p50_us": 3, "p99_us": 4},
    "p50_ratio": 1.5, "throughput_ratio": 0.75}"#;

const SLOPE: &str = r#"{"name": "a measure", "per": "a host", "unit": "bytes",
    "points": [{"size": 1.0, "value": 3.5}, {"size": 2.0, "value": 5.5}],
    "slope": 2.0, "intercept": 1.5, "straightness": 1.0}"#;

const FAULT_RECORDS: &str = r#"[
    {"kind": "killed", "round": 0, "term_before": 1, "term_after": 2, "gap_ms": 400.5,
        "detected_ms": 300.25, "promoted_ms": 350.75},
    {"kind": "killed", "round": 1, "term_before": 2, "term_after": 3, "gap_ms": 500.5,
        "detected_ms": 310.25, "promoted_ms": 360.75},
    {"kind": "frozen", "round": 0, "term_before": 3, "term_after": 4, "gap_ms": 600.5,
        "detected_ms": 320.25, "promoted_ms": 370.75},
    {"kind": "partitioned", "round": 0, "term_before": 4, "term_after": 5, "gap_ms": 700.5,
        "detected_ms": 330.25, "promoted_ms": 380.75},
    {"kind": "paused", "round": 0, "term_before": 5, "term_after": 5, "gap_ms": 201.5,
        "detected_ms": null, "promoted_ms": null}]"#;

/// Checked against `FINAL_STATE`, these operations include violations of every
/// guarantee, so that no count of the report is 0.
const OPERATIONS: &str = r#"[
    {"session": 1, "group": 0, "kind": {"Append": {"number": 1}},
        "sent_at": {"secs": 1, "nanos": 500000000}, "answered_at": {"secs": 2, "nanos": 0},
        "result": "Written"},
    {"session": 1, "group": 0, "kind": {"Append": {"number": 2}},
        "sent_at": {"secs": 2, "nanos": 0}, "answered_at": {"secs": 3, "nanos": 0},
        "result": "Written"},
    {"session": 1, "group": 0, "kind": "Increment",
        "sent_at": {"secs": 3, "nanos": 0}, "answered_at": {"secs": 4, "nanos": 0},
        "result": "Unknown"},
    {"session": 2, "group": 0, "kind": {"Claim": {"item": 7}},
        "sent_at": {"secs": 3, "nanos": 0}, "answered_at": {"secs": 4, "nanos": 0},
        "result": {"Claimed": true}},
    {"session": 3, "group": 0, "kind": {"Claim": {"item": 7}},
        "sent_at": {"secs": 3, "nanos": 0}, "answered_at": {"secs": 4, "nanos": 0},
        "result": "DidNotRun"},
    {"session": 1, "group": 0,
        "kind": {"Read": {"max_age": {"secs": 1, "nanos": 0}, "nonce": 90}},
        "sent_at": {"secs": 5, "nanos": 0}, "answered_at": {"secs": 6, "nanos": 0},
        "result": {"Found": {"number": 2, "nonce": 90}}},
    {"session": 1, "group": 0, "kind": {"Read": {"max_age": null, "nonce": 91}},
        "sent_at": {"secs": 5, "nanos": 0}, "answered_at": {"secs": 6, "nanos": 0},
        "result": {"Found": {"number": 1, "nonce": 92}}}]"#;

const FINAL_STATE: &str = r#"{"entries": [[1, 1]], "claims": {"7": 2}, "counter": 4}"#;

fn decode<T: DeserializeOwned>(json: &str) -> T {
    serde_json::from_str(json).expect(json)
}

/// Decodes a value, encodes it again and checks that the result decodes to the
/// same value. Returns the new JSON.
fn written_again<T>(json: &str) -> String
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let value: T = decode(json);
    let written = serde_json::to_string_pretty(&value).expect("JSON");
    assert_eq!(decode::<T>(&written), value);
    written
}

#[test]
fn demo_reports() {
    let reports = [DEMO, DEMO_NOT_MEASURED];
    insta::assert_snapshot!("demo", reports.map(written_again::<DemoReport>).join("\n"));
    let texts = reports.map(|json| decode::<DemoReport>(json).to_text());
    insta::assert_snapshot!("demo_text", texts.join("\n"));
}

#[test]
fn load_report() {
    insta::assert_snapshot!("load", written_again::<LoadReport>(LOAD));
}

#[test]
fn latency_report() {
    insta::assert_snapshot!("latency", written_again::<LatencyReport>(LATENCY));
}

#[test]
fn slope_lines() {
    insta::assert_snapshot!("slope", written_again::<SlopeLine>(SLOPE));
    insta::assert_snapshot!("slope_text", decode::<SlopeLine>(SLOPE).to_text());
}

#[test]
fn fault_kinds() {
    let kinds = serde_json::to_string_pretty(&FaultKind::ALL).expect("JSON");
    assert_eq!(decode::<Vec<FaultKind>>(&kinds), FaultKind::ALL);
    insta::assert_snapshot!("fault_kinds", kinds);
}

#[test]
fn fault_records_and_summaries() {
    insta::assert_snapshot!("fault_records", written_again::<Vec<FaultRecord>>(FAULT_RECORDS));
    let summaries = summarize(&decode::<Vec<FaultRecord>>(FAULT_RECORDS));
    let text = serde_json::to_string(&summaries).expect("JSON");
    insta::assert_snapshot!("fault_summaries", written_again::<Vec<FaultSummary>>(&text));
}

#[test]
fn fault_request() {
    let full = r#"{"database": "books-1-a", "fault": "slow", "delay_ms": 40}"#;
    let short = r#"{"database": "books-1-a", "fault": "none"}"#;
    let written = [full, short].map(written_again::<FaultRequest>);
    insta::assert_snapshot!("fault_requests", written.join("\n"));
}

#[test]
fn histories() {
    insta::assert_snapshot!("operations", written_again::<Vec<RecordedOperation>>(OPERATIONS));
    insta::assert_snapshot!("final_state", written_again::<FinalState>(FINAL_STATE));
    insta::assert_snapshot!("history_report", written_again::<HistoryReport>(HISTORY_REPORT));
}

#[test]
fn checked_history() {
    let operations: Vec<RecordedOperation> = decode(OPERATIONS);
    let report = check_history(&operations, &[decode(FINAL_STATE)]);
    let text = serde_json::to_string_pretty(&report).expect("JSON");
    insta::assert_snapshot!("checked_history", text);
}
