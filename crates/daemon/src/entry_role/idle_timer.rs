use tokio::time::{Duration, Instant, sleep_until};

use super::caller_session::CallerSession;

/// Interval in which an idle transaction is checked for an early end.
const EARLY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a session's transaction has waited for its next statement.
#[derive(Debug, Clone, Copy)]
pub(super) struct IdleTimer {
    since: Instant,
    limit: Option<Duration>,
}

impl IdleTimer {
    /// Starts after a statement; never expires without an open transaction.
    pub(super) fn start(session: &CallerSession) -> Self {
        Self { since: Instant::now(), limit: session.idle_limit() }
    }

    /// Waits until the transaction has to be rolled back: at the configured limit, or
    /// from half of it if a statement waits for its connection.
    pub(super) async fn wait_for_end(self, session: &CallerSession) {
        let Some(limit) = self.limit else {
            return std::future::pending().await;
        };
        let expires_at = self.since + limit;
        let mut check_at = match session.has_priorities() {
            true => self.since + limit / 2,
            false => expires_at,
        };
        loop {
            sleep_until(check_at.min(expires_at)).await;
            let idle = self.since.elapsed();
            if idle >= limit || session.should_end_early(idle, limit) {
                return;
            }
            check_at = Instant::now() + EARLY_CHECK_INTERVAL;
        }
    }
}
