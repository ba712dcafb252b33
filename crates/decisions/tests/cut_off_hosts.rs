//! Load pattern "half of the hosts are cut off from control": their leases expire, while
//! the other hosts go on. Callers that are refused at once find another host in time;
//! callers that wait do not.

mod instance_records;

use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{EntryView, PrimaryAvailability},
    instances::InstanceRole,
    primaries::ServiceTerm,
};
use instance_records::{SERVICE, record};

const LEASE: Duration = Duration::from_millis(3_500);
const LAST_CONTACT: Moment = Moment::from_millis(10_000);

/// A host that got its last lease at `LAST_CONTACT`.
fn view() -> EntryView {
    let mut view = EntryView::new(Arc::from("a"));
    let record = record("p", InstanceRole::Primary, 1);
    view.record_announcements(Moment::ZERO, std::slice::from_ref(&record));
    let term = ServiceTerm::new(Arc::from(SERVICE), 1, 1, record.key);
    view.apply_state(1, 0, None, vec![term]);
    view.record_control_message(LAST_CONTACT);
    view.extend_lease(LAST_CONTACT, LEASE, 1, 300);
    view
}

fn after(ms: u64) -> Moment {
    LAST_CONTACT + Duration::from_millis(ms)
}

#[test]
fn cut_off_host_serves_until_its_lease_expires() {
    let usable = view().primary(after(3_400), SERVICE);
    assert!(matches!(usable, PrimaryAvailability::Usable { .. }), "{usable:?}");
}

/// Guards against callers that wait for their whole timeout at a host that cannot serve.
#[test]
fn cut_off_host_refuses_at_once() {
    assert_eq!(view().primary(after(3_600), SERVICE), PrimaryAvailability::CutOff);
}

/// While control elects a leader, its hosts answer: the lease will come back soon.
#[test]
fn host_in_touch_waits_for_its_lease() {
    let mut view = view();
    view.record_control_message(after(3_000));
    assert_eq!(view.primary(after(3_600), SERVICE), PrimaryAvailability::Unavailable);
    view.record_control_message(after(9_000));
    assert_eq!(view.primary(after(9_500), SERVICE), PrimaryAvailability::Unavailable);
}

/// After a loss of all hosts the callers of a host that has just started wait for its
/// first lease.
#[test]
fn started_host_waits_for_its_first_lease() {
    let view = EntryView::new(Arc::from("a"));
    assert_eq!(view.primary(after(60_000), SERVICE), PrimaryAvailability::Unavailable);
}
