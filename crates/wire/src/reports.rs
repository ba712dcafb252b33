//! What databases answer to report and order functions; see `docs/UPSTREAM.md`.

use hawthornstack_decisions::{
    directory::{DatabaseRole, DatabaseStatus},
    failover::DatabaseOrder,
    positions::{BranchHistory, BranchStart, LogPosition},
};

/// Names of the columns of a report, in order; all are text.
pub const REPORT_COLUMNS: [&str; 5] = ["role", "term", "fenced_below", "position", "history"];

/// Statement that asks for the position after the statements before it.
pub const POSITION_STATEMENT: &str = "SELECT hawthornstack_position()";

/// Statement that answers with a report as soon as the database is in another
/// term than `term` or at another position than `position`, or after `wait_ms`
/// milliseconds.
pub fn report_statement(term: u64, position: LogPosition, wait_ms: u64) -> String {
    format!("SELECT hawthornstack_report({term}, '{position}', {wait_ms})")
}

/// Statement that gives an order; answered with a report.
pub fn order_statement(order: &DatabaseOrder) -> String {
    match order {
        DatabaseOrder::Report => report_statement(0, LogPosition::default(), 0),
        DatabaseOrder::Fence { term } => format!("SELECT hawthornstack_fence({term})"),
        DatabaseOrder::Promote { term } => format!("SELECT hawthornstack_promote({term})"),
        DatabaseOrder::Follow { term, primary } => {
            format!("SELECT hawthornstack_follow({term}, '{primary}')")
        }
    }
}

/// Writes a position as `TERM/OFFSET`.
pub fn position_text(position: LogPosition) -> String {
    position.to_string()
}

/// Reads `TERM/OFFSET`.
pub fn read_position(text: &str) -> Option<LogPosition> {
    let (term, offset) = text.split_once('/')?;
    Some(LogPosition::new(term.parse().ok()?, offset.parse().ok()?))
}

/// Writes a report's columns.
pub fn report_row(status: &DatabaseStatus) -> [String; 5] {
    let role = match status.role {
        DatabaseRole::Primary => "primary",
        DatabaseRole::Replica => "replica",
    };
    let starts: Vec<String> = status
        .history
        .starts()
        .iter()
        .map(|start| format!("{}/{}", start.term, start.base_offset))
        .collect();
    [
        role.to_owned(),
        status.term.to_string(),
        status.fenced_below.to_string(),
        position_text(status.position),
        starts.join(","),
    ]
}

/// Reads a report's columns.
pub fn read_report(row: &[String]) -> Option<DatabaseStatus> {
    let [role, term, fenced_below, position, history] = row else {
        return None;
    };
    let role = match role.as_str() {
        "primary" => DatabaseRole::Primary,
        "replica" => DatabaseRole::Replica,
        _ => return None,
    };
    let starts: Option<Vec<BranchStart>> = history
        .split(',')
        .filter(|start| !start.is_empty())
        .map(|start| {
            let position = read_position(start)?;
            Some(BranchStart { term: position.term, base_offset: position.offset })
        })
        .collect();
    Some(DatabaseStatus {
        role,
        term: term.parse().ok()?,
        fenced_below: fenced_below.parse().ok()?,
        position: read_position(position)?,
        history: BranchHistory::new(starts?),
    })
}
