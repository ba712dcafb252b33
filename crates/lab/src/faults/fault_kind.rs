use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::upstreams::Fault;

/// A fault of a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process is gone; connections break.
    Killed,
    /// The process does nothing.
    Frozen,
    /// Neither hosts nor replicas reach it.
    Partitioned,
    /// The process does nothing for 200 ms; no change of primary may follow.
    Paused,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Killed, Self::Frozen, Self::Partitioned, Self::Paused];

    /// What the stand-in does.
    pub(super) fn fault(self) -> Fault {
        match self {
            Self::Killed => Fault::Stopped,
            Self::Frozen | Self::Paused => Fault::Frozen,
            Self::Partitioned => Fault::Isolated,
        }
    }

    /// How long it lasts.
    pub(super) fn length(self) -> Duration {
        match self {
            Self::Paused => Duration::from_millis(200),
            _ => Duration::from_millis(2_500),
        }
    }
}
