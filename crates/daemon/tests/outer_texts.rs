//! Guards against a change of result codes, metric names and labels, and settings
//! keys, on which callers, dashboards and operators rely.

use std::path::Path;

use hawthornstack_daemon::{
    metrics::{DaemonMetrics, HOST_METRIC_NAMES, HostMetrics, TrafficDirection},
    settings::DaemonSettings,
};
use hawthornstack_decisions::outcomes::ResultCode;
use opentelemetry::KeyValue;

/// Settings of only the keys that have no default. The host is no voter and thus
/// needs no data folder.
const MINIMAL_SETTINGS: &str = "\
host: { id: 9, data_centre: north }
listen: { callers: 127.0.0.1:6432, peers: 127.0.0.1:7432, operators: 127.0.0.1:8432 }
control: { voters: [{ id: 1, peers: 127.0.0.1:7433 }] }
sessions: { secret: sixteen characters }
";

/// Settings with every key given and no value at its default.
const FULL_SETTINGS: &str = "\
host: { id: 1, data_centre: north }
listen: { callers: 127.0.0.1:1, peers: 127.0.0.1:2, operators: 127.0.0.1:3 }
control:
  voters: [{ id: 1, peers: 127.0.0.1:2 }]
  data: some/folder
  election_timeout: 1s 500ms
  heartbeat: 70ms
  lease: 2s
  renewal: 90ms
failover: { suspect_after: 3s, stall_after: 1m }
groups: { homes: 5 }
sessions: { secret: another sixteen characters }
logs: { level: trace, parts: { callers: warn, peers: error } }
";

#[test]
fn result_codes() {
    let lines: Vec<String> = ResultCode::ALL.iter().map(|code| code_line(*code)).collect();
    insta::assert_snapshot!("result_codes", lines.join("\n"));
}

fn code_line(code: ResultCode) -> String {
    let (number, sqlstate, outcome) = (code.number(), code.sqlstate(), code.outcome());
    format!("{number} | {code:?} | {sqlstate} | {outcome:?} | {} | {}", code.text(), code.remedy())
}

/// Replaces each value of a metrics page by `_`; names, texts and labels stay.
fn without_values(page: &str) -> String {
    page.lines().map(without_value).collect::<Vec<_>>().join("\n")
}

fn without_value(line: &str) -> String {
    match line.rsplit_once(' ') {
        Some((series, _)) if !line.starts_with('#') => format!("{series} _"),
        _ => line.to_owned(),
    }
}

#[test]
fn daemon_metrics_page() {
    let metrics = DaemonMetrics::start().expect("metrics");
    metrics.count_frame("some kind", TrafficDirection::Sent, 10);
    metrics.count_frame("some kind", TrafficDirection::Received, 20);
    metrics.count_dispatch(true);
    metrics.count_dispatch(false);
    metrics.count_request(ResultCode::Done, 0.003);
    metrics.count_request(ResultCode::QueueFull, 0.004);
    insta::assert_snapshot!("daemon_metrics", without_values(&metrics.page()));
}

#[test]
fn host_metrics_page() {
    let metrics = HostMetrics::start().expect("metrics");
    metrics.count_statement("some route", "some outcome", 0.003);
    metrics.record_stage("some stage", 0.003);
    metrics.count_retry("some reason");
    metrics.count_refusal("some reason");
    metrics.count_usage_refusal();
    metrics.count_read(true);
    metrics.count_read(false);
    metrics.count_replaced();
    metrics.count_left_out("some kind", 3);
    metrics.count_sent("some kind", 3);
    for (name, _) in HOST_METRIC_NAMES {
        // `set` ignores the names of counters and histograms.
        metrics.set(name, 1.0, &[KeyValue::new("some_label", "some value")]);
    }
    insta::assert_snapshot!("host_metrics", without_values(&metrics.page()));
}

/// Parses settings and writes them as YAML, after a check that the YAML parses to the
/// same settings.
fn written_again(text: &str) -> String {
    let settings = DaemonSettings::parse(text).expect("settings");
    let written = serde_yaml_ng::to_string(&settings).expect("YAML");
    assert_eq!(DaemonSettings::parse(&written).expect("written settings"), settings);
    written
}

fn sample(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings");
    std::fs::read_to_string(folder.join(name)).expect("a sample")
}

#[test]
fn sample_settings() {
    insta::assert_snapshot!("settings_lone_star", written_again(&sample("lone-star.yaml")));
    insta::assert_snapshot!("settings_cascade", written_again(&sample("cascade.yaml")));
}

#[test]
fn settings_with_defaults_and_without() {
    insta::assert_snapshot!("settings_minimal", written_again(MINIMAL_SETTINGS));
    insta::assert_snapshot!("settings_full", written_again(FULL_SETTINGS));
}

#[test]
fn refused_settings() {
    let cases = [
        ("id: 9", "id: nine"),
        ("data_centre: north", "data_centre: no rth"),
        ("control: {", "control: { unknown: 1,"),
        ("control: {", "control: { heartbeat: 200ms,"),
        ("control: {", "control: { lease: 200ms,"),
        ("voters: [{ id: 1, peers: 127.0.0.1:7433 }]", "voters: []"),
        ("voters: [", "voters: [{ id: 1, peers: 127.0.0.1:7434 }, "),
        ("id: 9", "id: 1"),
        ("host:", "groups: { homes: 0 }\nhost:"),
        ("host:", "failover: { suspect_after: 10ms }\nhost:"),
        ("sixteen characters", "short"),
    ];
    let refusal = |(from, to): (&str, &str)| {
        let text = MINIMAL_SETTINGS.replacen(from, to, 1);
        assert_ne!(text, MINIMAL_SETTINGS, "{from}");
        let error = DaemonSettings::parse(&text).expect_err(to);
        format!("{from} -> {to}\n    {error}")
    };
    insta::assert_snapshot!("settings_refused", cases.map(refusal).join("\n"));
}
