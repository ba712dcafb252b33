use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::upstreams::Fault;

/// A kind of fault that is injected into a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process is killed; connections are closed.
    Killed,
    /// The process is suspended.
    Frozen,
    /// The primary is partitioned from hosts and replicas.
    Partitioned,
    /// The process is suspended for 200 ms, which must not cause a failover.
    Paused,
}

impl FaultKind {
    /// All kinds, in the order in which a round injects them.
    pub const ALL: [Self; 4] = [Self::Killed, Self::Frozen, Self::Partitioned, Self::Paused];

    /// The fault to set on the stand-in database.
    pub(super) fn injected_fault(self) -> Fault {
        match self {
            Self::Killed => Fault::Stopped,
            Self::Frozen | Self::Paused => Fault::Frozen,
            Self::Partitioned => Fault::Isolated,
        }
    }

    /// Time from the injection until the fault is cleared.
    pub(super) fn duration(self) -> Duration {
        match self {
            Self::Paused => Duration::from_millis(200),
            _ => Duration::from_millis(2_500),
        }
    }
}
