use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use hawthornstack_decisions::{
    directory::{Announcement, DatabaseRole},
    identity::{DataCentre, DatabaseName, GroupName},
};
use tokio::{
    net::TcpListener,
    sync::{Mutex as AsyncMutex, Notify, Semaphore},
    time::Instant,
};

use super::{DatabaseCore, EngineError, FaultSwitch, pg_session::PgSession};

/// Sizes and delays of a stand-in database.
#[derive(Debug, Clone)]
pub struct StandInSettings {
    /// Its name.
    pub database: DatabaseName,
    /// Its group.
    pub group: GroupName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Statements it runs at a time.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Cost of a new connection.
    pub connection_cost: Duration,
    /// Time that a statement holds its slot.
    pub service_time: Duration,
    /// Shortest lag behind its primary.
    pub lag: Duration,
    /// Greatest addition to the lag.
    pub jitter: Duration,
}

/// What a database counted, for experiments.
#[derive(Debug, Default)]
pub struct DatabaseCounters {
    /// Reads that it served as primary.
    pub primary_reads: AtomicU64,
    /// Reads that it served as replica.
    pub replica_reads: AtomicU64,
    /// Writes that it committed.
    pub writes: AtomicU64,
    /// Connections that it accepted.
    pub opened: AtomicU64,
    /// Connections that it refused for its limit.
    pub refused: AtomicU64,
    /// Most connections at a time.
    pub most_open: AtomicU32,
    /// Connections open now.
    pub open: AtomicU32,
}

/// An order that a database took.
#[derive(Debug, Clone)]
pub struct TakenOrder {
    /// Name of the contract's function.
    pub function: String,
    /// When it was taken.
    pub at: Instant,
}

/// One stand-in database: protocol, slots, connections, faults.
pub struct StandInDatabase {
    /// Sizes and delays.
    pub settings: StandInSettings,
    /// Where it listens.
    pub address: SocketAddr,
    /// What is wrong with it.
    pub faults: FaultSwitch,
    /// Orders that it took, with their times.
    pub orders: Mutex<Vec<TakenOrder>>,
    /// What it counted.
    pub counters: DatabaseCounters,
    pub(super) slots: Semaphore,
    pub(super) writer: Arc<AsyncMutex<()>>,
    pub(super) changed: Notify,
    pub(super) following: Mutex<Option<SocketAddr>>,
    core: Mutex<DatabaseCore>,
}

impl StandInDatabase {
    /// Builds a database that will listen at `address`.
    ///
    /// # Errors
    /// `EngineError` if no engine can be opened.
    pub fn new(
        settings: StandInSettings,
        address: SocketAddr,
        role: DatabaseRole,
    ) -> Result<Self, EngineError> {
        Ok(Self {
            slots: Semaphore::new(settings.slots as usize),
            writer: Arc::new(AsyncMutex::new(())),
            changed: Notify::new(),
            following: Mutex::new(None),
            core: Mutex::new(DatabaseCore::new(role)?),
            faults: FaultSwitch::default(),
            orders: Mutex::new(Vec::new()),
            counters: DatabaseCounters::default(),
            settings,
            address,
        })
    }

    /// Its data, log and role.
    pub fn core(&self) -> MutexGuard<'_, DatabaseCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What it announces.
    pub fn announcement(&self, leaving: bool) -> Announcement {
        let status = self.core().status();
        Announcement {
            database: self.settings.database.clone(),
            group: self.settings.group.clone(),
            address: self.address,
            data_centre: self.settings.data_centre.clone(),
            connections: self.settings.connections,
            slots: self.settings.slots,
            role: status.role,
            term: status.term,
            leaving,
        }
    }

    pub(super) fn note_order(&self, function: &str) {
        let order = TakenOrder { function: function.to_owned(), at: Instant::now() };
        self.orders.lock().unwrap_or_else(PoisonError::into_inner).push(order);
    }

    pub(super) fn count_read(&self) {
        let counter = match self.core().role() {
            DatabaseRole::Primary => &self.counters.primary_reads,
            DatabaseRole::Replica => &self.counters.replica_reads,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Accepts connections, over stops and starts, until dropped.
    pub(super) async fn listen(
        self: Arc<Self>,
        group: Arc<super::StandInGroup>,
        first: TcpListener,
    ) {
        let mut listener = Some(first);
        loop {
            self.faults.started().await;
            let open = match listener.take() {
                Some(open) => open,
                None => match TcpListener::bind(self.address).await {
                    Ok(open) => open,
                    Err(_) => {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
            };
            loop {
                let accepted = tokio::select! {
                    () = self.faults.stopped() => break,
                    accepted = open.accept() => accepted,
                };
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(PgSession::serve(self.clone(), group.clone(), stream));
                }
            }
        }
    }
}
