//! Load pattern: hundreds of entry hosts look for a leader that cannot grant leases yet.

use std::time::Duration;

use hawthornstack_decisions::{clock::Moment, send_pace::SendPace};

const INTERVAL: Duration = Duration::from_millis(100);
const ROUND_TRIP: Duration = Duration::from_millis(1);

/// Guards against a renewal for each answer that names a leader which refuses: the hosts
/// renewed once a round trip, five times each, and the leader stayed overloaded.
#[test]
fn redirects_are_followed_at_a_limited_rate() {
    let mut pace = SendPace::new(INTERVAL);
    let (start, mut now, mut renewals) =
        (Moment::from_millis(1_000), Moment::from_millis(1_000), 0);
    while now.since(start) < Duration::from_secs(1) {
        pace.request(now);
        renewals += usize::from(pace.take_due(now));
        now = now + ROUND_TRIP;
    }
    assert!((9..=10).contains(&renewals), "{renewals} renewals in a second");
}

/// A second load: one redirect after a quiet time, as on a change of leader. Guards against
/// hosts that find the new leader late, and against a request that is forgotten.
#[test]
fn single_redirects_are_followed_at_once() {
    let mut pace = SendPace::new(INTERVAL);
    let mut now = Moment::from_millis(1_000);
    for _ in 0..3 {
        pace.request(now);
        assert!(pace.take_due(now));
        assert!(!pace.take_due(now), "taken twice");
        now = now + 2 * INTERVAL;
    }
    pace.request(now);
    assert!(pace.take_due(now));
    pace.request(now + ROUND_TRIP);
    assert!(!pace.take_due(now + ROUND_TRIP));
    assert_eq!(pace.due(), Some(now + INTERVAL));
    assert!(pace.take_due(now + INTERVAL));
    assert_eq!(pace.due(), None);
}

/// Load pattern: each confirmation is answered by the next state, for as long as hundreds of
/// services change. Guards against confirmations that keep the leader busy, and against an
/// interval that stays long after the burst.
#[test]
fn interval_grows_while_a_burst_lasts() {
    let mut pace = SendPace::growing(INTERVAL / 10, INTERVAL);
    let (start, mut now, mut sent) = (Moment::from_millis(1_000), Moment::from_millis(1_000), 0);
    while now.since(start) < Duration::from_secs(1) {
        pace.request(now);
        sent += usize::from(pace.take_due(now));
        now = now + ROUND_TRIP;
    }
    assert!((12..=15).contains(&sent), "{sent} in a second");
    now = pace.due().expect("the last request");
    assert!(pace.take_due(now));
    now = now + 2 * INTERVAL;
    pace.request(now);
    assert!(pace.take_due(now), "the first after a pause");
    pace.request(now + ROUND_TRIP);
    assert_eq!(pace.due(), Some(now + INTERVAL / 10));
}
