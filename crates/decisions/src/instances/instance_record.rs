use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// One start of a database: a database that starts again under its id is
/// another one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceKey {
    /// Id that the database gave itself.
    pub id: Arc<str>,
    /// When it started, in milliseconds since 1970 on its own clock.
    pub born_ms: u64,
}

impl fmt::Display for InstanceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.born_ms)
    }
}

/// How a database sees itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceRole {
    /// It accepts writes.
    Primary,
    /// It applies a primary's log.
    Replica,
}

/// What a database last said of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Which start of which database.
    pub key: InstanceKey,
    /// Grows with each announcement of one start.
    pub sequence: u64,
    /// Service it belongs to.
    pub service: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: Arc<str>,
    /// Statements that it runs at a time.
    pub slots: u32,
    /// It is about to leave and gets no new work.
    pub draining: bool,
    /// How it sees itself.
    pub role: InstanceRole,
    /// How much longer it stays slow after its start.
    pub warm_up: Duration,
}

impl InstanceRecord {
    /// True if both are equal apart from the sequence number of the announcement.
    pub fn equals_ignoring_sequence(&self, other: &Self) -> bool {
        self.key == other.key
            && self.service == other.service
            && self.address == other.address
            && self.slots == other.slots
            && self.draining == other.draining
            && self.role == other.role
    }
}

/// A database that said it is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceDeparture {
    /// Id of the database.
    pub id: Arc<str>,
    /// Its start; `None` means whichever is known.
    pub born_ms: Option<u64>,
}
