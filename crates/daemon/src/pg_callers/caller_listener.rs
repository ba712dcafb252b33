use std::{
    collections::HashSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use hawthornstack_decisions::{identity::GroupName, sessions::TokenKey};
use ractor::ActorRef;
use tokio::{net::TcpListener, sync::watch, time::sleep};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{CancelRegistry, ForwardStore, caller_session::CallerSession};
use crate::{
    kernel::HostClock,
    pg_host::{HostMessage, RequestNumbers},
    pg_upstreams::ConnectionStore,
};

/// Time for which idle callers stay connected once shutdown or draining begins.
const IDLE_GRACE: Duration = Duration::from_secs(3);

/// Groups whose table of keyed requests is known to exist.
#[derive(Debug, Clone, Default)]
pub struct KeyedGroups(Arc<Mutex<HashSet<GroupName>>>);

impl KeyedGroups {
    pub(super) fn contains(&self, group: &GroupName) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).contains(group)
    }

    pub(super) fn insert(&self, group: &GroupName) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(group.clone());
    }
}

/// State shared by the tasks that serve callers.
#[derive(Clone)]
pub struct CallerContext {
    /// Actor that holds the host's decisions.
    pub host: ActorRef<HostMessage>,
    /// Clock for the deadlines of requests.
    pub clock: HostClock,
    /// Idle connections to databases.
    pub store: ConnectionStore,
    /// Numbers requests.
    pub numbers: RequestNumbers,
    /// Callers whose requests can be cancelled.
    pub cancels: CancelRegistry,
    /// Idle connections to gateway hosts.
    pub forwards: ForwardStore,
    /// Groups in which the table of keyed requests need not be created.
    pub keyed_groups: KeyedGroups,
    /// Key that signs session tokens.
    pub token_key: TokenKey,
    /// Cancelled at shutdown: no caller is accepted any more, and idle callers
    /// are disconnected.
    pub closing: CancellationToken,
    /// True while an operator drains this host.
    pub draining: watch::Receiver<bool>,
}

impl CallerContext {
    /// True if callers outside a transaction are to be disconnected.
    pub(super) fn is_closing_or_draining(&self) -> bool {
        self.closing.is_cancelled() || *self.draining.borrow()
    }

    /// Waits until idle callers are to be disconnected: `IDLE_GRACE` after
    /// shutdown or draining begins.
    pub(super) async fn wait_idle_grace(&self) {
        self.wait_for_closing_or_draining().await;
        sleep(IDLE_GRACE).await;
    }

    async fn wait_for_closing_or_draining(&self) {
        let mut draining = self.draining.clone();
        tokio::select! {
            () = self.closing.cancelled() => {}
            Ok(_) = draining.wait_for(|draining| *draining) => {}
        }
    }
}

/// Accepts callers and serves each one in its own task.
pub struct CallerListener {
    /// Socket bound to the port for callers.
    pub listener: TcpListener,
    /// State shared by the tasks that serve callers.
    pub context: CallerContext,
    /// Tracks the tasks that serve callers.
    pub tasks: TaskTracker,
    /// Stops the listener and all tasks that serve callers at once.
    pub cancel: CancellationToken,
}

impl CallerListener {
    /// Accepts callers until cancelled or until shutdown begins.
    pub async fn run(self) {
        let context = Arc::new(self.context);
        loop {
            let accepted = tokio::select! {
                () = self.cancel.cancelled() => return,
                () = context.closing.cancelled() => return,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            let context = context.clone();
            let cancel = self.cancel.clone();
            self.tasks.spawn(async move {
                tokio::select! {
                    () = cancel.cancelled() => {}
                    () = CallerSession::serve(stream, context) => {}
                }
            });
        }
    }
}
