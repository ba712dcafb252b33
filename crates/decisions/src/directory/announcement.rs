use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::DatabaseRole;
use crate::identity::{DataCentre, DatabaseName, GroupName};

/// What an upstream says of itself, about once a second, to any daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Unique name of the database.
    pub database: DatabaseName,
    /// The group it replicates in.
    pub group: GroupName,
    /// Where it accepts PostgreSQL connections.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: DataCentre,
    /// Connections it accepts, over all clients.
    pub connections: u32,
    /// Statements it runs at a time.
    pub slots: u32,
    /// Its role now.
    pub role: DatabaseRole,
    /// Its term now.
    pub term: u64,
    /// It is about to leave and wants no new work.
    pub leaving: bool,
}
