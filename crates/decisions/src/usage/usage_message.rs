use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Tokens that an entry host requests for a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageNeed {
    /// The workspace.
    pub workspace: Arc<str>,
    /// Number of tokens, one for each operation.
    pub tokens: u32,
}

/// Tokens that the leader grants to an entry host for a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageShare {
    /// The workspace.
    pub workspace: Arc<str>,
    /// Number of tokens; may be less than requested.
    pub tokens: u32,
    /// Time until the next token, if `tokens` is 0.
    pub retry_after: Duration,
}
