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

/// Time between looks at a primary that has nothing new.
const PULL_INTERVAL: Duration = Duration::from_millis(2);

/// Databases that replicate among each other, in one process.
pub struct StandInGroup {
    /// The databases; the first one starts as primary.
    pub databases: Vec<Arc<StandInDatabase>>,
}

impl StandInGroup {
    /// Starts databases on free ports of `127.0.0.1`; the first is primary.
    ///
    /// # Errors
    /// `EngineError` if a port or an engine cannot be opened.
    pub async fn start(
        settings: Vec<StandInSettings>,
        seed: u64,
    ) -> Result<Arc<Self>, EngineError> {
        let mut databases = Vec::new();
        let mut listeners = Vec::new();
        for (index, settings) in settings.into_iter().enumerate() {
            let listener = bind().await?;
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

    /// The database that accepts writes in the highest term.
    pub fn primary(&self) -> Option<Arc<StandInDatabase>> {
        self.databases
            .iter()
            .filter(|database| database.core().accepts_writes())
            .max_by_key(|database| database.core().status().term)
            .cloned()
    }

    pub(super) fn find(&self, address: SocketAddr) -> Option<&Arc<StandInDatabase>> {
        self.databases.iter().find(|database| database.address == address)
    }

    /// Makes `database` follow the primary at `address`.
    pub(super) fn follow(
        &self,
        database: &StandInDatabase,
        term: u64,
        address: SocketAddr,
    ) -> Result<(), EngineError> {
        let unreachable =
            || EngineError { sqlstate: "08001", text: "the primary cannot be reached".to_owned() };
        let primary = self.find(address).filter(|primary| primary.faults.replicates());
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

    /// Applies the followed primary's log, each record after its lag.
    async fn replicate(self: Arc<Self>, database: Arc<StandInDatabase>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ready_at = Instant::now();
        loop {
            let next = self.next_record(&database);
            let Some((record, term)) = next else {
                sleep(PULL_INTERVAL).await;
                continue;
            };
            let jitter = database.settings.jitter.as_micros() as u64;
            let extra = Duration::from_micros(rng.random_range(0..=jitter));
            let due = record.committed_at + database.settings.lag + extra;
            ready_at = ready_at.max(due);
            sleep_until(ready_at).await;
            let _writer = database.writer.lock().await;
            let mut core = database.core();
            let takes = core.takes_records_of(term) && database.faults.replicates();
            // The log may have changed while the record was on its way.
            if takes && self.follows_at(&database, core.log_length(), &record) {
                if let Err(error) = core.apply(record) {
                    log::error!(target: "upstreams", "Replication failed: {error}.");
                }
                drop(core);
                database.changed.notify_waiters();
            }
        }
    }

    fn next_record(&self, database: &StandInDatabase) -> Option<(Arc<super::LogRecord>, u64)> {
        if !database.faults.replicates() {
            return None;
        }
        let address = (*database.following.lock().unwrap_or_else(PoisonError::into_inner))?;
        let primary = self.find(address).filter(|primary| primary.faults.replicates())?;
        let length = database.core().log_length();
        let core = primary.core();
        let record = core.record(length)?;
        Some((record, core.status().term))
    }

    fn follows_at(
        &self,
        database: &StandInDatabase,
        length: usize,
        record: &Arc<super::LogRecord>,
    ) -> bool {
        let address = *database.following.lock().unwrap_or_else(PoisonError::into_inner);
        let primary = address.and_then(|address| self.find(address));
        primary.is_some_and(|primary| {
            let same = |found: Arc<super::LogRecord>| Arc::ptr_eq(&found, record);
            !std::ptr::eq(primary.as_ref(), database)
                && primary.faults.replicates()
                && primary.core().record(length).is_some_and(same)
        })
    }
}

impl StandInDatabase {
    pub(super) fn set_following(&self, address: Option<SocketAddr>) {
        *self.following.lock().unwrap_or_else(PoisonError::into_inner) = address;
    }
}

async fn bind() -> Result<TcpListener, EngineError> {
    let address = free_address().map_err(port_error)?;
    TcpListener::bind(address).await.map_err(port_error)
}

fn port_error(error: std::io::Error) -> EngineError {
    EngineError { sqlstate: "58000", text: error.to_string() }
}
