use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// One start of a database; a restart under the same id has another key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceKey {
    /// Id that the database chose for itself.
    pub id: Arc<str>,
    /// Time of the start, in milliseconds since 1970 on the database's clock.
    pub born_ms: u64,
}

impl fmt::Display for InstanceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.born_ms)
    }
}

/// Role of a database in its own view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceRole {
    /// It accepts writes.
    Primary,
    /// It applies a primary's log.
    Replica,
}

/// Latest announcement of a database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Id and start of the database.
    pub key: InstanceKey,
    /// Grows with each announcement of one start.
    pub sequence: u64,
    /// Service it belongs to.
    pub service: Arc<str>,
    /// Address at which it is reached.
    pub address: SocketAddr,
    /// Data centre of the database.
    pub data_centre: Arc<str>,
    /// Number of statements that it runs concurrently.
    pub slots: u32,
    /// True if it is about to leave and gets no new requests.
    pub draining: bool,
    /// Role in its own view.
    pub role: InstanceRole,
    /// Remaining time for which it is slow after its start.
    pub warm_up: Duration,
}

impl InstanceRecord {
    /// True if both are equal apart from the sequence number. Data centre and
    /// warm-up time are not compared.
    pub fn equals_ignoring_sequence(&self, other: &Self) -> bool {
        self.key == other.key
            && self.service == other.service
            && self.address == other.address
            && self.slots == other.slots
            && self.draining == other.draining
            && self.role == other.role
    }
}

/// A database that announced its departure or expired.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceDeparture {
    /// Id of the database.
    pub id: Arc<str>,
    /// Time of its start; `None` means the start that is known.
    pub born_ms: Option<u64>,
}
