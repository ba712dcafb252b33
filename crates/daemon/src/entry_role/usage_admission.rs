use hawthornstack_decisions::{entry_role::TransactionPhase, routes::RouteRule};
use tokio::time::Instant;

use super::{
    caller_reply::CallerReply, caller_session::CallerSession, request_trace::RequestTrace,
    usage_gate::UsagePermit,
};

/// Caps of workspaces: each operation needs a token before it is sent to a database.
impl CallerSession {
    /// Takes a token of the caller's workspace, unless the host that forwarded the
    /// statement did. A transaction takes one, with its first statement. The reply to the
    /// caller if there is no token; waits for one no longer than for a connection.
    pub(super) async fn admit_operation(
        &mut self,
        route: &RouteRule,
        deadline: Instant,
    ) -> Result<Option<UsagePermit>, CallerReply> {
        let Some(workspace) = &self.caller.workspace else {
            return Ok(None);
        };
        if self.forwarded_route.is_some() {
            return Ok(None);
        }
        let deadline = deadline - route.timeout / 2;
        match self.shared.usage.admit(&self.shared, workspace, deadline).await {
            Ok(permit) => Ok(permit),
            Err(refusal) => {
                self.shared.metrics.count_usage_refusal();
                if !self.is_idle() {
                    self.state.transaction = TransactionPhase::Failed;
                }
                Err(CallerReply::RefusedFor(refusal.reason, refusal.retry_after))
            }
        }
    }

    /// Returns the token of an operation that reached no database.
    pub(super) fn end_operation(&self, permit: Option<UsagePermit>, trace: &RequestTrace) {
        if let Some(permit) = permit.filter(|_| !trace.reached_database()) {
            self.shared.usage.give_back(self.shared.now(), permit);
        }
    }
}
