//! The checks of the fault schedules detect each safeguard that is removed.
//!
//! A safeguard is removed by a fake that misbehaves: databases that ignore
//! fences, replicas that report positions they do not hold, reports without
//! branches, disks that lose synced records.

mod schedule;

use schedule::{Sabotage, ScheduleRun, failing_seeds};

/// Number of seeds, of which at least one must detect each sabotage.
const SEEDS: u64 = 400;

fn assert_noticed(sabotage: Sabotage, expected: &str) {
    let (failing, _, _) =
        failing_seeds(0..SEEDS, |seed| ScheduleRun::new(seed, 3, 3, sabotage).run());
    let noticed: Vec<u64> = failing
        .iter()
        .filter(|(_, verdict)| verdict.violations.iter().any(|text| text.contains(expected)))
        .map(|(seed, _)| *seed)
        .collect();
    println!("{sabotage:?} shows {expected:?} with seeds {noticed:?}");
    assert!(!noticed.is_empty(), "{sabotage:?} never shows {expected:?}: {failing:?}");
}

#[test]
fn missing_fence() {
    assert_noticed(Sabotage::NoFences, "lost");
}

#[test]
fn missing_majority() {
    assert_noticed(Sabotage::ClaimAhead, "lost");
}

#[test]
fn missing_branch_check() {
    assert_noticed(Sabotage::FlattenBranches, "told it did not");
}

#[test]
fn missing_sync() {
    assert_noticed(Sabotage::ForgetSyncs, "older version");
}
