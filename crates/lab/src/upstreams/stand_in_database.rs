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

/// Identity, capacity and simulated delays of a stand-in database.
#[derive(Debug, Clone)]
pub struct StandInSettings {
    /// Name under which it is announced.
    pub database: DatabaseName,
    /// Group whose databases it replicates with.
    pub group: GroupName,
    /// Data centre that it announces.
    pub data_centre: DataCentre,
    /// Statements that can run concurrently.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Time to open a connection; connections to the control database skip it.
    pub connection_cost: Duration,
    /// Execution time of a statement, for which it occupies a slot.
    pub service_time: Duration,
    /// Minimum replication lag behind the primary.
    pub lag: Duration,
    /// Maximum random time added to `lag` for each record.
    pub jitter: Duration,
}

/// Counters of a database since its start, read by experiments.
#[derive(Debug, Default)]
pub struct DatabaseCounters {
    /// Reads run while the database was primary.
    pub primary_reads: AtomicU64,
    /// Reads run while the database was a replica.
    pub replica_reads: AtomicU64,
    /// Write transactions committed.
    pub writes: AtomicU64,
    /// Connections accepted.
    pub opened: AtomicU64,
    /// Connections refused because the limit was reached.
    pub refused: AtomicU64,
    /// Highest number of connections open at a time, including refused ones.
    pub peak_open: AtomicU32,
    /// Connections currently open.
    pub open: AtomicU32,
}

/// A fence or promote order that a database received.
#[derive(Debug, Clone)]
pub struct ReceivedOrder {
    /// Name of the contract function, such as `hawthornstack_fence`.
    pub function: String,
    /// Time of receipt; for a promotion, taken once the open write transaction has
    /// ended.
    pub received_at: Instant,
}

/// A stand-in database that serves PostgreSQL connections, with limits on
/// statements and connections and with injected faults.
pub struct StandInDatabase {
    /// Identity, capacity and simulated delays.
    pub settings: StandInSettings,
    /// Listening address, the same after a restart.
    pub address: SocketAddr,
    /// Injected fault.
    pub faults: FaultSwitch,
    /// Fence and promote orders in the order of receipt, whether or not they
    /// succeeded.
    pub orders: Mutex<Vec<ReceivedOrder>>,
    /// Counters since the start.
    pub counters: DatabaseCounters,
    pub(super) slots: Semaphore,
    /// Held by the open write transaction, and while a record is applied or a
    /// promote or follow order is executed.
    pub(super) writer: Arc<AsyncMutex<()>>,
    /// Notifies pending reports of status changes.
    pub(super) changed: Notify,
    /// Address of the primary whose log is replicated; `None` for a primary.
    pub(super) following: Mutex<Option<SocketAddr>>,
    core: Mutex<DatabaseCore>,
}

impl StandInDatabase {
    /// Creates an empty database for `address`; it accepts no connections yet.
    ///
    /// # Errors
    /// `EngineError` if an SQL engine cannot be opened.
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

    /// Locks the data, log and role.
    pub fn core(&self) -> MutexGuard<'_, DatabaseCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The announcement for the daemons, with the current role and term.
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

    pub(super) fn record_order(&self, function: &str) {
        let order = ReceivedOrder { function: function.to_owned(), received_at: Instant::now() };
        self.orders.lock().unwrap_or_else(PoisonError::into_inner).push(order);
    }

    pub(super) fn count_read(&self) {
        let counter = match self.core().role() {
            DatabaseRole::Primary => &self.counters.primary_reads,
            DatabaseRole::Replica => &self.counters.replica_reads,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Accepts connections until its task is cancelled. The port is closed while the
    /// database is stopped and opened again afterwards.
    pub(super) async fn listen(
        self: Arc<Self>,
        group: Arc<super::StandInGroup>,
        initial_listener: TcpListener,
    ) {
        let mut initial = Some(initial_listener);
        loop {
            self.faults.wait_until_started().await;
            let listener = match initial.take() {
                Some(listener) => listener,
                None => match TcpListener::bind(self.address).await {
                    Ok(listener) => listener,
                    Err(_) => {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
            };
            loop {
                let accepted = tokio::select! {
                    () = self.faults.wait_until_stopped() => break,
                    accepted = listener.accept() => accepted,
                };
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(PgSession::serve(self.clone(), group.clone(), stream));
                }
            }
        }
    }
}
