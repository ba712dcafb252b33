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

/// Time after which no new callers come to a host that says it is not ready:
/// two readiness probes of a second each, and one on its way.
const LEAVING_TIME: Duration = Duration::from_millis(2_300);
/// Time at the end of the grace period that is left for the process to end.
const EXIT_MARGIN: Duration = Duration::from_millis(800);
/// Time between two looks at what is still open while the host stops.
const CLOSING_INTERVAL: Duration = Duration::from_millis(50);

/// A running entry host. Its tasks live on the current thread's local set.
pub struct EntryHost {
    shared: Rc<EntryShared>,
}

impl EntryHost {
    /// Listens for callers and looks for control.
    ///
    /// # Errors
    /// The system's error if the callers' address cannot be listened on.
    pub fn start(
        settings: EntrySettings,
        callers: Box<dyn CallerProtocol>,
        upstreams: Box<dyn UpstreamProtocol>,
        metrics: HostMetrics,
    ) -> io::Result<Self> {
        let listener = bind_listener(settings.callers)?;
        let forwards = bind_listener(host_address(settings.me, settings.forward_port))?;
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

    /// True if callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let view = self.shared.view.borrow();
        self.shared.stage.get() == ShutdownStage::Serving
            && view.routes_version() > 0
            && view.has_lease(self.shared.now())
    }

    /// Serves on without new callers, closes sessions between statements, and
    /// returns when nothing is open or the grace period is nearly over.
    pub async fn shut_down(&self) {
        let began = Instant::now();
        let grace = self.shared.settings.grace;
        let end = began + grace.saturating_sub(EXIT_MARGIN);
        self.enter(ShutdownStage::Leaving);
        sleep(LEAVING_TIME.min(grace / 2)).await;
        self.enter(ShutdownStage::ClosingIdle);
        let all_at = began + grace / 2;
        self.wait_until(all_at).await;
        self.enter(ShutdownStage::ClosingAll);
        self.wait_until(end).await;
        self.shared.cancel.cancel();
        self.shared.tasks.close();
        let _ = timeout(CLOSING_INTERVAL, self.shared.tasks.wait()).await;
    }

    async fn wait_until(&self, until: Instant) {
        while self.shared.sessions.get() > 0 && Instant::now() < until {
            sleep_until(until.min(Instant::now() + CLOSING_INTERVAL)).await;
        }
    }

    fn enter(&self, stage: ShutdownStage) {
        tracing::info!(target: "entry", ?stage, sessions = self.shared.sessions.get(), "stopping");
        self.shared.stage.set(stage);
        self.shared.changed.notify_waiters();
    }
}

/// Runs a task until the host stops.
fn spawn_until_cancelled(shared: &EntryShared, task: impl Future<Output = ()> + 'static) {
    let cancel = shared.cancel.clone();
    shared.tasks.spawn_local(async move {
        // Cancelled or done, nothing is left to say.
        let _ = cancel.run_until_cancelled(task).await;
    });
}
