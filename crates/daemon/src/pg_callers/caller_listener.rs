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

/// Time for which idle callers may stay once callers are to leave.
const IDLE_GRACE: Duration = Duration::from_secs(3);

/// Groups in which this daemon has seen the table of keyed requests.
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

/// What every caller's task shares.
#[derive(Clone)]
pub struct CallerContext {
    /// The host's decisions.
    pub host: ActorRef<HostMessage>,
    /// The host's clock.
    pub clock: HostClock,
    /// Idle connections to databases.
    pub store: ConnectionStore,
    /// Numbers of requests.
    pub numbers: RequestNumbers,
    /// Callers that can be cancelled.
    pub cancels: CancelRegistry,
    /// Idle connections to homes.
    pub forwards: ForwardStore,
    /// Groups whose table of keyed requests is known to exist.
    pub keyed_groups: KeyedGroups,
    /// Key of session tokens.
    pub token_key: TokenKey,
    /// Cancelled when idle callers are to leave for good.
    pub closing: CancellationToken,
    /// True while an operator drains this host.
    pub draining: watch::Receiver<bool>,
}

impl CallerContext {
    /// True if callers are to leave.
    pub(super) fn is_leaving(&self) -> bool {
        self.closing.is_cancelled() || *self.draining.borrow()
    }

    /// Waits until callers that stayed idle are to be let go.
    pub(super) async fn idle_end(&self) {
        self.leaving().await;
        sleep(IDLE_GRACE).await;
    }

    async fn leaving(&self) {
        let mut draining = self.draining.clone();
        tokio::select! {
            () = self.closing.cancelled() => {}
            Ok(_) = draining.wait_for(|draining| *draining) => {}
        }
    }
}

/// Accepts callers.
pub struct CallerListener {
    /// The open port.
    pub listener: TcpListener,
    /// What callers' tasks share.
    pub context: CallerContext,
    /// Counts callers' tasks.
    pub tasks: TaskTracker,
    /// Ends accepting, and every caller's task at once.
    pub cancel: CancellationToken,
}

impl CallerListener {
    /// Accepts callers until cancelled or closing.
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
