use std::net::SocketAddr;

use hawthornstack_decisions::outcomes::Outcome;
use tokio::task::JoinHandle;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

/// A failed connection attempt or request of a caller.
#[derive(Debug, Clone)]
pub struct CallFailure {
    /// Whether the request ran, as far as the caller can tell.
    pub outcome: Outcome,
    /// True if the connection is closed.
    pub connection_lost: bool,
    /// The error that the caller received, with SQLSTATE and detail.
    pub text: String,
}

impl From<tokio_postgres::Error> for CallFailure {
    fn from(error: tokio_postgres::Error) -> Self {
        let detail = error.as_db_error().and_then(|db| db.detail()).unwrap_or_default();
        let outcome = match detail.rsplit(": ").next() {
            Some("DidNotRun") => Outcome::DidNotRun,
            Some("Ran") => Outcome::Ran,
            // An error of the database itself, without an outcome from the daemon: the statement
            // was rolled back.
            _ if error.as_db_error().is_some() && detail.is_empty() => Outcome::DidNotRun,
            _ => Outcome::Unknown,
        };
        let text = match error.as_db_error() {
            Some(db) => format!("{} {} ({detail})", db.code().code(), db.message()),
            None => error.to_string(),
        };
        Self { outcome, connection_lost: error.is_closed(), text }
    }
}

/// A caller that uses an ordinary PostgreSQL client; its connection closes when
/// it is dropped.
pub struct LabCaller {
    /// Client of the connection, for the extended protocol.
    pub client: Client,
    connection: JoinHandle<()>,
}

impl LabCaller {
    /// Connects to a group through a daemon as user `lab`, with session settings
    /// as `name=value`.
    ///
    /// # Errors
    /// `CallFailure` if the daemon cannot be reached or refuses.
    pub async fn connect(
        daemon: SocketAddr,
        group: &str,
        settings: &[String],
    ) -> Result<Self, CallFailure> {
        Self::connect_as(daemon, group, "lab", settings).await
    }

    /// Connects to a group through a daemon as the given user.
    ///
    /// # Errors
    /// `CallFailure` if the daemon cannot be reached or refuses.
    pub async fn connect_as(
        daemon: SocketAddr,
        group: &str,
        user: &str,
        settings: &[String],
    ) -> Result<Self, CallFailure> {
        let options: Vec<String> = settings.iter().map(|setting| format!("-c {setting}")).collect();
        let mut config = Config::new();
        config.host(daemon.ip().to_string()).port(daemon.port()).user(user).dbname(group);
        config.options(options.join(" "));
        let (client, connection) = config.connect(NoTls).await?;
        let connection = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self { client, connection })
    }

    /// Runs `sql` by the simple query protocol and returns the columns of the
    /// first row and the row count.
    ///
    /// # Errors
    /// `CallFailure` with the outcome that the daemon reported.
    pub async fn simple_query(&self, sql: &str) -> Result<SimpleQueryResult, CallFailure> {
        let mut result = SimpleQueryResult::default();
        for message in self.client.simple_query(sql).await? {
            match message {
                SimpleQueryMessage::Row(row) if result.row.is_empty() => {
                    let columns = (0..row.len()).map(|index| row.get(index).map(str::to_owned));
                    result.row = columns.collect();
                }
                SimpleQueryMessage::CommandComplete(count) => result.changed = count,
                _ => {}
            }
        }
        Ok(result)
    }
}

impl Drop for LabCaller {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

/// Result of a simple query.
#[derive(Debug, Clone, Default)]
pub struct SimpleQueryResult {
    /// Columns of the first row as text, `None` for NULL; empty without a row.
    pub row: Vec<Option<String>>,
    /// Rows changed or returned by the last statement.
    pub changed: u64,
}
