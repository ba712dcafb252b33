use sqlparser::{
    ast::{Expr, Set, Statement, TransactionAccessMode, TransactionMode, Value, ValueWithSpan},
    dialect::PostgreSqlDialect,
    parser::Parser,
};

use super::read_check::is_read;

/// Assignment of one session setting by `SET`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SetAssignment {
    /// Name in lower case, with any prefix.
    pub name: String,
    /// Value without quotes.
    pub value: String,
}

/// Class of a caller's text, by which it is routed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementClass {
    /// The text holds no statement.
    Empty,
    /// Cannot change data; any database that is fresh enough may serve it.
    Read,
    /// Changes data, or may change it.
    Write,
    /// Opens a transaction.
    Begin {
        /// `READ ONLY` was given.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls back the whole open transaction.
    Rollback,
    /// Sets a session setting.
    Set(SetAssignment),
    /// Shows a session setting.
    Show(String),
    /// Would leave state on a shared connection, or mixes transaction control
    /// with other statements in one text.
    Unsupported,
}

/// Classifies a text of one or more statements. A text that the parser rejects
/// counts as a write, unless it is clearly unsupported.
pub fn classify(sql: &str) -> StatementClass {
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return classify_unparsed(sql);
    };
    match statements.as_slice() {
        [] => StatementClass::Empty,
        [statement] => classify_one(statement),
        many => classify_many(many),
    }
}

fn classify_many(statements: &[Statement]) -> StatementClass {
    let mut combined = StatementClass::Read;
    for statement in statements {
        match classify_one(statement) {
            StatementClass::Read => {}
            StatementClass::Write => combined = StatementClass::Write,
            _ => return StatementClass::Unsupported,
        }
    }
    combined
}

fn classify_one(statement: &Statement) -> StatementClass {
    match statement {
        Statement::Query(_) if is_read(statement) => StatementClass::Read,
        Statement::Explain { analyze: false, options: None, .. } if is_read(statement) => {
            StatementClass::Read
        }
        Statement::StartTransaction { modes, statements, .. } if statements.is_empty() => {
            StatementClass::Begin { read_only: modes.iter().any(is_read_only) }
        }
        Statement::Commit { chain: false, .. } => StatementClass::Commit,
        Statement::Rollback { chain: false, savepoint: None } => StatementClass::Rollback,
        Statement::Set(set) => classify_set(set),
        Statement::ShowVariable { variable } => StatementClass::Show(
            variable.iter().map(|ident| ident.value.to_lowercase()).collect::<Vec<_>>().join("."),
        ),
        Statement::Prepare { .. }
        | Statement::Execute { .. }
        | Statement::Deallocate { .. }
        | Statement::Declare { .. }
        | Statement::LISTEN { .. }
        | Statement::UNLISTEN { .. }
        | Statement::Copy { .. }
        | Statement::Commit { .. }
        | Statement::StartTransaction { .. } => StatementClass::Unsupported,
        Statement::CreateTable(table) if table.temporary => StatementClass::Unsupported,
        _ => StatementClass::Write,
    }
}

fn is_read_only(mode: &TransactionMode) -> bool {
    matches!(mode, TransactionMode::AccessMode(TransactionAccessMode::ReadOnly))
}

fn classify_set(set: &Set) -> StatementClass {
    match set {
        Set::SingleAssignment { scope: None, variable, values, .. } => {
            let [value] = values.as_slice() else {
                return StatementClass::Unsupported;
            };
            StatementClass::Set(SetAssignment {
                name: variable.to_string().to_lowercase(),
                value: setting_value(value),
            })
        }
        Set::SetNames { charset_name, .. } => StatementClass::Set(SetAssignment {
            name: "client_encoding".to_owned(),
            value: charset_name.to_string(),
        }),
        _ => StatementClass::Unsupported,
    }
}

fn setting_value(value: &Expr) -> String {
    match value {
        Expr::Value(ValueWithSpan { value: Value::SingleQuotedString(text), .. }) => text.clone(),
        other => other.to_string(),
    }
}

/// Classifies a text that the parser rejects as a write, unless its first word shows
/// that it would leave state on the connection or controls a transaction.
fn classify_unparsed(sql: &str) -> StatementClass {
    let first = sql.split_whitespace().next().unwrap_or_default().to_lowercase();
    match first.as_str() {
        "set" | "reset" | "listen" | "unlisten" | "prepare" | "execute" | "deallocate"
        | "declare" | "copy" | "discard" | "load" | "begin" | "start" | "commit" | "end" => {
            StatementClass::Unsupported
        }
        _ => StatementClass::Write,
    }
}
