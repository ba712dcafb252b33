use std::{
    cell::{Cell, RefCell},
    sync::Arc,
    time::Duration,
};

use hawthornstack_decisions::{
    clock::Moment,
    control_role::EntryReport,
    routes::RouteTable,
    usage::{UsageAccount, UsageShare, UsageStep, UsageToken},
};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

use super::entry_shared::EntryShared;

/// Retry time stated if no control host answered before the deadline.
const NO_ANSWER_RETRY: Duration = Duration::from_millis(200);
/// Reason of a refusal without an answer.
const NO_ANSWER: &str = "control did not answer for the workspace's cap";

/// Admits operations of workspaces with a cap.
#[derive(Debug, Default)]
pub(super) struct UsageGate {
    account: RefCell<UsageAccount>,
    /// Version of the configuration whose caps the account follows.
    version: Cell<u64>,
    /// Notified when a grant arrived.
    granted: Notify,
    /// Notified when a request is due.
    due: Notify,
}

/// Token of an admitted operation.
#[derive(Debug)]
pub(super) struct UsagePermit {
    workspace: Arc<str>,
    token: UsageToken,
}

/// Refusal of an operation that got no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct UsageRefusal {
    /// Reason, for the caller.
    pub(super) reason: &'static str,
    /// Time after which it may be tried again.
    pub(super) retry_after: Duration,
}

/// Counts one waiting operation until it is dropped.
struct UsageWait<'a> {
    gate: &'a UsageGate,
    workspace: &'a str,
}

impl Drop for UsageWait<'_> {
    fn drop(&mut self) {
        self.gate.account.borrow_mut().end_wait(self.workspace);
    }
}

impl UsageGate {
    /// Applies the caps of the configuration in force, unless they are known.
    pub(super) fn follow(&self, table: &RouteTable) {
        if self.version.replace(table.version) == table.version {
            return;
        }
        self.account.borrow_mut().follow(table.workspaces.as_deref());
        self.granted.notify_waiters();
    }

    /// Takes a token for an operation, and waits until `deadline` for a grant if there is
    /// none; `None` if the workspace has no cap.
    pub(super) async fn admit(
        &self,
        shared: &EntryShared,
        workspace: &Arc<str>,
        deadline: Instant,
    ) -> Result<Option<UsagePermit>, UsageRefusal> {
        if self.account.borrow().is_empty() {
            return Ok(None);
        }
        loop {
            let granted = self.granted.notified();
            let now = shared.now();
            match self.take(shared, now, workspace) {
                UsageStep::Uncapped => return Ok(None),
                UsageStep::Admit(token) => {
                    return Ok(Some(UsagePermit { workspace: workspace.clone(), token }));
                }
                UsageStep::Refuse { retry_after } => {
                    let reason = "the workspace has reached its cap";
                    return Err(UsageRefusal { reason, retry_after });
                }
                UsageStep::Unanswered { retry_after } => {
                    return Err(UsageRefusal { reason: NO_ANSWER, retry_after });
                }
                UsageStep::Wait { .. } if Instant::now() >= deadline => {
                    return Err(UsageRefusal { reason: NO_ANSWER, retry_after: NO_ANSWER_RETRY });
                }
                UsageStep::Wait { until } => {
                    self.account.borrow_mut().begin_wait(workspace);
                    let _wait = UsageWait { gate: self, workspace };
                    let until = Instant::now() + until.since(now);
                    // A wait that ends without a grant is decided by the next step.
                    let _ = timeout_at(until.min(deadline), granted).await;
                }
            }
        }
    }

    fn take(&self, shared: &EntryShared, now: Moment, workspace: &Arc<str>) -> UsageStep {
        let has_lease = shared.view.borrow().has_lease(now);
        let mut account = self.account.borrow_mut();
        let step = account.take(now, workspace, has_lease);
        if account.has_request() {
            self.due.notify_one();
        }
        step
    }

    /// Returns the token of an operation that reached no database.
    pub(super) fn give_back(&self, now: Moment, permit: UsagePermit) {
        self.account.borrow_mut().give_back(now, &permit.workspace, permit.token);
    }

    /// Waits until a request is due.
    pub(super) async fn wait_for_request(&self) {
        self.due.notified().await;
    }

    /// The request for all workspaces that are short of tokens, if there are any.
    pub(super) fn next_request(&self, now: Moment) -> Option<EntryReport> {
        let needs = self.account.borrow_mut().next_request(now);
        (!needs.is_empty()).then_some(EntryReport::UsageRequest { sent_at: now, needs })
    }

    /// Adds the tokens of a grant and wakes the operations that wait for them.
    pub(super) fn apply_grant(
        &self,
        now: Moment,
        sent_at: Moment,
        lifetime: Duration,
        grants: &[UsageShare],
    ) {
        self.account.borrow_mut().apply_grant(now, sent_at, lifetime, grants);
        self.granted.notify_waiters();
    }
}
