//! A simulation around real host states: a fake clock, a lossy network and fake
//! databases.

#![allow(dead_code, missing_docs)]

use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};

pub mod fake_database;
pub mod schedule_run;
pub mod schedule_verdict;

pub use schedule_run::{Sabotage, ScheduleRun};
pub use schedule_verdict::ScheduleVerdict;

/// Runs all seeds, in parallel on all cores. Returns the seeds with violations, and
/// the numbers of acknowledged writes and of changes of primary over all seeds.
pub fn failing_seeds(
    seeds: std::ops::Range<u64>,
    run: impl Fn(u64) -> ScheduleVerdict + Sync,
) -> (Vec<(u64, ScheduleVerdict)>, u64, u64) {
    let next = AtomicU64::new(seeds.start);
    let failing = Mutex::new(Vec::new());
    let acknowledged = AtomicU64::new(0);
    let changes = AtomicU64::new(0);
    let workers = std::thread::available_parallelism().map_or(2, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let verdict = run(seed);
                    acknowledged.fetch_add(verdict.acknowledged as u64, Ordering::Relaxed);
                    changes.fetch_add(verdict.primary_changes, Ordering::Relaxed);
                    if !verdict.violations.is_empty() {
                        failing.lock().unwrap().push((seed, verdict));
                    }
                }
            });
        }
    });
    let mut failing = failing.into_inner().unwrap();
    failing.sort_by_key(|(seed, _)| *seed);
    (failing, acknowledged.into_inner(), changes.into_inner())
}
