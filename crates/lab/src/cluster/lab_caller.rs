use std::net::SocketAddr;

use hawthornstack_decisions::outcomes::Outcome;
use tokio::task::JoinHandle;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

/// Why a caller's request failed.
#[derive(Debug, Clone)]
pub struct CallFailure {
    /// What is known of the request.
    pub outcome: Outcome,
    /// The connection is gone.
    pub connection_lost: bool,
    /// What the caller was told.
    pub text: String,
}

impl From<tokio_postgres::Error> for CallFailure {
    fn from(error: tokio_postgres::Error) -> Self {
        let detail = error.as_db_error().and_then(|db| db.detail()).unwrap_or_default();
        let outcome = match detail.rsplit(": ").next() {
            Some("DidNotRun") => Outcome::DidNotRun,
            Some("Ran") => Outcome::Ran,
            // An error of the database itself: its statement was rolled back.
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

/// One caller: an ordinary PostgreSQL client.
pub struct LabCaller {
    /// The client.
    pub client: Client,
    connection: JoinHandle<()>,
}

impl LabCaller {
    /// Connects to a daemon for a group, with settings as `name=value`.
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

    /// Connects under a caller's name.
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

    /// Runs a text by the simple protocol and returns the first row's text
    /// columns, or the count of changed rows.
    ///
    /// # Errors
    /// `CallFailure` with the outcome as told.
    pub async fn simple(&self, sql: &str) -> Result<SimpleAnswer, CallFailure> {
        let mut answer = SimpleAnswer::default();
        for message in self.client.simple_query(sql).await? {
            match message {
                SimpleQueryMessage::Row(row) if answer.row.is_empty() => {
                    let columns = (0..row.len()).map(|index| row.get(index).map(str::to_owned));
                    answer.row = columns.collect();
                }
                SimpleQueryMessage::CommandComplete(count) => answer.changed = count,
                _ => {}
            }
        }
        Ok(answer)
    }
}

impl Drop for LabCaller {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

/// What a simple statement gave.
#[derive(Debug, Clone, Default)]
pub struct SimpleAnswer {
    /// Columns of the first row.
    pub row: Vec<Option<String>>,
    /// Rows changed or given.
    pub changed: u64,
}
