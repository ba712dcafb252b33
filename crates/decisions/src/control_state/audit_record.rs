use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::PlannedChange;
use crate::outcomes::ResultCode;

/// One accepted or refused confirmation of a plan, or one replacement of the
/// routes. Each record is chained by hash to the previous one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Position in the trail, starting at 1.
    pub sequence: u64,
    /// Wall-clock time at the host that received the request, in milliseconds
    /// since 1970.
    pub at_unix_ms: u64,
    /// Operator who confirmed; `platform` if the request carries no name.
    pub operator: Arc<str>,
    /// Id of the confirmed plan, or `routes-VERSION`.
    pub plan: Arc<str>,
    /// Changes that were applied; empty if refused.
    pub changes: Vec<PlannedChange>,
    /// Result of the request.
    pub result: ResultCode,
    /// Hash of this record and of the previous record's hash, in hexadecimal.
    pub chain: Arc<str>,
}

impl AuditRecord {
    /// Sets the chain hash. `previous` is the hash of the previous record, or
    /// empty for the first one.
    pub(super) fn set_chain_hash(mut self, previous: &str) -> Self {
        self.chain = self.chain_hash(previous);
        self
    }

    fn chain_hash(&self, previous: &str) -> Arc<str> {
        let text = format!(
            "{previous}|{}|{}|{}|{}|{:?}|{}",
            self.sequence,
            self.at_unix_ms,
            self.operator,
            self.plan,
            self.changes,
            self.result.number()
        );
        Arc::from(blake3::hash(text.as_bytes()).to_hex().as_str())
    }
}

/// Returns the sequence number of the first record whose hash does not follow
/// from the previous record, or `None` if the trail is intact.
///
/// A long trail no longer has its oldest records. Its first remaining record
/// follows from a removed one and is not verified.
pub fn verify_chain(records: &[AuditRecord]) -> Option<u64> {
    let (mut previous, records): (Arc<str>, _) = match records {
        [first, rest @ ..] if first.sequence > 1 => (first.chain.clone(), rest),
        _ => (Arc::from(""), records),
    };
    for record in records {
        if record.chain != record.chain_hash(&previous) {
            return Some(record.sequence);
        }
        previous = record.chain.clone();
    }
    None
}
