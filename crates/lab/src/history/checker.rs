use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{OperationKind, OperationResult, RecordedOperation};

/// Data of one group at the end of a run, read at its primary.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalState {
    /// Ledger entries as (session, number).
    pub entries: BTreeSet<(u32, u64)>,
    /// Session that holds each claimed item.
    pub claims: BTreeMap<u64, u32>,
    /// Value of the shared counter.
    pub counter: u64,
}

/// Counts of operations and consistency violations in a history.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReport {
    /// Number of operations.
    pub requests: u64,
    /// Operations that ran, minus stale reads and crossed answers.
    pub answered_correctly: u64,
    /// Acknowledged writes that are missing at the end.
    pub lost_writes: u64,
    /// Writes that ran twice, or that ran although the caller was told that they did
    /// not.
    pub doubled_writes: u64,
    /// Reads that missed an acknowledged write of their own session.
    pub stale_session_reads: u64,
    /// Answers that belong to another request.
    pub crossed_answers: u64,
    /// Answers that do not tell whether the request ran.
    pub unknown_outcomes: u64,
    /// Requests that were refused and did not run, according to the answer.
    pub refused: u64,
}

/// Checks a history against the final state of each group, indexed by
/// `RecordedOperation::group`.
pub fn check_history(history: &[RecordedOperation], final_states: &[FinalState]) -> HistoryReport {
    let mut report = HistoryReport { requests: history.len() as u64, ..HistoryReport::default() };
    for operation in history {
        match operation.result {
            OperationResult::Unknown => report.unknown_outcomes += 1,
            OperationResult::DidNotRun => report.refused += 1,
            _ => {}
        }
    }
    for (group, state) in final_states.iter().enumerate() {
        let operations: Vec<&RecordedOperation> =
            history.iter().filter(|operation| operation.group == group).collect();
        check_entries(&operations, state, &mut report);
        check_claims(&operations, state, &mut report);
        check_counter(&operations, state, &mut report);
        check_reads(&operations, &mut report);
    }
    let wrong = report.stale_session_reads + report.crossed_answers;
    let ran = report.requests - report.unknown_outcomes - report.refused;
    report.answered_correctly = ran.saturating_sub(wrong);
    report
}

fn check_entries(
    operations: &[&RecordedOperation],
    state: &FinalState,
    report: &mut HistoryReport,
) {
    for operation in operations {
        let OperationKind::Append { number } = operation.kind else {
            continue;
        };
        let present = state.entries.contains(&(operation.session, number));
        match operation.result {
            OperationResult::Written if !present => report.lost_writes += 1,
            OperationResult::DidNotRun if present => report.doubled_writes += 1,
            _ => {}
        }
    }
}

fn check_claims(operations: &[&RecordedOperation], state: &FinalState, report: &mut HistoryReport) {
    let mut winners: BTreeMap<u64, BTreeSet<u32>> = BTreeMap::new();
    for operation in operations {
        let OperationKind::Claim { item } = operation.kind else {
            continue;
        };
        let is_holder = state.claims.get(&item) == Some(&operation.session);
        match operation.result {
            OperationResult::Claimed(true) => {
                winners.entry(item).or_default().insert(operation.session);
                report.lost_writes += u64::from(!is_holder);
            }
            OperationResult::DidNotRun
                if is_holder && !has_other_claim(operations, operation, item) =>
            {
                report.doubled_writes += 1;
            }
            _ => {}
        }
    }
    let doubled = winners.values().filter(|sessions| sessions.len() > 1).count();
    report.doubled_writes += doubled as u64;
}

/// True if another claim of the item by the same session ran or may have run.
fn has_other_claim(
    operations: &[&RecordedOperation],
    refused: &RecordedOperation,
    item: u64,
) -> bool {
    operations.iter().any(|other| {
        other.session == refused.session
            && other.kind == OperationKind::Claim { item }
            && matches!(other.result, OperationResult::Claimed(_) | OperationResult::Unknown)
    })
}

/// Checks that the counter lies between the number of increments that certainly
/// ran and the number that may have run.
fn check_counter(
    operations: &[&RecordedOperation],
    state: &FinalState,
    report: &mut HistoryReport,
) {
    let count = |result: OperationResult| {
        let matches =
            |o: &&&RecordedOperation| o.kind == OperationKind::Increment && o.result == result;
        operations.iter().filter(matches).count() as u64
    };
    let certain = count(OperationResult::Written);
    let possible = certain + count(OperationResult::Unknown);
    report.lost_writes += certain.saturating_sub(state.counter);
    report.doubled_writes += state.counter.saturating_sub(possible);
}

/// Checks that each read sees every entry of its session that was acknowledged
/// before the read was sent, and that its nonce is returned.
fn check_reads(operations: &[&RecordedOperation], report: &mut HistoryReport) {
    let mut acknowledged: BTreeMap<u32, Vec<(std::time::Duration, u64)>> = BTreeMap::new();
    for operation in operations {
        if let (OperationKind::Append { number }, OperationResult::Written) =
            (&operation.kind, &operation.result)
        {
            let entries = acknowledged.entry(operation.session).or_default();
            entries.push((operation.answered_at, *number));
        }
    }
    for operation in operations {
        let OperationKind::Read { nonce: requested, .. } = operation.kind else {
            continue;
        };
        let OperationResult::Found { number, nonce } = operation.result else {
            continue;
        };
        report.crossed_answers += u64::from(nonce != requested);
        let entries = acknowledged.get(&operation.session);
        let expected = entries
            .into_iter()
            .flatten()
            .filter(|(at, _)| *at <= operation.sent_at)
            .map(|(_, number)| *number)
            .max();
        report.stale_session_reads += u64::from(expected.is_some_and(|expected| number < expected));
    }
}
