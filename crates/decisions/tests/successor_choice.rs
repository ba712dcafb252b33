//! Which database is chosen after a failure where acknowledged commits are on replicas.

mod instance_records;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use hawthornstack_decisions::{
    clock::Moment,
    instances::{InstanceDirectory, InstanceKey, InstanceRecord, InstanceRole},
    leases::LeaseTable,
    positions::LogPosition,
    primaries::{
        HolderView, InstanceStatus, ServiceTerm, SuccessionRules, TermChange, TermPhase, TermStep,
    },
};
use instance_records::record;

const START: Moment = Moment::from_millis(10_000);
const RULES: SuccessionRules = SuccessionRules {
    sync_replicas: 1,
    unseen_replicas: 0,
    replacements: Vec::new(),
    drain_limit: Some(Duration::from_secs(6)),
};

/// A primary `a` with the replicas `b` and `c`, and the state of a change after `a` failed.
struct Failover {
    directory: InstanceDirectory,
    term: ServiceTerm,
    change: TermChange,
    rules: SuccessionRules,
    /// Time of the last steps, at which the answers after them were asked for.
    now: Moment,
}

impl Failover {
    fn new() -> Self {
        Self::with_plan(false)
    }

    /// The same in a planned change.
    fn planned() -> Self {
        Self::with_plan(true)
    }

    fn with_plan(planned: bool) -> Self {
        let mut directory = InstanceDirectory::default();
        let primary = record("a", InstanceRole::Primary, 1);
        for (id, port, role) in [
            ("a", 1, InstanceRole::Primary),
            ("b", 2, InstanceRole::Replica),
            ("c", 3, InstanceRole::Replica),
        ] {
            directory.record_announcement(START, &record(id, role, port));
        }
        let term = ServiceTerm {
            phase: TermPhase::Fencing { planned },
            ..ServiceTerm::new(Arc::from("books"), 1, 5, primary.key)
        };
        let change = TermChange::new(START, &term);
        Self { directory, term, change, rules: RULES, now: START }
    }

    fn steps_after(&mut self, time: Duration) -> Vec<TermStep> {
        self.now = START + time;
        let now = self.now;
        let leases = LeaseTable::new(START, Duration::ZERO);
        let view =
            HolderView { holders: &BTreeSet::new(), leases: &leases, applied: &BTreeMap::new() };
        self.change.next_steps(now, &self.term, &self.directory, view, &self.rules)
    }

    fn answer(&mut self, id: &str, offset: u64) {
        let received = LogPosition::new(1, offset);
        let status = InstanceStatus { role: InstanceRole::Replica, term: 1, received };
        let key = InstanceKey { id: Arc::from(id), born_ms: 1 };
        self.change.record_status(key, self.now, Some(status));
    }
}

fn chosen(steps: &[TermStep]) -> Option<&str> {
    steps.iter().find_map(|step| match step {
        TermStep::Choose { chosen, .. } => Some(&*chosen.id),
        _ => None,
    })
}

/// Once both replicas have answered, one of them holds every acknowledged commit: the failed
/// primary must not be waited for.
#[test]
fn failed_primary_is_not_waited_for() {
    let mut failover = Failover::new();
    failover.steps_after(Duration::ZERO);
    failover.answer("b", 7);
    assert_eq!(chosen(&failover.steps_after(Duration::from_millis(1_500))), None);
    failover.answer("c", 9);
    assert_eq!(chosen(&failover.steps_after(Duration::from_millis(1_600))), Some("c"));
}

/// A replica that drains may be the only one with an acknowledged commit: it must not be passed
/// over for one that is behind.
#[test]
fn draining_replica_with_the_longer_log_is_chosen() {
    let mut failover = Failover::new();
    let draining = |sequence| InstanceRecord {
        draining: true,
        sequence,
        ..record("c", InstanceRole::Replica, 3)
    };
    failover.directory.record_announcement(START, &draining(2));
    failover.steps_after(Duration::ZERO);
    failover.answer("b", 7);
    failover.answer("c", 9);
    assert_eq!(chosen(&failover.steps_after(Duration::from_millis(10))), Some("c"));
}

/// The same if its drain period is over: a lost write is worse than a late request.
#[test]
fn drained_replica_with_the_longer_log_is_chosen() {
    let mut failover = Failover::new();
    let draining =
        InstanceRecord { draining: true, sequence: 2, ..record("c", InstanceRole::Replica, 3) };
    failover.directory.record_announcement(START, &draining);
    failover.steps_after(Duration::from_secs(8));
    failover.answer("b", 7);
    assert_eq!(chosen(&failover.steps_after(Duration::from_millis(8_500))), None);
    failover.answer("c", 9);
    assert_eq!(chosen(&failover.steps_after(Duration::from_millis(8_600))), Some("c"));
}

impl Failover {
    /// Announces a database as draining at the start, right after it did not drain.
    fn drain(&mut self, id: &str, port: u16, role: InstanceRole) {
        let draining = InstanceRecord { draining: true, sequence: 2, ..record(id, role, port) };
        self.directory.record_announcement(START, &draining);
    }
}

/// A replica that fell behind must not replace a draining primary while a drained replica, which
/// may not be promoted itself, has a later commit.
#[test]
fn planned_change_waits_for_the_log_of_a_drained_replica() {
    let mut change = Failover::planned();
    change.drain("a", 1, InstanceRole::Primary);
    change.drain("b", 2, InstanceRole::Replica);
    let mut time = Duration::from_secs(7);
    change.steps_after(time);
    for id in ["a", "b"] {
        change.answer(id, 9);
    }
    change.answer("c", 7);
    for _ in 0..100 {
        assert_eq!(chosen(&change.steps_after(time)), None, "after {time:?}");
        time += Duration::from_millis(100);
    }
    change.answer("c", 9);
    assert_eq!(chosen(&change.steps_after(time)), Some("c"));
}

/// While no replica has caught up, a draining primary must go on within its drain period
/// instead of leaving the service without a primary.
#[test]
fn draining_primary_goes_on_while_no_replica_has_its_log() {
    let mut change = Failover::planned();
    change.drain("a", 1, InstanceRole::Primary);
    change.drain("b", 2, InstanceRole::Replica);
    change.steps_after(Duration::ZERO);
    for id in ["a", "b"] {
        change.answer(id, 9);
    }
    change.answer("c", 7);
    assert_eq!(chosen(&change.steps_after(Duration::from_millis(1_400))), None);
    assert_eq!(chosen(&change.steps_after(Duration::from_millis(1_500))), Some("a"));
}

/// A replica that has left may have held the last commit: the others must not be taken for all.
#[test]
fn replica_that_left_counts_as_missing() {
    let mut failover = Failover::new();
    failover.rules.unseen_replicas = 1;
    failover.steps_after(Duration::ZERO);
    for id in ["b", "c"] {
        failover.answer(id, 7);
    }
    assert_eq!(chosen(&failover.steps_after(Duration::from_millis(900))), None);
    failover.answer("a", 9);
    assert_eq!(chosen(&failover.steps_after(Duration::from_millis(1_100))), Some("a"));
}

/// A replica that has started again without its log may have held the last commit: only one
/// that came back with a log counts as holding what it held.
#[test]
fn replica_that_restarts_without_its_log_counts_as_missing() {
    for (log_end, expected) in [(0, None), (5, Some("c"))] {
        let mut failover = Failover::new();
        failover.rules.replacements = vec![InstanceKey { id: Arc::from("b"), born_ms: 1 }];
        failover.steps_after(Duration::ZERO);
        failover.answer("b", log_end);
        failover.answer("c", 7);
        assert_eq!(chosen(&failover.steps_after(Duration::from_millis(900))), expected);
    }
}

/// A drained replica that must be promoted for its log must not be used: its term starts with a
/// planned change.
#[test]
fn term_of_a_drained_replica_starts_with_a_change() {
    let mut failover = Failover::new();
    failover.drain("c", 3, InstanceRole::Replica);
    failover.term.phase =
        TermPhase::Promoting { chosen: InstanceKey { id: Arc::from("c"), born_ms: 1 } };
    let key = InstanceKey { id: Arc::from("c"), born_ms: 1 };
    let received = LogPosition::new(1, 9);
    let leads = InstanceStatus { role: InstanceRole::Primary, term: 2, received };
    failover.change.record_status(key, START, Some(leads));
    let steps = failover.steps_after(Duration::from_secs(8));
    assert_eq!(steps, [TermStep::Start { drained: true }]);
}
