//! Small fakes around real host states: a clock, a lossy network, databases.

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

/// Runs seeds on all cores and returns those that broke something.
pub fn broken_seeds(
    seeds: std::ops::Range<u64>,
    run: impl Fn(u64) -> ScheduleVerdict + Sync,
) -> (Vec<(u64, ScheduleVerdict)>, u64, u64) {
    let next = AtomicU64::new(seeds.start);
    let broken = Mutex::new(Vec::new());
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
                    changes.fetch_add(verdict.changes_of_primary, Ordering::Relaxed);
                    if !verdict.broken.is_empty() {
                        broken.lock().unwrap().push((seed, verdict));
                    }
                }
            });
        }
    });
    let mut broken = broken.into_inner().unwrap();
    broken.sort_by_key(|(seed, _)| *seed);
    (broken, acknowledged.into_inner(), changes.into_inner())
}
