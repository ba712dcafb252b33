use std::{net::SocketAddr, time::Duration};

use hawthornstack_decisions::{pg_host::HostEvent, sessions::TokenKey};
use ractor::{Actor, ActorCell, ActorRef};
use snafu::ResultExt;
use tokio::{net::TcpListener, sync::watch, time::MissedTickBehavior};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    HostClock, KernelError, ServiceName,
    kernel_error::{ListenSnafu, MetricsSnafu, SpawnSnafu},
};
use crate::{
    journal::{JournalArguments, JournalFile, JournalService},
    metrics::DaemonMetrics,
    pg_callers::{CallerContext, CallerListener, CancelRegistry, ForwardStore, KeyedGroups},
    pg_host::{HostArguments, HostMessage, HostService, RequestNumbers, voter_addresses},
    pg_operators::{OperatorContext, operator_routes},
    pg_peers::{PeersArguments, PeersService},
    pg_upstreams::{ConnectionStore, UpstreamsArguments, UpstreamsService},
    settings::DaemonSettings,
};

/// Interval between tick events to the host service.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for callers to finish at a graceful shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay between the health check starting to fail and idle callers being
/// disconnected, in which the balancer notices the failure.
const HEALTH_NOTICE_DELAY: Duration = Duration::from_millis(500);

/// Owns the services and tasks of a running daemon.
pub struct DaemonKernel {
    callers_address: SocketAddr,
    host: ActorRef<HostMessage>,
    services: Vec<ActorCell>,
    tasks: TaskTracker,
    closing: CancellationToken,
    unhealthy: CancellationToken,
    cancel: CancellationToken,
}

async fn bind_listener(address: SocketAddr) -> Result<TcpListener, KernelError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

impl DaemonKernel {
    /// Starts all services.
    ///
    /// # Errors
    /// `KernelError` if a port cannot be bound, the data folder cannot be used, the
    /// journal is damaged, or the metrics or a service do not start.
    pub async fn start(settings: &DaemonSettings) -> Result<Self, KernelError> {
        let host_id = settings.host.id;
        let run_id = rand::random();
        let clock = HostClock::start();
        let cancel = CancellationToken::new();
        let closing = CancellationToken::new();
        let unhealthy = CancellationToken::new();
        let draining = watch::Sender::new(false);
        let metrics = DaemonMetrics::start().context(MetricsSnafu)?;
        let journal = open_journal(settings)?;
        let caller_listener = bind_listener(settings.listen.callers).await?;
        let peer_listener = bind_listener(settings.listen.peers).await?;
        let operator_listener = bind_listener(settings.listen.operators).await?;
        let callers_address = caller_listener
            .local_addr()
            .context(ListenSnafu { address: settings.listen.callers })?;

        let (file, records) = match journal {
            Some((file, records)) => (Some(file), records),
            None => (None, Vec::new()),
        };
        let arguments = HostArguments {
            settings: settings.host_settings(rand::random()),
            journal: records,
            clock,
            run_id,
            voters: voter_addresses(settings),
            metrics: metrics.clone(),
            draining: draining.clone(),
        };
        let registry_name = |service: ServiceName| Some(service.registry_name(host_id, run_id));
        let spawned = Actor::spawn(registry_name(ServiceName::Host), HostService, arguments).await;
        let (host, _) = spawned.context(SpawnSnafu { service: "host" })?;
        let mut services = vec![host.get_cell()];

        if let Some(file) = file {
            let arguments = JournalArguments { file, host: host.clone() };
            let name = registry_name(ServiceName::Journal);
            let spawned = Actor::spawn(name, JournalService, arguments).await;
            services.push(spawned.context(SpawnSnafu { service: "journal" })?.0.get_cell());
        }
        let arguments = PeersArguments {
            host_id,
            host: host.clone(),
            listener: peer_listener,
            cancel: cancel.clone(),
            metrics: metrics.clone(),
        };
        let spawned =
            Actor::spawn(registry_name(ServiceName::Peers), PeersService, arguments).await;
        services.push(spawned.context(SpawnSnafu { service: "peers" })?.0.get_cell());

        let store = ConnectionStore::default();
        let arguments = UpstreamsArguments {
            host: host.clone(),
            clock,
            store: store.clone(),
            cancel: cancel.clone(),
        };
        let spawned =
            Actor::spawn(registry_name(ServiceName::Upstreams), UpstreamsService, arguments).await;
        services.push(spawned.context(SpawnSnafu { service: "upstreams" })?.0.get_cell());

        let tasks = TaskTracker::new();
        tokio::spawn(send_ticks(host.clone(), cancel.clone()));
        let context = OperatorContext {
            host: host.clone(),
            unhealthy: unhealthy.clone(),
            draining: draining.subscribe(),
            metrics,
        };
        let routes = operator_routes(context);
        let shutdown = cancel.clone();
        tokio::spawn(async move {
            let server = axum::serve(operator_listener, routes);
            let _ = server.with_graceful_shutdown(shutdown.cancelled_owned()).await;
        });
        let host_ref = host.clone();
        let callers = CallerListener {
            listener: caller_listener,
            context: CallerContext {
                host,
                clock,
                store,
                numbers: RequestNumbers::default(),
                cancels: CancelRegistry::default(),
                forwards: ForwardStore::default(),
                keyed_groups: KeyedGroups::default(),
                token_key: TokenKey::derive(&settings.sessions.secret),
                closing: closing.clone(),
                draining: draining.subscribe(),
            },
            tasks: tasks.clone(),
            cancel: cancel.clone(),
        };
        tokio::spawn(callers.run());
        log::info!(target: "kernel", "Host {host_id} accepts callers on {callers_address}.");
        Ok(Self { callers_address, host: host_ref, services, tasks, closing, unhealthy, cancel })
    }

    /// Bound address of the callers' listener.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Stops gracefully: the health check fails first, so that the balancer sends
    /// no new callers; then idle callers are disconnected, and the others may
    /// finish their requests and transactions for `DRAIN_TIMEOUT` at most.
    pub async fn shut_down(self) {
        log::info!(
            target: "kernel",
            "Shutting down: the health check fails; idle callers are disconnected next."
        );
        self.unhealthy.cancel();
        let _ = self.host.send_message(HostMessage::Event(HostEvent::Leaving));
        tokio::time::sleep(HEALTH_NOTICE_DELAY).await;
        self.closing.cancel();
        self.tasks.close();
        if tokio::time::timeout(DRAIN_TIMEOUT, self.tasks.wait()).await.is_err() {
            log::warn!(
                target: "kernel",
                "Some callers did not finish in time; their connections are closed."
            );
        }
        self.kill();
    }

    /// Stops all services and tasks immediately, as a crash would.
    pub fn kill(self) {
        self.cancel.cancel();
        for service in &self.services {
            service.kill();
        }
    }
}

type OpenJournal = (JournalFile, Vec<hawthornstack_decisions::agreement::JournalRecord>);

fn open_journal(settings: &DaemonSettings) -> Result<Option<OpenJournal>, KernelError> {
    match (&settings.control.data, settings.is_voter()) {
        (Some(folder), true) => JournalFile::open(folder).map(Some),
        _ => Ok(None),
    }
}

async fn send_ticks(host: ActorRef<HostMessage>, cancel: CancellationToken) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            _ = interval.tick() => {}
        }
        if host.send_message(HostMessage::Event(HostEvent::Tick)).is_err() {
            return;
        }
    }
}
