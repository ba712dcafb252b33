//! Checks that the history checker detects each kind of consistency violation and
//! reports none for a consistent history.

use std::time::Duration;

use hawthornstack_lab::history::{
    FinalState, HistoryReport, OperationKind, OperationResult, RecordedOperation, check_history,
};

fn operation(
    session: u32,
    kind: OperationKind,
    millis: (u64, u64),
    result: OperationResult,
) -> RecordedOperation {
    RecordedOperation {
        session,
        group: 0,
        kind,
        sent_at: Duration::from_millis(millis.0),
        answered_at: Duration::from_millis(millis.1),
        result,
    }
}

fn append(number: u64, result: OperationResult) -> RecordedOperation {
    operation(1, OperationKind::Append { number }, (0, 10), result)
}

fn read(sent_at: u64, number: u64, requested: u64, returned: u64) -> RecordedOperation {
    let kind = OperationKind::Read { max_age: None, nonce: requested };
    let result = OperationResult::Found { number, nonce: returned };
    operation(1, kind, (sent_at, sent_at + 5), result)
}

fn claim(session: u32, won: bool) -> RecordedOperation {
    let kind = OperationKind::Claim { item: 4 };
    operation(session, kind, (0, 10), OperationResult::Claimed(won))
}

fn check(history: &[RecordedOperation], state: FinalState) -> HistoryReport {
    check_history(history, &[state])
}

fn entries(numbers: &[u64]) -> FinalState {
    FinalState {
        entries: numbers.iter().map(|number| (1, *number)).collect(),
        ..FinalState::default()
    }
}

#[test]
fn consistent_history() {
    let history = [
        append(1, OperationResult::Written),
        append(2, OperationResult::DidNotRun),
        append(3, OperationResult::Unknown),
        read(20, 1, 7, 7),
        claim(1, true),
        claim(2, false),
    ];
    let mut state = entries(&[1, 3]);
    state.claims.insert(4, 1);
    let report = check(&history, state);
    assert_eq!(report.answered_correctly, 4);
    assert_eq!((report.lost_writes, report.doubled_writes), (0, 0));
    assert_eq!((report.stale_session_reads, report.crossed_answers), (0, 0));
    assert_eq!((report.unknown_outcomes, report.refused), (1, 1));
}

#[test]
fn lost_write() {
    assert_eq!(check(&[append(1, OperationResult::Written)], entries(&[])).lost_writes, 1);
}

#[test]
fn refused_write_that_ran() {
    assert_eq!(check(&[append(1, OperationResult::DidNotRun)], entries(&[1])).doubled_writes, 1);
}

#[test]
fn claim_with_two_winners() {
    let mut state = FinalState::default();
    state.claims.insert(4, 2);
    let report = check(&[claim(1, true), claim(2, true)], state);
    assert_eq!(report.doubled_writes, 1);
    assert_eq!(report.lost_writes, 1, "the first winner does not hold the item");
}

#[test]
fn lost_and_doubled_increments() {
    let increment = |result| operation(1, OperationKind::Increment, (0, 10), result);
    let history = [increment(OperationResult::Written), increment(OperationResult::Unknown)];
    let counter = |counter| FinalState { counter, ..FinalState::default() };
    for (value, lost, doubled) in [(0, 1, 0), (1, 0, 0), (2, 0, 0), (3, 0, 1)] {
        let report = check(&history, counter(value));
        assert_eq!((report.lost_writes, report.doubled_writes), (lost, doubled), "{value}");
    }
}

#[test]
fn stale_read() {
    let history = [append(5, OperationResult::Written), read(11, 4, 7, 7)];
    assert_eq!(check(&history, entries(&[5])).stale_session_reads, 1);
    let during = [append(5, OperationResult::Written), read(9, 4, 7, 7)];
    assert_eq!(check(&during, entries(&[5])).stale_session_reads, 0, "sent before the answer");
}

#[test]
fn crossed_answer() {
    assert_eq!(check(&[read(1, 0, 7, 8)], entries(&[])).crossed_answers, 1);
}
