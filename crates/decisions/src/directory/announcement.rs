use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::DatabaseRole;
use crate::identity::{DataCentre, DatabaseName, GroupName, is_exact_number, is_reachable_address};

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

impl Announcement {
    /// True if it names a database that can be used. Announcements of other writers may hold
    /// anything.
    pub fn is_valid(&self) -> bool {
        is_reachable_address(self.address)
            && self.connections > 0
            && self.slots > 0
            && is_exact_number(self.term)
    }
}
