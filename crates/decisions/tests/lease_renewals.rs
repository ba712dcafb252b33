//! Leases are as short as the limit for refusing a removed key demands, and hosts renew them
//! in time.

use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment, control_role::ControlSettings, entry_role::EntryView, identity::HostId,
};

const LOST_RENEWALS: usize = 3;

fn lease_for(limit: Duration) -> Duration {
    let interval = Duration::from_secs(1);
    let settings = ControlSettings::new(HostId(1), [HostId(1)].into(), true, interval, None, 1);
    settings.with_revocation_limit(limit).lease_duration
}

/// Renews a lease for ten seconds, and loses the answers to three renewals of each four;
/// returns the shortest time that was left of the lease.
fn shortest_rest(duration: Duration) -> Duration {
    let mut view = EntryView::new(Arc::from("a"));
    let mut now = Moment::from_millis(1_000);
    view.extend_lease(now, duration, 0, 1);
    let mut shortest = duration;
    while now < Moment::from_millis(11_000) {
        for _ in 0..LOST_RENEWALS {
            now = now + view.renewal_interval();
        }
        shortest = shortest.min(view.lease_remaining(now));
        now = now + view.renewal_interval();
        view.extend_lease(now - view.renewal_interval() / 10, duration, 0, 1);
    }
    shortest
}

/// Guards against leases that end between two renewals: with a limit of 700 ms a lease takes
/// 490 ms, and hosts renewed every 500 ms.
#[test]
fn short_leases_outlast_lost_renewals() {
    for limit in [300, 700, 1_400, 2_500] {
        let duration = lease_for(Duration::from_millis(limit));
        assert!(duration < Duration::from_millis(limit));
        assert!(!shortest_rest(duration).is_zero(), "limit {limit} ms");
    }
}

/// A second deployment, without a limit or with a long one. Guards against renewals that are
/// more frequent than they need to be.
#[test]
fn long_leases_are_renewed_as_seldom() {
    for limit in [5_000, 60_000] {
        let mut view = EntryView::new(Arc::from("a"));
        assert_eq!(view.renewal_interval(), Duration::from_millis(500));
        view.extend_lease(Moment::ZERO, lease_for(Duration::from_millis(limit)), 0, 1);
        assert_eq!(view.renewal_interval(), Duration::from_millis(500));
    }
}
