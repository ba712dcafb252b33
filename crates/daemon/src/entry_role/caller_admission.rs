use std::sync::Arc;

use hawthornstack_decisions::{
    clock::Moment, entry_role::CallerAccess, identity::CallerKey, routes::RouteRule,
};
use tokio::time::{Instant, timeout_at};

use super::{entry_shared::EntryShared, statement_run::AssignError};

/// The caller of a statement, as far as its workspace is concerned.
#[derive(Debug, Clone, Default)]
pub(super) struct StatementCaller {
    /// Key that the caller gave.
    pub(super) key: Option<CallerKey>,
    /// Workspace to which the key belongs; `None` on routes that need no key.
    pub(super) workspace: Option<Arc<str>>,
}

/// Whether a statement that was admitted may still be sent to a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AdmissionCheck {
    Valid,
    /// This host has to renew its lease first.
    Wait,
    Refuse(AssignError),
}

impl StatementCaller {
    /// Finds the workspace of the caller's key, and waits until `deadline` for a lease
    /// that proves that the key is still valid. `route` is `None` if the configuration
    /// has dropped it.
    pub(super) async fn admit(
        &mut self,
        shared: &EntryShared,
        route: Option<&RouteRule>,
        deadline: Instant,
    ) -> Result<(), AssignError> {
        loop {
            let changed = shared.changed.notified();
            match self.access(shared, route, shared.now()) {
                CallerAccess::Open => self.workspace = None,
                CallerAccess::Member(workspace) => self.workspace = Some(workspace),
                CallerAccess::Refused => return Err(AssignError::UnknownKey),
                CallerAccess::CutOff => return Err(AssignError::CutOff),
                CallerAccess::Unproven => match timeout_at(deadline, changed).await {
                    Ok(()) => continue,
                    Err(_) => return Err(AssignError::NoLease),
                },
            }
            return Ok(());
        }
    }

    /// Checks an admitted statement again, which may have waited since.
    pub(super) fn check(
        &self,
        shared: &EntryShared,
        route: &RouteRule,
        now: Moment,
    ) -> AdmissionCheck {
        match (self.access(shared, Some(route), now), &self.workspace) {
            (CallerAccess::Open, _) | (CallerAccess::Member(_), Some(_)) => AdmissionCheck::Valid,
            (CallerAccess::Unproven, _) => AdmissionCheck::Wait,
            (CallerAccess::CutOff, _) => AdmissionCheck::Refuse(AssignError::CutOff),
            // The statement waits for a connection of no workspace; its key is valid.
            (CallerAccess::Member(_), None) => {
                AdmissionCheck::Refuse(AssignError::WorkspaceIntroduced)
            }
            (CallerAccess::Refused, _) => AdmissionCheck::Refuse(AssignError::UnknownKey),
        }
    }

    /// The caller's access now, given the workspace to which it was admitted last.
    pub(super) fn access(
        &self,
        shared: &EntryShared,
        route: Option<&RouteRule>,
        now: Moment,
    ) -> CallerAccess {
        let view = shared.view.borrow();
        let access = view.caller_access(now, route, self.key.as_ref());
        access.of_member(self.workspace.as_ref())
    }
}
