use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a caller did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationKind {
    /// Adds the entry with this number to the session's own ledger.
    Append {
        /// Number within the session, from 1.
        number: u64,
    },
    /// Adds one to a shared counter that is not guarded by any key.
    Increment,
    /// Claims an item for the session if nobody holds it.
    Claim {
        /// The item.
        item: u64,
    },
    /// Reads the session's highest ledger entry and a nonce.
    Read {
        /// The age that the read accepts; `None` for a session read.
        max_age: Option<Duration>,
        /// Value that must come back with the answer.
        nonce: u64,
    },
}

/// What a caller was told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationResult {
    /// A write ran.
    Written,
    /// A claim ran; it won the item or not.
    Claimed(bool),
    /// A read ran.
    Found {
        /// The highest entry, 0 if none.
        number: u64,
        /// The nonce in the answer.
        nonce: u64,
    },
    /// The request did not run.
    DidNotRun,
    /// The request may have run.
    Unknown,
}

/// One operation of a history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOperation {
    /// The session.
    pub session: u32,
    /// The group, by its place in the run.
    pub group: usize,
    /// What was done.
    pub kind: OperationKind,
    /// When it was sent, from the start of the run.
    pub sent_at: Duration,
    /// When its answer came, from the start of the run.
    pub answered_at: Duration,
    /// What was answered.
    pub result: OperationResult,
}
