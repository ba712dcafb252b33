use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::CallerKey;

/// Thousandths in which caps are counted, so that configurations compare exactly.
const THOUSANDTHS: f64 = 1_000.0;
/// Largest cap that is told apart from no cap, so that sums of caps cannot overflow.
const MAX_COUNTED: f64 = u32::MAX as f64;

/// Limit for the operations of a workspace, over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageCap {
    /// Thousandths of an operation per second that may run for any length of time.
    milli_per_second: u64,
    /// Thousandths of an operation that may run in addition after a time without use.
    milli_burst: u64,
}

impl UsageCap {
    /// A cap in operations per second and operations; `None` if one of them is
    /// negative or not finite.
    pub fn new(per_second: f64, burst: f64) -> Option<Self> {
        Some(Self {
            milli_per_second: to_thousandths(per_second)?,
            milli_burst: to_thousandths(burst)?,
        })
    }

    /// Operations per second that may run for any length of time.
    pub fn per_second(self) -> f64 {
        self.milli_per_second as f64 / THOUSANDTHS
    }

    /// Operations that may run in addition after a time without use.
    pub fn burst(self) -> f64 {
        self.milli_burst as f64 / THOUSANDTHS
    }
}

fn to_thousandths(value: f64) -> Option<u64> {
    if !value.is_finite() || value < 0.0 {
        return None;
    }
    let scaled = value.min(MAX_COUNTED) * THOUSANDTHS;
    // A cap above 0 must not become 0, which admits nothing.
    Some(if value > 0.0 { scaled.round().max(1.0) as u64 } else { 0 })
}

/// The operator's declaration of one workspace: a group of callers that databases
/// and usage caps tell apart from others.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkspaceRule {
    /// Name of the workspace, which databases are told.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<CallerKey>,
    /// Limit for its operations; `None` if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap: Option<UsageCap>,
}
