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
const RULES: SuccessionRules =
    SuccessionRules { sync_replicas: 1, drain_limit: Some(Duration::from_secs(6)) };

/// A primary `a` with the replicas `b` and `c`, and the state of a change after `a` failed.
struct Failover {
    directory: InstanceDirectory,
    term: ServiceTerm,
    change: TermChange,
}

impl Failover {
    fn new() -> Self {
        let mut directory = InstanceDirectory::default();
        for (id, port, role) in [
            ("a", 1, InstanceRole::Primary),
            ("b", 2, InstanceRole::Replica),
            ("c", 3, InstanceRole::Replica),
        ] {
            directory.record_announcement(START, &record(id, role, port));
        }
        let term = ServiceTerm {
            service: Arc::from("books"),
            number: 1,
            since_index: 5,
            primary: record("a", InstanceRole::Primary, 1).key,
            phase: TermPhase::Fencing { planned: false },
            above_term: 0,
        };
        let change = TermChange::new(START, &term);
        Self { directory, term, change }
    }

    fn steps_after(&mut self, time: Duration) -> Vec<TermStep> {
        let now = START + time;
        let leases = LeaseTable::new(START, Duration::ZERO);
        let view =
            HolderView { holders: &BTreeSet::new(), leases: &leases, applied: &BTreeMap::new() };
        self.change.next_steps(now, &self.term, &self.directory, view, RULES)
    }

    fn answer(&mut self, id: &str, offset: u64) {
        let received = LogPosition::new(1, offset);
        let status = InstanceStatus { role: InstanceRole::Replica, term: 1, received };
        self.change.record_status(InstanceKey { id: Arc::from(id), born_ms: 1 }, status);
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
