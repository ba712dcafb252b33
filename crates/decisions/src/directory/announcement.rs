use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::DatabaseRole;
use crate::identity::{DataCentre, DatabaseName, GroupName};

/// Description of an upstream, which it sends to any host about once a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Unique name of the database.
    pub database: DatabaseName,
    /// The group it replicates in.
    pub group: GroupName,
    /// Address on which it accepts PostgreSQL connections.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Connections that it accepts, over all clients.
    pub connections: u32,
    /// Statements that it runs concurrently.
    pub slots: u32,
    /// Its current role.
    pub role: DatabaseRole,
    /// Its current term.
    pub term: u64,
    /// True if it is about to leave and must get no new requests.
    pub leaving: bool,
}
