use rusqlite::{Connection, types::Value};
use snafu::Snafu;

/// A statement with its parameters, as stored in the log and replayed from it.
#[derive(Debug, Clone, PartialEq)]
pub struct LoggedStatement {
    /// SQL text in SQLite's dialect.
    pub sql: String,
    /// Values of `$1`, `$2`, ... in order.
    pub parameters: Vec<Value>,
}

/// Result of a statement: its rows and the number of rows that it changed.
#[derive(Debug, Clone, Default)]
pub struct EngineRows {
    /// Column names; empty if the statement returns no rows.
    pub columns: Vec<String>,
    /// Values of each row, in the order of `columns`.
    pub rows: Vec<Vec<Value>>,
    /// Number of rows inserted, updated or deleted.
    pub changed: usize,
}

/// An error of an SQL engine or of the stand-in, as clients get it in an
/// `ErrorResponse`.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("{text}"))]
pub struct EngineError {
    /// SQLSTATE of the error.
    pub sqlstate: &'static str,
    /// Message for the client.
    pub text: String,
}

impl From<rusqlite::Error> for EngineError {
    fn from(error: rusqlite::Error) -> Self {
        let is_constraint_violation =
            matches!(error.sqlite_error_code(), Some(rusqlite::ErrorCode::ConstraintViolation));
        let sqlstate = if is_constraint_violation { "23505" } else { "42601" };
        Self { sqlstate, text: error.to_string() }
    }
}

/// An in-memory SQLite database.
#[derive(Debug)]
pub struct SqlEngine {
    connection: Connection,
}

impl SqlEngine {
    /// Opens an empty database.
    ///
    /// # Errors
    /// `EngineError` if SQLite cannot open an in-memory database.
    pub fn open() -> Result<Self, EngineError> {
        Ok(Self { connection: Connection::open_in_memory()? })
    }

    /// True if the statement cannot modify the database.
    ///
    /// # Errors
    /// `EngineError` if SQLite cannot prepare the statement.
    pub fn is_read(&self, sql: &str) -> Result<bool, EngineError> {
        Ok(self.connection.prepare_cached(sql)?.readonly())
    }

    /// Names and declared types of a statement's result columns. Expressions have
    /// no declared type.
    ///
    /// # Errors
    /// `EngineError` if SQLite cannot prepare the statement.
    pub fn describe(&self, sql: &str) -> Result<Vec<(String, Option<String>)>, EngineError> {
        let statement = self.connection.prepare_cached(sql)?;
        let columns = statement.columns();
        Ok(columns
            .map(|column| (column.name().to_owned(), column.decl_type().map(str::to_owned)))
            .collect())
    }

    /// Runs one statement to its end.
    ///
    /// # Errors
    /// `EngineError` with SQLSTATE 23505 for a constraint violation, 42601
    /// otherwise.
    pub fn run(&self, statement: &LoggedStatement) -> Result<EngineRows, EngineError> {
        let mut prepared = self.connection.prepare_cached(&statement.sql)?;
        let columns: Vec<String> = prepared.column_names().map(str::to_owned).collect();
        for (index, value) in statement.parameters.iter().enumerate() {
            prepared.raw_bind_parameter(index + 1, value)?;
        }
        if columns.is_empty() {
            let changed = prepared.raw_execute()?;
            return Ok(EngineRows { changed, ..EngineRows::default() });
        }
        let column_count = columns.len();
        let changes_before = self.connection.total_changes();
        let mut rows = Vec::new();
        let mut cursor = prepared.raw_query();
        while let Some(row) = cursor.next()? {
            let values: Result<Vec<Value>, _> =
                (0..column_count).map(|index| row.get(index)).collect();
            rows.push(values?);
        }
        let changed = (self.connection.total_changes() - changes_before) as usize;
        Ok(EngineRows { columns, rows, changed })
    }

    /// Runs `BEGIN`, `COMMIT` or `ROLLBACK`.
    ///
    /// # Errors
    /// `EngineError` if SQLite refuses it, such as `ROLLBACK` without a transaction.
    pub fn run_transaction_control(&self, sql: &str) -> Result<(), EngineError> {
        Ok(self.connection.execute_batch(sql)?)
    }
}
