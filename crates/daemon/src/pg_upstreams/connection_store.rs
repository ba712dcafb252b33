use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use hawthornstack_decisions::identity::{DatabaseName, GroupName};

use super::{UpstreamConnection, UpstreamError};

type IdleConnections = HashMap<DatabaseName, Vec<UpstreamConnection>>;

/// Idle connections of one daemon, by database. The store has no limit of its
/// own: the host's decisions grant the use of every connection, and so bound
/// how many exist at a time.
#[derive(Debug, Clone, Default)]
pub struct ConnectionStore {
    idle: Arc<Mutex<IdleConnections>>,
}

impl ConnectionStore {
    /// Returns an idle connection to a database, or opens a new one.
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
            if connection.is_open_and_idle() {
                return Ok(connection);
            }
        }
        UpstreamConnection::open(address, group.as_str()).await
    }

    /// Returns a connection to the store. Its last answer must have been read
    /// completely and its transaction must have ended. A connection with too
    /// many prepared statements is closed instead.
    pub fn check_in(&self, database: &DatabaseName, connection: UpstreamConnection) {
        if connection.has_too_many_statements() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(database.clone()).or_default().push(connection);
    }

    /// Closes the idle connections to a database.
    pub fn close_idle(&self, database: &DatabaseName) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(database);
    }

    fn pop(&self, database: &DatabaseName) -> Option<UpstreamConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(database)?.pop()
    }
}
