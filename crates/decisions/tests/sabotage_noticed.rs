//! The checks of the schedules notice each safeguard that is taken away.
//!
//! A fake that lies stands for a missing safeguard: databases that ignore
//! fences, replicas that claim what they do not hold, reports without
//! branches, disks that forget.

mod schedule;

use schedule::{Sabotage, ScheduleRun, broken_seeds};

/// Seeds within which each sabotage must show.
const SEEDS: u64 = 400;

fn assert_noticed(sabotage: Sabotage, expected: &str) {
    let (broken, _, _) =
        broken_seeds(0..SEEDS, |seed| ScheduleRun::new(seed, 3, 3, sabotage).run());
    let noticed: Vec<u64> = broken
        .iter()
        .filter(|(_, verdict)| verdict.broken.iter().any(|text| text.contains(expected)))
        .map(|(seed, _)| *seed)
        .collect();
    println!("{sabotage:?} shows {expected:?} with seeds {noticed:?}");
    assert!(!noticed.is_empty(), "{sabotage:?} never shows {expected:?}: {broken:?}");
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
