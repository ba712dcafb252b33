use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use hawthornstack_decisions::{
    identity::{GroupName, HostId},
    pg_host::GatewayAddress,
};
use tokio::time::Instant;

use crate::pg_upstreams::{UpstreamConnection, UpstreamError};

/// Idle connections kept to all homes together.
const MAX_IDLE: usize = 256;
/// Time for which a home that failed is asked last.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);

type HomeKey = (HostId, GroupName);

#[derive(Debug, Default)]
struct ForwardState {
    idle: HashMap<HomeKey, Vec<UpstreamConnection>>,
    count: usize,
    failed_at: HashMap<HostId, Instant>,
}

/// Idle connections to homes, and which homes failed a moment ago.
#[derive(Debug, Clone, Default)]
pub struct ForwardStore {
    state: Arc<Mutex<ForwardState>>,
}

impl ForwardStore {
    fn with<T>(&self, use_state: impl FnOnce(&mut ForwardState) -> T) -> T {
        use_state(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts homes that failed a moment ago last.
    pub(super) fn order(&self, homes: &mut [GatewayAddress]) {
        self.with(|state| {
            homes.sort_by_key(|home| {
                let failed_at = state.failed_at.get(&home.host);
                failed_at.is_some_and(|at| at.elapsed() < FAILURE_MEMORY)
            });
        });
    }

    pub(super) fn note_failure(&self, home: HostId) {
        self.with(|state| state.failed_at.insert(home, Instant::now()));
    }

    pub(super) async fn check_out(
        &self,
        home: &GatewayAddress,
        group: &GroupName,
    ) -> Result<UpstreamConnection, UpstreamError> {
        let key = (home.host, group.clone());
        while let Some(connection) = self.pop(&key) {
            if connection.is_open_and_idle() {
                return Ok(connection);
            }
        }
        UpstreamConnection::open_forward(home.address, group.as_str()).await
    }

    fn pop(&self, key: &HomeKey) -> Option<UpstreamConnection> {
        self.with(|state| {
            let connection = state.idle.get_mut(key)?.pop()?;
            state.count -= 1;
            Some(connection)
        })
    }

    pub(super) fn check_in(&self, home: HostId, group: &GroupName, connection: UpstreamConnection) {
        self.with(|state| {
            if state.count < MAX_IDLE && !connection.has_too_many_statements() {
                state.count += 1;
                state.idle.entry((home, group.clone())).or_default().push(connection);
            }
        });
    }
}
