use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError},
    time::Duration,
};

use hawthornstack_decisions::directory::DatabaseRole;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep, sleep_until},
};

use super::{EngineError, StandInDatabase, StandInSettings, port_pool::free_address};

/// Interval at which a replica polls a primary that has no new records.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A replication group of databases in one process. Replicas copy the log of the
/// primary that they follow.
pub struct StandInGroup {
    /// All databases of the group; the first one starts as primary.
    pub databases: Vec<Arc<StandInDatabase>>,
}

impl StandInGroup {
    /// Starts a database for each of the settings, on free ports of `127.0.0.1`. The
    /// first is the primary, which the others follow. `seed` determines the jitter of
    /// the replication lag.
    ///
    /// # Errors
    /// `EngineError` if a port or an SQL engine cannot be opened.
    pub async fn start(
        settings: Vec<StandInSettings>,
        seed: u64,
    ) -> Result<Arc<Self>, EngineError> {
        let mut databases = Vec::new();
        let mut listeners = Vec::new();
        for (index, settings) in settings.into_iter().enumerate() {
            let listener = bind_free_port().await?;
            let address = listener.local_addr().map_err(port_error)?;
            let role = match index {
                0 => DatabaseRole::Primary,
                _ => DatabaseRole::Replica,
            };
            let database = StandInDatabase::new(settings, address, role)?;
            databases.push(Arc::new(database));
            listeners.push(listener);
        }
        let primary = databases.first().map(|database| database.address);
        for database in databases.iter().skip(1) {
            database.set_following(primary);
        }
        let group = Arc::new(Self { databases });
        for (index, listener) in listeners.into_iter().enumerate() {
            let database = group.databases[index].clone();
            tokio::spawn(database.clone().listen(group.clone(), listener));
            tokio::spawn(group.clone().replicate(database, seed + index as u64));
        }
        Ok(group)
    }

    /// The database that accepts writes; with several, the one of the highest term.
    pub fn primary(&self) -> Option<Arc<StandInDatabase>> {
        self.databases
            .iter()
            .filter(|database| database.core().accepts_writes())
            .max_by_key(|database| database.core().status().term)
            .cloned()
    }

    pub(super) fn find_database(&self, address: SocketAddr) -> Option<&Arc<StandInDatabase>> {
        self.databases.iter().find(|database| database.address == address)
    }

    /// Makes `database` a replica of the primary at `address`.
    ///
    /// # Errors
    /// `EngineError` 08001 if no primary of `term` is reachable at `address`, 55000
    /// if `term` is stale; engine errors of the replay.
    pub(super) fn follow_primary(
        &self,
        database: &StandInDatabase,
        term: u64,
        address: SocketAddr,
    ) -> Result<(), EngineError> {
        let unreachable = || EngineError {
            sqlstate: "08001",
            text: format!("no primary of term {term} is reachable at {address}"),
        };
        let primary = self.find_database(address).filter(|primary| primary.faults.replicates());
        let primary = primary.ok_or_else(unreachable)?;
        let (log, status) = {
            let core = primary.core();
            (core.records_after(0), core.status())
        };
        if status.role != DatabaseRole::Primary || status.term != term {
            return Err(unreachable());
        }
        database.core().follow(term, &log, status.history)?;
        database.set_following(Some(address));
        database.changed.notify_waiters();
        Ok(())
    }

    /// Copies the log of the followed primary to `database`. Each record is applied
    /// in log order, once its simulated lag has passed.
    async fn replicate(self: Arc<Self>, database: Arc<StandInDatabase>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut apply_at = Instant::now();
        loop {
            let next = self.next_record(&database);
            let Some((record, term)) = next else {
                sleep(POLL_INTERVAL).await;
                continue;
            };
            let jitter = database.settings.jitter.as_micros() as u64;
            let random_lag = Duration::from_micros(rng.random_range(0..=jitter));
            let due = record.committed_at + database.settings.lag + random_lag;
            apply_at = apply_at.max(due);
            sleep_until(apply_at).await;
            let _writer = database.writer.lock().await;
            let mut core = database.core();
            let accepted = core.accepts_records_of(term) && database.faults.replicates();
            // Either log may have changed while the record was delayed.
            if accepted && self.is_next_record(&database, core.log_length(), &record) {
                if let Err(error) = core.apply(record) {
                    let name = &database.settings.database;
                    log::error!(
                        target: "upstreams",
                        "Applying a log record to {name} failed; retrying: {error}."
                    );
                }
                drop(core);
                database.changed.notify_waiters();
            }
        }
    }

    /// The first record of the followed primary's log that `database` does not have,
    /// with the primary's current term.
    fn next_record(&self, database: &StandInDatabase) -> Option<(Arc<super::LogRecord>, u64)> {
        if !database.faults.replicates() {
            return None;
        }
        let address = (*database.following.lock().unwrap_or_else(PoisonError::into_inner))?;
        let primary = self.find_database(address).filter(|primary| primary.faults.replicates())?;
        let length = database.core().log_length();
        let core = primary.core();
        let record = core.record(length)?;
        Some((record, core.status().term))
    }

    /// True if `record` is still at index `length` in the log of the primary that
    /// `database` follows.
    fn is_next_record(
        &self,
        database: &StandInDatabase,
        length: usize,
        record: &Arc<super::LogRecord>,
    ) -> bool {
        let address = *database.following.lock().unwrap_or_else(PoisonError::into_inner);
        let primary = address.and_then(|address| self.find_database(address));
        primary.is_some_and(|primary| {
            let is_record = |found: Arc<super::LogRecord>| Arc::ptr_eq(&found, record);
            !std::ptr::eq(primary.as_ref(), database)
                && primary.faults.replicates()
                && primary.core().record(length).is_some_and(is_record)
        })
    }
}

impl StandInDatabase {
    pub(super) fn set_following(&self, address: Option<SocketAddr>) {
        *self.following.lock().unwrap_or_else(PoisonError::into_inner) = address;
    }
}

async fn bind_free_port() -> Result<TcpListener, EngineError> {
    let address = free_address().map_err(port_error)?;
    TcpListener::bind(address).await.map_err(port_error)
}

fn port_error(error: std::io::Error) -> EngineError {
    EngineError { sqlstate: "58000", text: error.to_string() }
}
