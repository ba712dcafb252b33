use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::identity::{is_exact_number, is_reachable_address};

/// Longest id, service or data centre of a database, in bytes.
const MAX_WORD_BYTES: usize = 255;
/// Most by which the clock of a database may be ahead, in milliseconds: one day. A start later
/// than that would take addresses from databases for good.
const MAX_CLOCK_LEAD_MS: u64 = 24 * 60 * 60 * 1_000;

/// One start of a database; a restart under the same id has another key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceKey {
    /// Id that the database chose for itself.
    pub id: Arc<str>,
    /// Time of the start, in milliseconds since 1970 on the database's clock.
    pub born_ms: u64,
}

impl InstanceKey {
    /// True if the start may have been at or before `now_unix_ms`, in milliseconds since 1970.
    pub fn has_started(&self, now_unix_ms: u64) -> bool {
        self.born_ms <= now_unix_ms.saturating_add(MAX_CLOCK_LEAD_MS)
    }
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
    /// True if the record names a database that can be used. Announcements of other writers
    /// may hold anything.
    pub fn is_valid(&self) -> bool {
        let words = [&self.key.id, &self.service, &self.data_centre];
        words.into_iter().all(|word| is_word(word))
            && is_reachable_address(self.address)
            && self.slots > 0
            && is_exact_number(self.sequence.max(self.key.born_ms))
    }

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

impl InstanceDeparture {
    /// The start that left, if it is named.
    pub fn key(&self) -> Option<InstanceKey> {
        let born_ms = self.born_ms?;
        Some(InstanceKey { id: self.id.clone(), born_ms })
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

/// True if the text can be one field of a line that is sent to a database.
fn is_word(text: &str) -> bool {
    let is_separator = |character: char| character.is_whitespace() || character.is_control();
    !text.is_empty() && text.len() <= MAX_WORD_BYTES && !text.contains(is_separator)
}
