//! Announcements that arrive late, twice, out of order and through many hosts.

use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    instances::{
        DirectoryChange, InstanceDeparture, InstanceDirectory, InstanceKey, InstanceRecord,
        InstanceRole,
    },
};
use proptest::prelude::*;

const NOW: Moment = Moment::from_millis(1_000);

fn record(id: &str, born_ms: u64, sequence: u64, port: u16) -> InstanceRecord {
    InstanceRecord {
        key: InstanceKey { id: Arc::from(id), born_ms },
        sequence,
        service: Arc::from("books"),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: Arc::from("a"),
        slots: 2,
        draining: false,
        role: InstanceRole::Replica,
        warm_up: Duration::ZERO,
    }
}

#[test]
fn later_start_wins_over_higher_sequence() {
    let mut directory = InstanceDirectory::default();
    assert_eq!(
        directory.record_announcement(NOW, &record("a", 1, 90, 80)),
        DirectoryChange::Changed
    );
    assert_eq!(
        directory.record_announcement(NOW, &record("a", 2, 1, 80)),
        DirectoryChange::Changed
    );
    assert_eq!(directory.record_announcement(NOW, &record("a", 1, 91, 80)), DirectoryChange::Stale);
    assert_eq!(directory.get("a").map(|record| record.key.born_ms), Some(2));
}

#[test]
fn repeated_announcement_only_refreshes() {
    let mut directory = InstanceDirectory::default();
    directory.record_announcement(NOW, &record("a", 1, 1, 80));
    assert_eq!(
        directory.record_announcement(NOW, &record("a", 1, 2, 80)),
        DirectoryChange::Refreshed
    );
    assert_eq!(directory.record_announcement(NOW, &record("a", 1, 2, 80)), DirectoryChange::Stale);
    let draining = InstanceRecord { draining: true, ..record("a", 1, 3, 80) };
    assert_eq!(directory.record_announcement(NOW, &draining), DirectoryChange::Changed);
}

#[test]
fn address_belongs_to_the_last_start() {
    let mut directory = InstanceDirectory::default();
    directory.record_announcement(NOW, &record("old", 1, 5, 80));
    directory.record_announcement(NOW, &record("new", 2, 1, 80));
    // Sent before the crash of `old`, and delayed.
    assert_eq!(
        directory.record_announcement(NOW, &record("old", 1, 6, 80)),
        DirectoryChange::Stale
    );
    assert!(directory.get("old").is_none());
    assert!(directory.get("new").is_some());
}

#[test]
fn departed_start_does_not_come_back() {
    let mut directory = InstanceDirectory::default();
    directory.record_announcement(NOW, &record("a", 1, 1, 80));
    assert!(directory.record_departure(&InstanceDeparture { id: Arc::from("a"), born_ms: None }));
    assert_eq!(directory.record_announcement(NOW, &record("a", 1, 2, 80)), DirectoryChange::Stale);
    assert_eq!(
        directory.record_announcement(NOW, &record("a", 2, 1, 80)),
        DirectoryChange::Changed
    );
}

#[test]
fn silent_database_may_announce_itself_again() {
    let mut directory = InstanceDirectory::default();
    directory.record_announcement(NOW, &record("a", 1, 1, 80));
    let later = NOW + Duration::from_secs(20);
    assert_eq!(directory.expire(later, Duration::from_secs(12)).len(), 1);
    assert_eq!(
        directory.record_announcement(later, &record("a", 1, 2, 80)),
        DirectoryChange::Changed
    );
}

/// A drain period must count from before the announcement of it, which may have been made
/// to another host or before a restart.
#[test]
fn drain_counts_from_the_last_announcement_without_it() {
    let second = Duration::from_secs(1);
    let limit = Some(3 * second);
    let key = record("a", 1, 1, 80).key;
    let mut directory = InstanceDirectory::default();
    directory.record_announcement(NOW, &record("a", 1, 1, 80));
    assert!(!directory.has_drained(NOW + 9 * second, &key, limit));
    directory.record_announcement(NOW + second, &record("a", 1, 2, 80));
    let draining = InstanceRecord { draining: true, ..record("a", 1, 3, 80) };
    directory.record_announcement(NOW + 2 * second, &draining);
    let repeated = InstanceRecord { sequence: 4, ..draining.clone() };
    directory.record_announcement(NOW + 3 * second, &repeated);
    assert!(!directory.has_drained(NOW + 3 * second, &key, limit));
    assert!(directory.has_drained(NOW + 4 * second, &key, limit));
    assert!(!directory.has_drained(NOW + 4 * second, &key, None));

    let mut restarted = InstanceDirectory::default();
    restarted.restore(NOW, &record("a", 1, 1, 80));
    restarted.record_announcement(NOW, &draining);
    assert!(restarted.has_drained(NOW, &key, limit));
    restarted.record_announcement(NOW, &record("a", 2, 1, 80));
    assert!(!restarted.has_drained(NOW, &InstanceKey { born_ms: 2, ..key }, limit));
}

proptest! {
    #[test]
    fn order_of_arrival_does_not_matter(
        announcements in prop::collection::vec((1u64..4, 1u64..6), 1..12),
        order in any::<prop::sample::Index>(),
    ) {
        let records: Vec<InstanceRecord> = announcements
            .iter()
            .map(|(born, sequence)| record("a", *born, *sequence, 80))
            .collect();
        let mut rotated = records.clone();
        rotated.rotate_left(order.index(records.len()));
        let newest = |records: &[InstanceRecord]| {
            let mut directory = InstanceDirectory::default();
            for record in records {
                directory.record_announcement(NOW, record);
            }
            directory.get("a").map(|record| (record.key.born_ms, record.sequence))
        };
        let expected = announcements.iter().max().copied();
        prop_assert_eq!(newest(&records), expected);
        prop_assert_eq!(newest(&rotated), expected);
    }
}

/// An odd record from an older build, or in a journal, must not be used or take the address of a
/// database; those of the others hold.
#[test]
fn records_that_name_no_database_are_ignored() {
    let odd = |change: fn(&mut InstanceRecord)| {
        let mut odd = record("odd", 9, 9, 80);
        change(&mut odd);
        odd
    };
    let records = [
        odd(|record| record.address.set_port(0)),
        odd(|record| record.address.set_ip([0, 0, 0, 0].into())),
        odd(|record| record.address.set_ip([224, 0, 0, 1].into())),
        odd(|record| record.key.id = Arc::from("")),
        odd(|record| record.service = Arc::from("books\r\nx")),
        odd(|record| record.data_centre = Arc::from(" ")),
        odd(|record| record.slots = 0),
        odd(|record| record.key.born_ms = u64::MAX),
        odd(|record| {
            record.key.born_ms = 0;
            record.address.set_port(81);
        }),
        odd(|record| record.sequence = u64::MAX),
    ];
    for odd in records {
        let mut directory = InstanceDirectory::default();
        directory.record_announcement(NOW, &record("a", 1, 1, 80));
        assert_eq!(directory.record_announcement(NOW, &odd), DirectoryChange::Stale, "{odd:?}");
        assert_eq!(directory.restore(NOW, &odd), DirectoryChange::Stale);
        assert!(directory.get("a").is_some());
        assert_eq!(directory.records().count(), 1);
    }
}
