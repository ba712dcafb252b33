//! Guards against tables in the documentation that differ from the code, and against
//! sample settings that the daemon rejects.

use std::path::{Path, PathBuf};

use hawthornstack_daemon::{
    metrics::{HOST_METRIC_NAMES, METRIC_NAMES},
    settings::DaemonSettings,
};
use hawthornstack_decisions::outcomes::ResultCode;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    std::fs::read_to_string(root().join("docs").join(name)).unwrap()
}

#[test]
fn result_codes() {
    let page = page("RESULT_CODES.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .collect();
    let expected: Vec<String> = ResultCode::ALL
        .iter()
        .map(|code| {
            let (number, state, outcome) = (code.number(), code.sqlstate(), code.outcome());
            let (text, remedy) = (code.text(), code.remedy());
            format!("| {number} | {code:?} | {state} | {outcome:?} | {text} | {remedy} |")
        })
        .collect();
    assert_eq!(rows, expected);
    assert!(ResultCode::ALL.is_sorted_by_key(|code| code.number()));
}

#[test]
fn metric_names() {
    let page = page("METRICS.md");
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| `")).collect();
    let daemon = METRIC_NAMES.iter().map(|(name, text)| format!("| `{name}` | {text} |"));
    let hosts = HOST_METRIC_NAMES.iter().map(|(name, text)| format!("| `{name}`: {text} |"));
    let expected: Vec<String> = daemon.chain(hosts).collect();
    assert_eq!(rows, expected);
}

#[test]
fn sample_settings() {
    for name in ["lone-star.yaml", "cascade.yaml"] {
        let path = root().join("settings").join(name);
        let settings = DaemonSettings::load(&path).unwrap();
        assert!(settings.is_voter());
        let text = std::fs::read_to_string(&path).unwrap();
        for key in ["lease", "suspect_after", "homes", "secret"] {
            assert!(text.contains(key) && page("SETTINGS.md").contains(key), "{key}");
        }
    }
}

#[test]
fn rejected_settings() {
    let sample = std::fs::read_to_string(root().join("settings/lone-star.yaml")).unwrap();
    for (from, to, expected) in [
        ("homes: 3", "homse: 3", "homse"),
        ("lease: 600ms", "lease: 600", "600"),
        ("lease: 600ms", "lease: 200ms", "control.renewal"),
        ("heartbeat: 50ms", "heartbeat: 200ms", "control.heartbeat"),
        ("suspect_after: 400ms", "suspect_after: 100ms", "failover.suspect_after"),
        ("data: data/h1", "", "control.data"),
        ("id: 2, peers", "id: 1, peers", "same id"),
        ("secret: replace this by a secret of your own", "secret: short", "sessions.secret"),
    ] {
        assert!(sample.contains(from), "{from}");
        let error = DaemonSettings::parse(&sample.replace(from, to)).unwrap_err().to_string();
        assert!(error.contains(expected), "{to}: {error}");
    }
}
