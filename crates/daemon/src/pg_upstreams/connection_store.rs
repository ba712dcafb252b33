use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use hawthornstack_decisions::identity::{DatabaseName, GroupName};

use super::{UpstreamConnection, UpstreamError};

type IdleConnections = HashMap<DatabaseName, Vec<UpstreamConnection>>;

/// Idle connections of one daemon, by database. How many exist at a time is
/// bounded by the host's decisions, which hand out the right to use one.
#[derive(Debug, Clone, Default)]
pub struct ConnectionStore {
    idle: Arc<Mutex<IdleConnections>>,
}

impl ConnectionStore {
    /// An idle connection, or a new one.
    ///
    /// # Errors
    /// `UpstreamError` if a new one cannot be opened.
    pub async fn check_out(
        &self,
        database: &DatabaseName,
        address: SocketAddr,
        group: &GroupName,
    ) -> Result<UpstreamConnection, UpstreamError> {
        while let Some(connection) = self.pop(database) {
            if connection.is_quiet() {
                return Ok(connection);
            }
        }
        UpstreamConnection::open(address, group.as_str()).await
    }

    /// Gives a connection back whose last answer was whole and whose
    /// transaction is over.
    pub fn check_in(&self, database: &DatabaseName, connection: UpstreamConnection) {
        if connection.is_worn() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(database.clone()).or_default().push(connection);
    }

    /// Closes the idle connections to a database.
    pub fn close(&self, database: &DatabaseName) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(database);
    }

    fn pop(&self, database: &DatabaseName) -> Option<UpstreamConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(database)?.pop()
    }
}
