//! Classification of statements, and parsing of callers' settings.

use hawthornstack_decisions::statements::{CallerSetting, StatementClass, classify, read_hints};
use proptest::{prelude::*, test_runner::RngSeed};
use std::time::Duration;

#[test]
fn certain_reads() {
    for sql in [
        "SELECT 1",
        "select count(*), max(x) from t where a = $1 order by b limit 3",
        "WITH a AS (SELECT 1 AS x) SELECT * FROM a JOIN b ON a.x = b.x",
        "SELECT * FROM (SELECT lower(name) FROM t) AS u",
        "EXPLAIN SELECT 1",
        "SELECT 1; SELECT 2",
    ] {
        assert_eq!(classify(sql), StatementClass::Read, "{sql}");
    }
}

#[test]
fn possible_writes() {
    for sql in [
        "INSERT INTO t VALUES (1)",
        "SELECT * FROM t FOR UPDATE",
        "SELECT nextval('s')",
        "SELECT my_function(1)",
        "WITH x AS (INSERT INTO t VALUES (1) RETURNING 1) SELECT * FROM x",
        "SELECT 1 INTO u FROM t",
        "SELECT * FROM do_things(1)",
        "EXPLAIN ANALYZE DELETE FROM t",
        "this is no sql",
        "SELECT 1; DELETE FROM t",
    ] {
        assert_eq!(classify(sql), StatementClass::Write, "{sql}");
    }
}

#[test]
fn session_state_is_unsupported() {
    for sql in [
        "PREPARE p AS SELECT 1",
        "LISTEN c",
        "SET SESSION AUTHORIZATION bob",
        "CREATE TEMP TABLE t (a int)",
        "BEGIN; SELECT 1; COMMIT",
        "COPY t FROM STDIN",
    ] {
        assert_eq!(classify(sql), StatementClass::Unsupported, "{sql}");
    }
}

#[test]
fn transaction_control() {
    assert_eq!(classify("BEGIN"), StatementClass::Begin { read_only: false });
    assert_eq!(classify("START TRANSACTION READ ONLY"), StatementClass::Begin { read_only: true });
    assert_eq!(classify("COMMIT"), StatementClass::Commit);
    assert_eq!(classify("ROLLBACK"), StatementClass::Rollback);
    assert_eq!(classify("  ;  "), StatementClass::Empty);
}

#[test]
fn leading_hints() {
    let sql = "/* hawthornstack: max_age=5s request_key=k-1 */ SELECT 1";
    assert_eq!(
        read_hints(sql).unwrap(),
        vec![
            CallerSetting::MaxAge(Some(Duration::from_secs(5))),
            CallerSetting::RequestKey(Some("k-1".into())),
        ]
    );
    let inside = "SELECT '/* hawthornstack: max_age=5s */'";
    assert_eq!(read_hints(inside).unwrap(), vec![]);
}

#[test]
fn bad_values() {
    for (name, value) in
        [("max_age", "5"), ("max_age", "5 s"), ("session", ""), ("timeout", "0ms"), ("age", "1s")]
    {
        assert!(CallerSetting::parse(name, value).is_err(), "{name}={value}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// No text makes the parsers panic, and no text that starts with a verb that
    /// writes is classified as a read.
    #[test]
    fn any_text(text in "\\PC{0,80}", verb in "(INSERT INTO|UPDATE|DELETE FROM|DROP TABLE)") {
        let _ = classify(&text);
        let _ = read_hints(&text);
        let write = format!("{verb} {text}");
        prop_assert_ne!(classify(&write), StatementClass::Read);
    }
}
