use std::time::Duration;

use serde::{Deserialize, Serialize};

/// An operation of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationKind {
    /// Adds the entry with this number to the session's own ledger.
    Append {
        /// Number within the session, from 1.
        number: u64,
    },
    /// Adds one to a shared counter, without a unique key that would make a second
    /// run fail.
    Increment,
    /// Claims an item for the session if nobody holds it.
    Claim {
        /// Number of the item.
        item: u64,
    },
    /// Reads the session's highest ledger entry and a nonce.
    Read {
        /// Maximum staleness that the read accepts; `None` for a read that must see
        /// the session's own writes.
        max_age: Option<Duration>,
        /// Value that the response must repeat.
        nonce: u64,
    },
}

/// Result of an operation, as returned to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationResult {
    /// An append or increment ran.
    Written,
    /// A claim ran; true if the session won the item.
    Claimed(bool),
    /// A read ran.
    Found {
        /// Highest ledger entry of the session, 0 if none.
        number: u64,
        /// Nonce in the response.
        nonce: u64,
    },
    /// The request was refused and did not run.
    DidNotRun,
    /// The request failed and may have run.
    Unknown,
}

/// One operation of a history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOperation {
    /// Number of the session.
    pub session: u32,
    /// Index of the group within the run.
    pub group: usize,
    /// The operation that was requested.
    pub kind: OperationKind,
    /// Time of the request since the start of the run.
    pub sent_at: Duration,
    /// Time of the response since the start of the run.
    pub answered_at: Duration,
    /// Result that the caller got.
    pub result: OperationResult,
}
