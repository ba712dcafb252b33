use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{OperationKind, OperationResult, RecordedOperation};

/// What one group holds at the end of a run, read at its primary.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalState {
    /// Ledger entries as (session, number).
    pub entries: BTreeSet<(u32, u64)>,
    /// Holder of each claimed item.
    pub claims: BTreeMap<u64, u32>,
    /// The shared counter.
    pub counter: u64,
}

/// Counts of what a history shows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReport {
    /// Operations.
    pub requests: u64,
    /// Operations that ran and were answered rightly.
    pub answered_correctly: u64,
    /// Acknowledged writes that are gone at the end.
    pub lost_writes: u64,
    /// Writes that ran twice, or although their caller was told they did not.
    pub doubled_writes: u64,
    /// Reads that missed a write of their own session.
    pub stale_session_reads: u64,
    /// Answers that belong to another request.
    pub crossed_answers: u64,
    /// Answers that leave open whether the request ran.
    pub unknown_outcomes: u64,
    /// Answers that the request did not run.
    pub refused: u64,
}

/// Checks a history against what the groups hold at its end.
pub fn check_history(history: &[RecordedOperation], finals: &[FinalState]) -> HistoryReport {
    let mut report = HistoryReport { requests: history.len() as u64, ..HistoryReport::default() };
    for operation in history {
        match operation.result {
            OperationResult::Unknown => report.unknown_outcomes += 1,
            OperationResult::DidNotRun => report.refused += 1,
            _ => {}
        }
    }
    for (group, state) in finals.iter().enumerate() {
        let part: Vec<&RecordedOperation> =
            history.iter().filter(|operation| operation.group == group).collect();
        check_entries(&part, state, &mut report);
        check_claims(&part, state, &mut report);
        check_counter(&part, state, &mut report);
        check_reads(&part, &mut report);
    }
    let wrong = report.stale_session_reads + report.crossed_answers;
    let ran = report.requests - report.unknown_outcomes - report.refused;
    report.answered_correctly = ran.saturating_sub(wrong);
    report
}

fn check_entries(part: &[&RecordedOperation], state: &FinalState, report: &mut HistoryReport) {
    for operation in part {
        let OperationKind::Append { number } = operation.kind else {
            continue;
        };
        let stands = state.entries.contains(&(operation.session, number));
        match operation.result {
            OperationResult::Written if !stands => report.lost_writes += 1,
            OperationResult::DidNotRun if stands => report.doubled_writes += 1,
            _ => {}
        }
    }
}

fn check_claims(part: &[&RecordedOperation], state: &FinalState, report: &mut HistoryReport) {
    let mut winners: BTreeMap<u64, BTreeSet<u32>> = BTreeMap::new();
    for operation in part {
        let OperationKind::Claim { item } = operation.kind else {
            continue;
        };
        let holds = state.claims.get(&item) == Some(&operation.session);
        match operation.result {
            OperationResult::Claimed(true) => {
                winners.entry(item).or_default().insert(operation.session);
                report.lost_writes += u64::from(!holds);
            }
            OperationResult::DidNotRun if holds && !also_ran(part, operation, item) => {
                report.doubled_writes += 1;
            }
            _ => {}
        }
    }
    let doubled = winners.values().filter(|sessions| sessions.len() > 1).count();
    report.doubled_writes += doubled as u64;
}

/// True if the session claimed the item in another operation too.
fn also_ran(part: &[&RecordedOperation], refused: &RecordedOperation, item: u64) -> bool {
    part.iter().any(|other| {
        other.session == refused.session
            && other.kind == OperationKind::Claim { item }
            && matches!(other.result, OperationResult::Claimed(_) | OperationResult::Unknown)
    })
}

/// The counter lies between the increments that certainly ran and those that
/// may have run.
fn check_counter(part: &[&RecordedOperation], state: &FinalState, report: &mut HistoryReport) {
    let count = |result: OperationResult| {
        let same =
            |o: &&&RecordedOperation| o.kind == OperationKind::Increment && o.result == result;
        part.iter().filter(same).count() as u64
    };
    let certain = count(OperationResult::Written);
    let possible = certain + count(OperationResult::Unknown);
    report.lost_writes += certain.saturating_sub(state.counter);
    report.doubled_writes += state.counter.saturating_sub(possible);
}

/// Each read sees every entry of its session that was acknowledged before the
/// read was sent.
fn check_reads(part: &[&RecordedOperation], report: &mut HistoryReport) {
    let mut acknowledged: BTreeMap<u32, Vec<(std::time::Duration, u64)>> = BTreeMap::new();
    for operation in part {
        if let (OperationKind::Append { number }, OperationResult::Written) =
            (&operation.kind, &operation.result)
        {
            let entries = acknowledged.entry(operation.session).or_default();
            entries.push((operation.answered_at, *number));
        }
    }
    for operation in part {
        let OperationKind::Read { nonce: asked, .. } = operation.kind else {
            continue;
        };
        let OperationResult::Found { number, nonce } = operation.result else {
            continue;
        };
        report.crossed_answers += u64::from(nonce != asked);
        let entries = acknowledged.get(&operation.session);
        let due = entries
            .into_iter()
            .flatten()
            .filter(|(at, _)| *at <= operation.sent_at)
            .map(|(_, number)| *number)
            .max();
        report.stale_session_reads += u64::from(due.is_some_and(|due| number < due));
    }
}
