//! A request that comes back from its database after its deadline is over at
//! once; it is not sent again and again.

mod schedule;

use schedule::{Sabotage, ScheduleRun};

#[test]
fn lost_after_deadline() {
    let verdict = ScheduleRun::new(3, 3, 3, Sabotage::SlowReads).run();
    assert!(verdict.broken.iter().all(|text| !text.contains("storm")), "{:?}", verdict.broken);
    println!("{} dispatches of {} operations", verdict.dispatches, verdict.operations);
    assert!(verdict.dispatches < 2 * verdict.operations, "{verdict:?}");
}
