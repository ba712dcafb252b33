//! Statements that call the report and order functions of a database, and the
//! text form of the reports they return; see `docs/UPSTREAM.md`.

use hawthornstack_decisions::{
    directory::{DatabaseRole, DatabaseStatus},
    failover::DatabaseOrder,
    positions::{BranchHistory, BranchStart, LogPosition},
};

/// Column names of a report, in order. All columns are text.
pub const REPORT_COLUMNS: [&str; 5] = ["role", "term", "fenced_below", "position", "history"];

/// Statement that returns the log position after the statements before it.
pub const POSITION_STATEMENT: &str = "SELECT hawthornstack_position()";

/// Builds the statement that returns a report as soon as the database's term
/// differs from `term` or its position from `position`, and after `wait_ms`
/// milliseconds at the latest.
pub fn report_statement(term: u64, position: LogPosition, wait_ms: u64) -> String {
    format!("SELECT hawthornstack_report({term}, '{position}', {wait_ms})")
}

/// Builds the statement for an order. The database returns a report.
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

/// Formats a position as `TERM/OFFSET`.
pub fn position_text(position: LogPosition) -> String {
    position.to_string()
}

/// Parses `TERM/OFFSET`; `None` if the text has another form.
pub fn read_position(text: &str) -> Option<LogPosition> {
    let (term, offset) = text.split_once('/')?;
    Some(LogPosition::new(term.parse().ok()?, offset.parse().ok()?))
}

/// Formats a status as a report, in the order of `REPORT_COLUMNS`. The history
/// is a list of `TERM/BASE_OFFSET` separated by commas.
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

/// Parses a report; `None` if a column is missing, surplus or invalid.
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
