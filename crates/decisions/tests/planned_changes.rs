//! What an entry host promises the leader of control during a planned change of primary.

use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{EntryView, StateConfirmations},
    instances::InstanceKey,
    primaries::{ServiceTerm, TermPhase},
};

const NOW: Moment = Moment::from_millis(1_000);

fn term(service: &str, phase: TermPhase) -> ServiceTerm {
    let primary = InstanceKey { id: Arc::from("a"), born_ms: 1 };
    ServiceTerm { phase, ..ServiceTerm::new(Arc::from(service), 3, 5, primary) }
}

/// A state that arrives while writes of an ending term are open must not confirm the end of
/// that term: the successor could be chosen without a write that is still acknowledged.
#[test]
fn later_state_does_not_confirm_a_term_with_open_writes() {
    let mut confirmations = StateConfirmations::default();
    confirmations.record_applied(4, None);
    confirmations.record_applied(5, Some(5));
    confirmations.record_applied(7, None);
    assert_eq!(confirmations.confirmed(), 4);
    confirmations.record_applied(8, Some(8));
    confirmations.record_writes_ended(5);
    assert_eq!(confirmations.confirmed(), 7);
    confirmations.record_writes_ended(8);
    assert_eq!(confirmations.confirmed(), 8);
}

/// A state that holds both the end of a term and a later entry, such as a configuration, must
/// not confirm the end of the term while writes of it are open.
#[test]
fn state_with_later_entries_does_not_confirm_a_term_with_open_writes() {
    let mut confirmations = StateConfirmations::default();
    confirmations.record_applied(4, None);
    confirmations.record_applied(9, Some(6));
    assert_eq!(confirmations.confirmed(), 5);
    confirmations.record_applied(12, Some(10));
    assert_eq!(confirmations.confirmed(), 5);
    confirmations.record_writes_ended(9);
    assert_eq!(confirmations.confirmed(), 9);
    confirmations.record_writes_ended(12);
    assert_eq!(confirmations.confirmed(), 12);
}

/// A write that outlasts the wait for it must not be acknowledged after the host has
/// confirmed the end of its term.
#[test]
fn answers_are_not_accepted_after_the_end_of_a_term_is_confirmed() {
    let mut view = EntryView::new(Arc::from("a"));
    let planned = TermPhase::Fencing { planned: true };
    view.apply_state(5, 0, None, vec![term("books", planned.clone()), term("seats", planned)]);
    view.extend_lease(NOW, Duration::from_secs(3), 5, 1);
    assert!(view.accepts_answer(NOW, "books", 3));
    view.surrender_term(&Arc::from("books"), 3);
    assert!(!view.accepts_answer(NOW, "books", 3));
    assert!(view.accepts_answer(NOW, "seats", 3));
    let next = ServiceTerm { number: 4, ..term("books", TermPhase::Steady) };
    view.apply_state(9, 0, None, vec![next]);
    assert!(view.accepts_answer(NOW, "books", 4));
}
