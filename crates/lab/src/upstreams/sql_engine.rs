use rusqlite::{Connection, types::Value};
use snafu::Snafu;

/// A statement with its parameters, as the log replays it.
#[derive(Debug, Clone, PartialEq)]
pub struct LoggedStatement {
    /// The text.
    pub sql: String,
    /// Parameters in order.
    pub parameters: Vec<Value>,
}

/// Rows of a statement, or the count of rows that it changed.
#[derive(Debug, Clone, Default)]
pub struct EngineRows {
    /// Names of the columns; empty if the statement gives no rows.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<Value>>,
    /// Rows that were changed.
    pub changed: usize,
}

/// What the engine refused.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("{text}"))]
pub struct EngineError {
    /// SQLSTATE.
    pub sqlstate: &'static str,
    /// What is wrong.
    pub text: String,
}

impl From<rusqlite::Error> for EngineError {
    fn from(error: rusqlite::Error) -> Self {
        let unique =
            matches!(error.sqlite_error_code(), Some(rusqlite::ErrorCode::ConstraintViolation));
        let sqlstate = if unique { "23505" } else { "42601" };
        Self { sqlstate, text: error.to_string() }
    }
}

/// One SQL engine in memory.
#[derive(Debug)]
pub struct SqlEngine {
    connection: Connection,
}

impl SqlEngine {
    /// An empty engine.
    ///
    /// # Errors
    /// `EngineError` if the library cannot open a database in memory.
    pub fn open() -> Result<Self, EngineError> {
        Ok(Self { connection: Connection::open_in_memory()? })
    }

    /// True if the statement changes nothing.
    ///
    /// # Errors
    /// `EngineError` if the text is not a statement.
    pub fn is_read(&self, sql: &str) -> Result<bool, EngineError> {
        Ok(self.connection.prepare_cached(sql)?.readonly())
    }

    /// Names and declared types of a statement's columns.
    ///
    /// # Errors
    /// `EngineError` if the text is not a statement.
    pub fn describe(&self, sql: &str) -> Result<Vec<(String, Option<String>)>, EngineError> {
        let statement = self.connection.prepare_cached(sql)?;
        let columns = statement.columns();
        Ok(columns
            .map(|column| (column.name().to_owned(), column.decl_type().map(str::to_owned)))
            .collect())
    }

    /// Runs one statement.
    ///
    /// # Errors
    /// `EngineError` with its SQLSTATE.
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
        let count = columns.len();
        let before = self.connection.total_changes();
        let mut rows = Vec::new();
        let mut cursor = prepared.raw_query();
        while let Some(row) = cursor.next()? {
            let values: Result<Vec<Value>, _> = (0..count).map(|index| row.get(index)).collect();
            rows.push(values?);
        }
        let changed = (self.connection.total_changes() - before) as usize;
        Ok(EngineRows { columns, rows, changed })
    }

    /// Runs a statement of transaction control.
    ///
    /// # Errors
    /// `EngineError` with its SQLSTATE.
    pub fn control(&self, sql: &str) -> Result<(), EngineError> {
        Ok(self.connection.execute_batch(sql)?)
    }
}
