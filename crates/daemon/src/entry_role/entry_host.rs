use std::{io, rc::Rc, time::Duration};

use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{
    EntrySettings,
    control_links::ControlLinks,
    entry_shared::{EntryShared, ShutdownStage},
    forward_task::serve_forwards,
    session_task::serve_caller,
};
use crate::{
    edges::{CallerProtocol, UpstreamProtocol},
    links::{accept_connections, bind_listener, host_address},
    metrics::HostMetrics,
};

/// Time until no new callers are sent to a host that reports not ready: two
/// readiness probes of one second each, and one already under way.
const LEAVING_TIME: Duration = Duration::from_millis(2_300);
/// Part of the grace period that is reserved for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(800);
/// Interval between checks for open sessions during shutdown.
const CLOSING_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running entry host. Its tasks run on the current thread's `LocalSet`.
pub struct EntryHost {
    shared: Rc<EntryShared>,
}

impl EntryHost {
    /// Starts listening for callers and other entry hosts, and connects to the
    /// control hosts.
    ///
    /// # Errors
    /// The error of the operating system if one of the two listeners cannot be
    /// bound.
    pub fn start(
        settings: EntrySettings,
        callers: Box<dyn CallerProtocol>,
        upstreams: Box<dyn UpstreamProtocol>,
        metrics: HostMetrics,
    ) -> io::Result<Self> {
        let listener = bind_listener(settings.callers)?;
        let forwards = bind_listener(host_address(settings.host, settings.forward_port))?;
        let (reports, received) = mpsc::unbounded_channel();
        let cancel = CancellationToken::new();
        let shared =
            Rc::new(EntryShared::new(settings, callers, upstreams, reports, metrics, cancel));
        let links = ControlLinks::run(shared.clone(), received);
        spawn_until_cancelled(&shared, links);
        let callers = shared.clone();
        let accepting = accept_connections(listener, "caller", move |stream| {
            callers.tasks.spawn_local(serve_caller(callers.clone(), stream));
        });
        spawn_until_cancelled(&shared, accepting);
        let hosts = shared.clone();
        let accepting = accept_connections(forwards, "entry host", move |stream| {
            hosts.tasks.spawn_local(serve_forwards(hosts.clone(), stream));
        });
        spawn_until_cancelled(&shared, accepting);
        Ok(Self { shared })
    }

    /// True if the host is not shutting down, has a configuration and holds a
    /// lease, so that new callers may be sent to it.
    pub fn is_ready(&self) -> bool {
        let view = self.shared.view.borrow();
        self.shared.stage.get() == ShutdownStage::Serving
            && view.routes().is_some()
            && view.has_lease(self.shared.now())
    }

    /// Reports not ready, then closes sessions between statements: those without
    /// a transaction first, all of them after half of the grace period. Returns
    /// when no session is open or the grace period is nearly over.
    pub async fn shut_down(&self) {
        let began = Instant::now();
        let grace = self.shared.settings.grace;
        let end = began + grace.saturating_sub(EXIT_MARGIN);
        self.enter_stage(ShutdownStage::Leaving);
        sleep(LEAVING_TIME.min(grace / 2)).await;
        self.enter_stage(ShutdownStage::ClosingIdle);
        let all_at = began + grace / 2;
        self.wait_for_sessions(all_at).await;
        self.enter_stage(ShutdownStage::ClosingAll);
        self.wait_for_sessions(end).await;
        self.shared.cancel.cancel();
        self.shared.tasks.close();
        let _ = timeout(CLOSING_POLL_INTERVAL, self.shared.tasks.wait()).await;
    }

    /// Waits until all sessions are closed, at the latest until `until`.
    async fn wait_for_sessions(&self, until: Instant) {
        while self.shared.sessions.get() > 0 && Instant::now() < until {
            sleep_until(until.min(Instant::now() + CLOSING_POLL_INTERVAL)).await;
        }
    }

    fn enter_stage(&self, stage: ShutdownStage) {
        tracing::info!(
            target: "entry",
            ?stage,
            sessions = self.shared.sessions.get(),
            "entering shutdown stage"
        );
        self.shared.stage.set(stage);
        self.shared.changed.notify_waiters();
    }
}

/// Spawns a task that is dropped when the host stops.
fn spawn_until_cancelled(shared: &EntryShared, task: impl Future<Output = ()> + 'static) {
    let cancel = shared.cancel.clone();
    shared.tasks.spawn_local(async move {
        // The task returns nothing, whether it finished or was cancelled.
        let _ = cancel.run_until_cancelled(task).await;
    });
}
