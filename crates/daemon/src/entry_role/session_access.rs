use std::time::Duration;

use hawthornstack_decisions::{
    entry_role::{CallerAccess, TransactionPhase},
    routes::RouteRule,
};
use tokio::time::Instant;

use super::{
    caller_reply::CallerReply,
    caller_session::{CallerSession, refuse_unassigned},
    statement_run::AssignError,
};
use crate::edges::{CallerRefusal, CallerStatement, StatementAction};

/// Time for which a statement of a transaction whose route is gone waits for a lease.
const ROUTELESS_TIMEOUT: Duration = Duration::from_millis(500);

/// Access by the caller's key, which can be removed while the session is open.
impl CallerSession {
    /// Admits the caller for a statement, unless the host that forwarded it did. Waits
    /// at most half of the statement's timeout for a lease.
    pub(super) async fn admit_caller(
        &mut self,
        route: Option<&RouteRule>,
        deadline: Instant,
    ) -> Result<(), AssignError> {
        if !self.needs_access(route) {
            return Ok(());
        }
        let timeout = route.map_or(ROUTELESS_TIMEOUT, |route| route.timeout);
        self.caller.admit(&self.shared, route, deadline - timeout / 2).await
    }

    /// True if the caller's key was removed or moved to another workspace, as far as
    /// this host can prove it.
    pub(super) fn lost_access(&self) -> bool {
        let route = self.route();
        self.needs_access(route.as_deref())
            && self.caller.access(&self.shared, route.as_deref(), self.shared.now())
                == CallerAccess::Refused
    }

    /// Checks the key once for each configuration; true if the session has to end.
    /// Without a lease the check is repeated, since it proves nothing.
    pub(super) fn must_end(&mut self) -> bool {
        let version = self.shared.view.borrow().routes_version();
        if version == self.checked_version {
            return false;
        }
        if self.lost_access() {
            return true;
        }
        if self.shared.view.borrow().has_lease(self.shared.now()) {
            self.checked_version = version;
        }
        false
    }

    /// Ends a session whose key was removed between two statements.
    pub(super) fn end(&mut self) -> CallerReply {
        self.roll_back();
        self.state.transaction = TransactionPhase::Idle;
        self.refuse_unassigned(AssignError::UnknownKey)
    }

    /// Refuses a statement whose caller may not use its route now, and rolls back the
    /// open transaction.
    pub(super) fn refuse_caller(
        &mut self,
        error: AssignError,
        statement: &CallerStatement,
    ) -> CallerReply {
        let in_transaction = self.pinned.is_some();
        self.roll_back();
        let ends = statement.action == StatementAction::Commit || error == AssignError::UnknownKey;
        self.state.transaction = match ends || self.is_idle() {
            true => TransactionPhase::Idle,
            false => TransactionPhase::Failed,
        };
        match self.refuse_unassigned(error) {
            CallerReply::Refused(CallerRefusal::NotRun, hint) if in_transaction => {
                CallerReply::Refused(CallerRefusal::Aborted, hint)
            }
            reply => reply,
        }
    }

    /// The refusal of a statement that was assigned no connection.
    pub(super) fn refuse_unassigned(&mut self, error: AssignError) -> CallerReply {
        if error == AssignError::UnknownKey && !self.key_removed {
            self.key_removed = true;
            self.shared.refused_keys.record(&self.shared, &self.database, &self.caller);
        }
        refuse_unassigned(error)
    }

    /// A dropped route leaves only transactions, which belong to the workspace under
    /// which they began.
    fn needs_access(&self, route: Option<&RouteRule>) -> bool {
        self.forwarded_route.is_none() && (route.is_some() || self.caller.workspace.is_some())
    }
}
