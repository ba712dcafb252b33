//! Guards against changes of the tool's text and JSON output, HTTP requests and
//! exit codes, which operators and scripts rely on.

use std::{
    fs,
    io::{Read, Write},
    net::TcpListener,
    path::PathBuf,
    process::Command,
    thread,
};

const STATUS: &str = r#"{"host":1,"leader":2,"is_current_leader":false,"has_lease":true,
"version":6,"applied":70,"services":[["books",{"instances":2,"databases":3,"max_waiting":50}]],
"groups":[{"group":"books.1","term":4,"primary":"books-1-a","phase":"steady","homes":[1,2],
"waiting":5,"members":[{"database":"books-1-a","address":"127.0.0.1:5432","data_centre":"north",
"standing":"counting","role":"primary","position":"4/90","in_use":8}]}],
"hosts":[{"host":1,"peer_address":"127.0.0.1:7432","data_centre":"north","draining":true},
{"host":2,"peer_address":"127.0.0.1:7433","data_centre":"south","draining":false}]}"#;

const EMPTY_STATUS: &str = r#"{"host":1,"leader":null,"is_current_leader":false,"has_lease":false,
"version":0,"applied":0,"services":[],"groups":[],"hosts":[]}"#;

const PLAN: &str = r#"{"id":"0123456789ab","base_version":6,"changes":[{"RemoveService":"books"}],
"steps":["one sentence","another one"]}"#;

const EMPTY_PLAN: &str = r#"{"id":"0123456789ab","base_version":6,"changes":[],"steps":[]}"#;

/// An audit trail of one record whose `chain` is valid.
const AUDIT: &str = r#"[{"sequence":1,"at_unix_ms":1000,"operator":"platform","plan":"routes-5",
"changes":[{"ReplaceRoutes":5}],"result":"Done",
"chain":"6f47bebb142fdfdf789cee6de75db9fe05933064a8a3ec60a5b179566a45a3bd"}]"#;

const CONFIRMED: &str = r#"{"code":0,"text":"why","version":7,"changed_since":[]}"#;
const OUTDATED: &str = r#"{"code":501,"text":"why","version":8,"changed_since":["a step","more"]}"#;
const REFUSED: &str = r#"{"code":503,"text":"why","mend":"how","leader":2}"#;

/// Runs the tool and returns its exit code, output and errors as text.
fn run(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_hawthornstack"))
        .args(arguments)
        .env_remove("HAWTHORNSTACK_HOSTS")
        .output()
        .expect("cannot start hawthornstack");
    let text = |bytes| String::from_utf8(bytes).expect("output is valid Unicode");
    let (out, error) = (text(output.stdout), text(output.stderr));
    format!(
        "exit code {}\n-- output\n{out}-- errors\n{error}",
        output.status.code().expect("no exit code")
    )
}

/// Accepts one HTTP request, answers it and returns its first line and its body.
fn answer_request(listener: &TcpListener, answer: &str) -> String {
    let (mut stream, _) = listener.accept().expect("cannot accept a connection");
    let mut received = Vec::new();
    while !is_complete(&received) {
        let mut part = [0; 1_024];
        let read = stream.read(&mut part).expect("cannot read the request");
        assert_ne!(read, 0, "the request ended early");
        received.extend_from_slice(&part[..read]);
    }
    let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}", answer.len());
    write!(stream, "{head}\r\n\r\n{answer}").expect("cannot send the answer");
    let request = String::from_utf8(received).expect("the request is valid Unicode");
    let (head, body) = request.split_once("\r\n\r\n").expect("the request has a head");
    format!("{} {body}", head.lines().next().unwrap_or_default()).trim_end().to_owned()
}

/// True if a request was received in full. Only POST has a body, which is JSON.
fn is_complete(received: &[u8]) -> bool {
    let Some(end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
        return false;
    };
    let body = &received[end + 4..];
    !received.starts_with(b"POST") || serde_json::from_slice::<serde_json::Value>(body).is_ok()
}

/// Runs the tool against a server that gives `answer` to one request.
fn run_with(arguments: &[&str], answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot listen on a local port");
    let address = listener.local_addr().expect("no local address").to_string();
    let server = thread::spawn(move || answer_request(&listener, answer));
    let printed = run(&[&["--hosts", &address], arguments].concat());
    let request = server.join().expect("the server failed");
    format!("==== {}\n-- request\n{request}\n{printed}\n", arguments.join(" "))
}

fn run_all(cases: &[(&[&str], &'static str)]) -> String {
    cases.iter().map(|(arguments, answer)| run_with(arguments, answer)).collect()
}

#[test]
fn status_pages() {
    let cases: [(&[&str], &str); 8] = [
        (&["status"], STATUS),
        (&["status"], EMPTY_STATUS),
        (&["services"], STATUS),
        (&["upstreams"], STATUS),
        (&["hosts"], STATUS),
        (&["hosts"], EMPTY_STATUS),
        (&["hosts"], REFUSED),
        (&["--json", "status"], STATUS),
    ];
    insta::assert_snapshot!("status", run_all(&cases));
}

#[test]
fn plans() {
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/../../settings/services.yaml");
    let cases: [(&[&str], &str); 9] = [
        (&["plan", "declare", "-f", sample], PLAN),
        (&["plan", "drain", "books-1-a"], EMPTY_PLAN),
        (&["plan", "drain", "h3"], PLAN),
        (&["plan", "restore", "books-1-a"], PLAN),
        (&["plan", "restore", "h3"], PLAN),
        (&["plan", "limit", "books", "--max-waiting", "70"], PLAN),
        (&["plan", "drain", "h3"], REFUSED),
        (&["--json", "plan", "drain", "h3"], PLAN),
        (&["--json", "plan", "drain", "h3"], EMPTY_PLAN),
    ];
    insta::assert_snapshot!("plans", run_all(&cases).replace(sample, "SAMPLE"));
}

#[test]
fn confirmations() {
    let confirm = ["confirm", "0123456789ab", "--request", "r-1", "--operator", "somebody"];
    let as_json = [&["--json"][..], &confirm].concat();
    let cases: [(&[&str], &str); 5] = [
        (&confirm, CONFIRMED),
        (&confirm, OUTDATED),
        (&confirm, REFUSED),
        (&as_json, CONFIRMED),
        (&as_json, OUTDATED),
    ];
    insta::assert_snapshot!("confirmations", run_all(&cases));
}

#[test]
fn audit_trail() {
    let cases: [(&[&str], &str); 3] =
        [(&["audit"], AUDIT), (&["--json", "audit"], AUDIT), (&["audit"], "[]")];
    insta::assert_snapshot!("audit", run_all(&cases));
}

#[test]
fn changed_audit_trail() {
    let changed: &'static str = AUDIT.replace("1000", "1001").leak();
    insta::assert_snapshot!("audit_changed", run_with(&["audit"], changed));
}

#[test]
fn commands_without_daemon() {
    let cases: [&[&str]; 5] = [
        &["explain", "0"],
        &["explain", "201"],
        &["explain", "999"],
        &["plan", "drain", "no name"],
        // Nothing listens on the port of the discard protocol.
        &["--hosts", "127.0.0.1:9, 127.0.0.1:9", "status"],
    ];
    let shown = cases.map(|arguments| format!("==== {}\n{}", arguments.join(" "), run(arguments)));
    insta::assert_snapshot!("without_daemon", shown.join("\n"));
}

fn write_log_file() -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("outer-entry-1.log");
    let lines = [
        r#"{"timestamp":"2026-01-01T00:00:01.0Z","level":"INFO","message":"routed","request":"5c0e","instance":"i-1@7","empty":"","count":3,"target":"request"}"#,
        r#"10.0 core-a {"timestamp":"2026-01-01T00:00:02.0Z","level":"INFO","message":"term","service":"books","target":"control"}"#,
        r#"{"timestamp":"2026-01-01T00:00:03.0Z","level":"INFO","message":"answered","request":"5c0e","outcome":"served","target":"request"}"#,
    ];
    fs::write(&path, lines.join("\n")).expect("cannot write the log file");
    path
}

#[test]
fn timelines() {
    let path = write_log_file();
    let path = path.to_str().expect("the path is valid Unicode");
    let text = run(&["trace-request", "5c0e", path]);
    let json = run(&["--json", "trace-request", "5c0e", path]);
    let unknown = run(&["trace-request", "ffff", path]).replace(path, "FILE");
    insta::assert_snapshot!("timelines", [text, json, unknown].join("\n"));
}
