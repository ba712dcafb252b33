//! A request that returns from its database after its deadline ends at once;
//! it is not dispatched again and again.

mod schedule;

use schedule::{Sabotage, ScheduleRun};

#[test]
fn lost_after_deadline() {
    let verdict = ScheduleRun::new(3, 3, 3, Sabotage::SlowReads).run();
    assert!(
        verdict.violations.iter().all(|text| !text.contains("storm")),
        "{:?}",
        verdict.violations
    );
    println!("{} dispatches of {} operations", verdict.dispatches, verdict.operations);
    assert!(verdict.dispatches < 2 * verdict.operations, "{verdict:?}");
}
