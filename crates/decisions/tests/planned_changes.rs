//! What an entry host promises the leader of control during a planned change of primary.

use hawthornstack_decisions::entry_role::StateConfirmations;

/// A state that arrives while writes of an ending term are open must not confirm the end of
/// that term: the successor could be chosen without a write that is still acknowledged.
#[test]
fn later_state_does_not_confirm_a_term_with_open_writes() {
    let mut confirmations = StateConfirmations::default();
    confirmations.record_applied(4, false);
    confirmations.record_applied(5, true);
    confirmations.record_applied(7, false);
    assert_eq!(confirmations.confirmed(), 4);
    confirmations.record_applied(8, true);
    confirmations.record_writes_ended(5);
    assert_eq!(confirmations.confirmed(), 7);
    confirmations.record_writes_ended(8);
    assert_eq!(confirmations.confirmed(), 8);
}
