use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::PlannedChange;
use crate::outcomes::ResultCode;

/// One accepted or refused confirmation, chained to the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Place in the trail, from 1.
    pub sequence: u64,
    /// Wall-clock time at the host that took the request, in milliseconds
    /// since 1970.
    pub at_unix_ms: u64,
    /// Who confirmed.
    pub operator: Arc<str>,
    /// The plan that was confirmed.
    pub plan: Arc<str>,
    /// What changed; empty if refused.
    pub changes: Vec<PlannedChange>,
    /// How it ended.
    pub result: ResultCode,
    /// Hash of this record and the hash before it, in hexadecimal.
    pub chain: Arc<str>,
}

impl AuditRecord {
    /// Sets the chain hash from the record before; the first record follows
    /// the empty text.
    pub(super) fn seal(mut self, previous: &str) -> Self {
        self.chain = self.chain_after(previous);
        self
    }

    fn chain_after(&self, previous: &str) -> Arc<str> {
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

/// Sequence of the first record that does not follow from the one before it,
/// or `None` if the trail is whole. The oldest records of a long trail are not
/// kept; the first of the others then follows from one that cannot be seen.
pub fn verify_chain(records: &[AuditRecord]) -> Option<u64> {
    let (mut previous, records): (Arc<str>, _) = match records {
        [first, rest @ ..] if first.sequence > 1 => (first.chain.clone(), rest),
        _ => (Arc::from(""), records),
    };
    for record in records {
        if record.chain != record.chain_after(&previous) {
            return Some(record.sequence);
        }
        previous = record.chain.clone();
    }
    None
}
