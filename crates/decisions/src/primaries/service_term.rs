use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::instances::{InstanceKey, InstanceRecord};

/// Phase of a service's term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TermPhase {
    /// The primary serves requests.
    Steady,
    /// No host may use the primary; a successor is being selected.
    Fencing {
        /// The change is planned, as the primary drains and is still reachable;
        /// false after a failure.
        planned: bool,
    },
    /// The successor is chosen and is being promoted.
    Promoting {
        /// The successor.
        chosen: InstanceKey,
    },
}

/// A database of a service that is gone, and that may have held an acknowledged commit
/// which no remaining replica has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostDatabase {
    /// The database.
    pub key: InstanceKey,
    /// Its address. Its log is transferred to a database that starts there.
    pub address: SocketAddr,
}

impl LostDatabase {
    /// True if the record is of a later start of the database, or of the one that takes its
    /// address.
    pub fn is_replaced_by(&self, record: &InstanceRecord) -> bool {
        let is_same = self.key.id == record.key.id || self.address == record.address;
        is_same && self.key != record.key
    }
}

/// Committed primary of a service. The control hosts count its terms
/// themselves, independently of the terms that databases count.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTerm {
    /// The service.
    pub service: Arc<str>,
    /// Number of the term, which grows with each change of primary.
    pub number: u64,
    /// Index of the control log at which the current phase began.
    pub since_index: u64,
    /// The primary of this term.
    pub primary: InstanceKey,
    /// Current phase of the term.
    pub phase: TermPhase,
    /// The primary, and a successor that is being promoted, lead a higher term than
    /// this, as databases count them. 0 if that is not known.
    #[serde(default)]
    pub above_term: u64,
    /// Databases that were lost during this term, where commits are acknowledged once
    /// replicas have them; older builds do not keep them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lost_databases: Vec<LostDatabase>,
    /// The database that took over the log of the primary, which is gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub log_successor: Option<InstanceKey>,
}

impl ServiceTerm {
    /// A steady term that begins at this index of the control log.
    pub fn new(service: Arc<str>, number: u64, since_index: u64, primary: InstanceKey) -> Self {
        Self {
            service,
            number,
            since_index,
            primary,
            phase: TermPhase::Steady,
            above_term: 0,
            lost_databases: Vec::new(),
            log_successor: None,
        }
    }

    /// True if requests may be sent to the primary.
    pub fn is_steady(&self) -> bool {
        self.phase == TermPhase::Steady
    }

    /// True if answers to requests sent in term `number` may still be returned.
    pub fn accepts_answers(&self, number: u64) -> bool {
        let serving =
            matches!(self.phase, TermPhase::Steady | TermPhase::Fencing { planned: true });
        self.number == number && serving
    }
}
