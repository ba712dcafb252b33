//! Load pattern: one database serves alone what several served, since its replicas fell
//! behind. Short urgent statements, reads with a short objective and reads with a long one
//! ask for half as much again as it can do, and refused callers return.

mod priority_load;

use std::time::Duration;

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{QueuedStatement, RankedStatement, is_behind_backlog},
};
use priority_load::{Kind, Load, Policy};

const EDIT: usize = 0;
const SYNC: usize = 1;
const LOOKUP: usize = 2;
const CONNECT: Duration = Duration::from_millis(400);

fn kind(priority: u32, work_us: u64, objective_ms: u64, rate: fn(u64) -> f64) -> Kind {
    Kind {
        workspace: None,
        priority,
        work_us,
        objective: Duration::from_millis(objective_ms),
        connect: CONNECT,
        deadline: Duration::from_millis(1_500),
        rate,
    }
}

/// 1.5 times the work of four slots, steady.
fn standing_overload() -> Vec<Kind> {
    vec![
        kind(1, 6_000, 150, |_| 50.0),
        kind(2, 18_000, 250, |_| 240.0),
        kind(2, 30_000, 500, |_| 50.0),
    ]
}

/// Twice the work of four slots for half a second, and 0.6 times before and after.
fn brief_burst() -> Vec<Kind> {
    vec![
        kind(0, 4_000, 100, |_| 60.0),
        kind(1, 11_000, 400, |now_us| match now_us {
            2_000_000..2_500_000 => 700.0,
            _ => 200.0,
        }),
    ]
}

/// Guards against repeated attempts that take the places of new statements: every one is
/// then served too late.
#[test]
fn repeated_attempts_do_not_make_new_ones_late() {
    let shares = |policy| {
        let load = Load::new(policy, standing_overload()).run(10);
        [EDIT, SYNC, LOOKUP].map(|kind| load.share_in_time(kind, 2, 9))
    };
    let [edits, syncs, _] = shares(Policy::ByPriority);
    assert!(edits >= 0.95, "{edits} of the edits in time");
    let [_, syncs_before, _] = shares(Policy::AttemptsAsNew);
    assert!(syncs > syncs_before + 0.05, "{syncs} of the syncs in time, {syncs_before} before");
}

/// Guards against order and refusals for a standing overload that cost answers in a short
/// one, of another mix of statements.
#[test]
fn brief_burst_loses_nothing() {
    let load = Load::new(Policy::ByPriority, brief_burst()).run(8);
    for kind in [EDIT, SYNC] {
        let calm = load.share_in_time(kind, 4, 7);
        assert!(calm >= 0.99, "{calm} of kind {kind} in time after the burst");
    }
    let before = Load::new(Policy::AttemptsAsNew, brief_burst()).run(8);
    let (now, before) = (load.answers(SYNC, 2, 4), before.answers(SYNC, 2, 4));
    assert!(now * 100 >= before * 95, "{now} answers around the burst, {before} before");
}

fn ranked(arrived_ms: u64, priority: u32) -> RankedStatement {
    let arrived = Moment::from_millis(arrived_ms);
    let objective = Duration::from_millis(200);
    let statement = QueuedStatement { arrived, objective, priority };
    RankedStatement { statement, recent_work: Duration::ZERO }
}

/// Guards against statements that wait until their deadline though all others go first,
/// and against refusals where the others are few, late or less urgent.
#[test]
fn late_statements_leave_a_backlog() {
    let now = Moment::from_millis(1_000);
    let (late, fresh, waiting) = (ranked(700, 1), ranked(990, 1), ranked(850, 1));
    assert!(is_behind_backlog([fresh, waiting].into_iter(), &late, now));
    assert!(!is_behind_backlog([fresh].into_iter(), &late, now), "no backlog");
    assert!(!is_behind_backlog([ranked(750, 1)].into_iter(), &late, now), "all are late");
    assert!(!is_behind_backlog([ranked(850, 2)].into_iter(), &late, now), "less urgent");
    assert!(!is_behind_backlog([fresh, waiting].into_iter(), &waiting, now), "in time");
}
