use tokio::time::Instant;

use super::{entry_shared::EntryShared, statement_run::pause_before_retry};

/// Whether a statement is tried again after a database refused it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryDecision {
    /// No retry: the caller gets the database's answer.
    Final,
    /// Retry immediately, at another database.
    AtOnce,
    /// Retry after a pause, if there is time for one.
    AfterPause,
}

impl RetryDecision {
    /// Pauses if the decision asks for it; true if another attempt may be made.
    pub(super) async fn wait_for_retry(self, shared: &EntryShared, deadline: Instant) -> bool {
        match self {
            Self::Final => false,
            Self::AtOnce => true,
            Self::AfterPause => pause_before_retry(shared, deadline).await,
        }
    }
}
