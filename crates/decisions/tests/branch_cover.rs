//! Which log positions a database holds after changes of primary.

use hawthornstack_decisions::positions::{BranchHistory, BranchStart, LogPosition};
use proptest::{prelude::*, test_runner::RngSeed};

fn history(starts: &[(u64, u64)]) -> BranchHistory {
    BranchHistory::new(
        starts.iter().map(|(term, base)| BranchStart { term: *term, base_offset: *base }),
    )
}

#[test]
fn discarded_tail() {
    let after_change = history(&[(1, 0), (2, 10)]);
    let log_end = LogPosition::new(2, 20);
    assert!(after_change.covers(log_end, LogPosition::new(1, 10)));
    assert!(
        !after_change.covers(log_end, LogPosition::new(1, 11)),
        "entry 11 of term 1 was discarded"
    );
    assert!(after_change.covers(log_end, LogPosition::new(2, 11)));
    assert!(!after_change.covers(log_end, LogPosition::new(2, 10)), "entry 10 is of term 1");
}

#[test]
fn lagging_replica() {
    let joined = history(&[(1, 0), (2, 10)]);
    let log_end = LogPosition::new(2, 4);
    assert!(joined.covers(log_end, LogPosition::new(1, 4)));
    assert!(!joined.covers(log_end, LogPosition::new(1, 9)), "it has not received entry 9 yet");
}

/// The term of each entry of a log, for comparison entry by entry.
fn log_of(starts: &[(u64, u64)], length: u64) -> Vec<u64> {
    (1..=length)
        .map(|offset| {
            let written = starts.iter().rev().find(|(_, base)| *base < offset);
            written.map_or(0, |(term, _)| *term)
        })
        .collect()
}

/// A replica that follows term 3 but lacks its entries ends in an older term, so that
/// the end of its log does not rank above that of a database that holds more.
#[test]
fn end_of_log() {
    let joined = history(&[(1, 0), (2, 73), (3, 134)]);
    assert_eq!(joined.position_at(60), LogPosition::new(1, 60));
    assert_eq!(joined.position_at(124), LogPosition::new(2, 124));
    assert_eq!(joined.position_at(134), LogPosition::new(2, 134));
    assert_eq!(joined.position_at(135), LogPosition::new(3, 135));
    assert!(joined.position_at(124) < joined.position_at(134));
}

/// A replica that never received an entry of term 4 is promoted in term 5. Its log
/// must not claim entries of term 4.
#[test]
fn unheld_term_dropped() {
    let mut joined = history(&[(1, 0), (3, 75), (4, 93)]);
    joined.fork(5, 92);
    assert_eq!(joined, history(&[(1, 0), (3, 75), (5, 92)]));
    assert_eq!(joined.position_at(93), LogPosition::new(5, 93));
    assert!(!joined.covers(joined.position_at(99), LogPosition::new(4, 94)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// `covers` agrees with a search for the entry in the log.
    #[test]
    fn agrees_with_log(
        gaps in prop::collection::vec(0_u64..6, 1..5),
        length in 0_u64..30,
        term in 0_u64..6,
        offset in 1_u64..30,
    ) {
        let mut base = 0;
        let mut starts = Vec::new();
        for (index, gap) in gaps.iter().enumerate() {
            starts.push((index as u64 + 1, base));
            base += gap;
        }
        let log_end = history(&starts).position_at(length);
        let log = log_of(&starts, length);
        let is_in_log = log.get(offset as usize - 1) == Some(&term);
        let covered = history(&starts).covers(log_end, LogPosition::new(term, offset));
        prop_assert_eq!(covered, is_in_log);
    }
}
