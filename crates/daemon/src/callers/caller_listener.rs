use std::{
    collections::HashSet,
    sync::{Arc, Mutex, PoisonError},
};

use hawthornstack_decisions::{identity::GroupName, sessions::TokenKey};
use ractor::ActorRef;
use tokio::net::TcpListener;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{CancelRegistry, ForwardStore, caller_session::CallerSession};
use crate::{
    host::{HostMessage, RequestNumbers},
    kernel::HostClock,
    upstreams::ConnectionStore,
};

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
    /// Cancelled when idle callers are to leave.
    pub closing: CancellationToken,
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
