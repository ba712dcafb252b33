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

/// Time between ticks of the decisions.
const TICK: Duration = Duration::from_millis(10);
/// Time for which callers are let finish at a graceful shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between the balancer's answer changing and callers being let go.
const HEALTH_NOTICE: Duration = Duration::from_millis(500);

/// A running daemon.
pub struct DaemonKernel {
    callers: SocketAddr,
    host: ActorRef<HostMessage>,
    services: Vec<ActorCell>,
    tasks: TaskTracker,
    closing: CancellationToken,
    unhealthy: CancellationToken,
    cancel: CancellationToken,
}

async fn listen(address: SocketAddr) -> Result<TcpListener, KernelError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

impl DaemonKernel {
    /// Starts all services.
    ///
    /// # Errors
    /// `KernelError` if a port or the data folder cannot be used, or the
    /// journal is damaged.
    pub async fn start(settings: &DaemonSettings) -> Result<Self, KernelError> {
        let me = settings.host.id;
        let run = rand::random();
        let clock = HostClock::start();
        let cancel = CancellationToken::new();
        let closing = CancellationToken::new();
        let unhealthy = CancellationToken::new();
        let draining = watch::Sender::new(false);
        let metrics = DaemonMetrics::start().context(MetricsSnafu)?;
        let journal = open_journal(settings)?;
        let callers = listen(settings.listen.callers).await?;
        let peers = listen(settings.listen.peers).await?;
        let operators = listen(settings.listen.operators).await?;
        let callers_address =
            callers.local_addr().context(ListenSnafu { address: settings.listen.callers })?;

        let (file, records) = match journal {
            Some((file, records)) => (Some(file), records),
            None => (None, Vec::new()),
        };
        let arguments = HostArguments {
            settings: settings.host_settings(rand::random()),
            journal: records,
            clock,
            run,
            voters: voter_addresses(settings),
            metrics: metrics.clone(),
            draining: draining.clone(),
        };
        let name = |service: ServiceName| Some(service.path(me, run));
        let spawned = Actor::spawn(name(ServiceName::Host), HostService, arguments).await;
        let (host, _) = spawned.context(SpawnSnafu { service: "host" })?;
        let mut services = vec![host.get_cell()];

        if let Some(file) = file {
            let arguments = JournalArguments { file, host: host.clone() };
            let name = name(ServiceName::Journal);
            let spawned = Actor::spawn(name, JournalService, arguments).await;
            services.push(spawned.context(SpawnSnafu { service: "journal" })?.0.get_cell());
        }
        let arguments = PeersArguments {
            me,
            host: host.clone(),
            listener: peers,
            cancel: cancel.clone(),
            metrics: metrics.clone(),
        };
        let spawned = Actor::spawn(name(ServiceName::Peers), PeersService, arguments).await;
        services.push(spawned.context(SpawnSnafu { service: "peers" })?.0.get_cell());

        let store = ConnectionStore::default();
        let arguments = UpstreamsArguments {
            host: host.clone(),
            clock,
            store: store.clone(),
            cancel: cancel.clone(),
        };
        let spawned = Actor::spawn(name(ServiceName::Upstreams), UpstreamsService, arguments).await;
        services.push(spawned.context(SpawnSnafu { service: "upstreams" })?.0.get_cell());

        let tasks = TaskTracker::new();
        tokio::spawn(tick(host.clone(), cancel.clone()));
        let context = OperatorContext {
            host: host.clone(),
            closing: unhealthy.clone(),
            draining: draining.subscribe(),
            metrics,
        };
        let routes = operator_routes(context);
        let stopped = cancel.clone();
        tokio::spawn(async move {
            let serving = axum::serve(operators, routes);
            let _ = serving.with_graceful_shutdown(stopped.cancelled_owned()).await;
        });
        let kept_host = host.clone();
        let listener = CallerListener {
            listener: callers,
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
        tokio::spawn(listener.run());
        log::info!(target: "kernel", "Host {me} accepts callers at {callers_address}.");
        Ok(Self {
            callers: callers_address,
            host: kept_host,
            services,
            tasks,
            closing,
            unhealthy,
            cancel,
        })
    }

    /// Where callers are accepted.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Stops gracefully: the balancer is told first, idle callers are let go,
    /// requests and transactions under way finish.
    pub async fn shut_down(self) {
        log::info!(target: "kernel", "The daemon shuts down.");
        self.unhealthy.cancel();
        let _ = self.host.send_message(HostMessage::Event(HostEvent::Leaving));
        tokio::time::sleep(HEALTH_NOTICE).await;
        self.closing.cancel();
        self.tasks.close();
        if tokio::time::timeout(DRAIN_TIMEOUT, self.tasks.wait()).await.is_err() {
            log::warn!(target: "kernel", "Some callers did not finish in time.");
        }
        self.kill();
    }

    /// Stops at once, as a crash would.
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

async fn tick(host: ActorRef<HostMessage>, cancel: CancellationToken) {
    let mut interval = tokio::time::interval(TICK);
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
