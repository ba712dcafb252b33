//! `trace-request` selects and sorts the log lines about one request from the log
//! files of several hosts.

use std::{fs, path::PathBuf, process::Command};

fn write_log(name: &str, lines: &[&str]) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("{name}.log"));
    fs::write(&path, lines.join("\n")).expect("cannot write the log file");
    path
}

fn run(arguments: &[&str], files: &[PathBuf]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_hawthornstack"))
        .args(arguments)
        .args(files)
        .output()
        .expect("cannot start hawthornstack");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).expect("output is valid Unicode"))
}

/// Writes the log of an entry host and a file of a log collector. Each test has
/// its own files, since tests run at the same time.
fn write_logs(test: &str) -> Vec<PathBuf> {
    vec![
        write_log(
            &format!("{test}-entry-1"),
            &[
                r#"{"timestamp":"2026-01-01T00:00:01.0Z","message":"routed","request":"5c0e","instance":"i-1@7","target":"request"}"#,
                r#"{"timestamp":"2026-01-01T00:00:03.0Z","message":"answered","request":"5c0e","outcome":"not run","target":"request"}"#,
                r#"{"timestamp":"2026-01-01T00:00:02.0Z","message":"routed","request":"ffff","target":"request"}"#,
                "words that are no JSON {",
            ],
        ),
        write_log(
            &format!("{test}-collected"),
            &[
                r#"12.3 core-a {"timestamp":"2026-01-01T00:00:02.5Z","message":"term","service":"books","target":"control"}"#,
                r#"19.3 core-a {"timestamp":"2026-01-01T00:00:09.5Z","message":"term","service":"later","target":"control"}"#,
            ],
        ),
    ]
}

#[test]
fn decisions_are_shown_in_order() {
    let (good, text) = run(&["trace-request", "5c0e"], &write_logs("order"));
    assert!(good, "{text}");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert!(lines[1].contains("order-entry-1 [request] routed: instance=i-1@7"));
    assert!(lines[2].contains("core-a [control] term: service=books"));
    assert!(lines[3].contains("answered: outcome=not run"));
}

#[test]
fn json_has_the_same_lines() {
    let (good, text) = run(&["--json", "trace-request", "5c0e"], &write_logs("json"));
    assert!(good, "{text}");
    let timeline: serde_json::Value = serde_json::from_str(&text).expect("output is JSON");
    assert_eq!(timeline["lines"].as_array().map(Vec::len), Some(3));
    assert_eq!(timeline["lines"][0]["is_request"], true);
}

#[test]
fn unknown_request_is_reported() {
    let (good, text) = run(&["trace-request", "0000"], &write_logs("unknown"));
    assert!(!good);
    assert!(text.contains("no line names the request 0000"), "{text}");
}
