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

/// Limit on idle connections to all gateways together.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Time after a failure for which a gateway is tried last.
const FAILURE_BACKOFF: Duration = Duration::from_secs(2);

type GatewayKey = (HostId, GroupName);

#[derive(Debug, Default)]
struct StoreState {
    idle: HashMap<GatewayKey, Vec<UpstreamConnection>>,
    count: usize,
    failed_at: HashMap<HostId, Instant>,
}

/// Idle connections to gateways, and when each gateway last failed.
#[derive(Debug, Clone, Default)]
pub struct ForwardStore {
    state: Arc<Mutex<StoreState>>,
}

impl ForwardStore {
    fn with_state<T>(&self, access: impl FnOnce(&mut StoreState) -> T) -> T {
        access(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Moves gateways that failed within the last `FAILURE_BACKOFF` to the end.
    pub(super) fn move_failed_last(&self, gateways: &mut [GatewayAddress]) {
        self.with_state(|state| {
            gateways.sort_by_key(|gateway| {
                let failed_at = state.failed_at.get(&gateway.host);
                failed_at.is_some_and(|at| at.elapsed() < FAILURE_BACKOFF)
            });
        });
    }

    pub(super) fn record_failure(&self, gateway: HostId) {
        self.with_state(|state| state.failed_at.insert(gateway, Instant::now()));
    }

    pub(super) async fn check_out(
        &self,
        gateway: &GatewayAddress,
        group: &GroupName,
    ) -> Result<UpstreamConnection, UpstreamError> {
        let key = (gateway.host, group.clone());
        while let Some(connection) = self.pop(&key) {
            if connection.is_open_and_idle() {
                return Ok(connection);
            }
        }
        UpstreamConnection::open_forward(gateway.address, group.as_str()).await
    }

    fn pop(&self, key: &GatewayKey) -> Option<UpstreamConnection> {
        self.with_state(|state| {
            let connection = state.idle.get_mut(key)?.pop()?;
            state.count -= 1;
            Some(connection)
        })
    }

    pub(super) fn check_in(
        &self,
        gateway: HostId,
        group: &GroupName,
        connection: UpstreamConnection,
    ) {
        self.with_state(|state| {
            if state.count < MAX_IDLE_CONNECTIONS && !connection.has_too_many_statements() {
                state.count += 1;
                state.idle.entry((gateway, group.clone())).or_default().push(connection);
            }
        });
    }
}
