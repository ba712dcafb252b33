use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{UsageNeed, UsageShare, UsageStep, UsageToken, workspace_usage::WorkspaceUsage};
use crate::{clock::Moment, routes::WorkspaceRule};

/// One host's tokens and use, for each workspace with a cap in its configuration.
#[derive(Debug, Default)]
pub struct UsageAccount {
    usages: HashMap<Arc<str>, WorkspaceUsage>,
    /// Workspaces that the next request covers.
    due: Vec<Arc<str>>,
}

impl UsageAccount {
    /// Applies the caps of a configuration.
    pub fn follow(&mut self, rules: Option<&[WorkspaceRule]>) {
        let mut previous = std::mem::take(&mut self.usages);
        for rule in rules.unwrap_or_default() {
            let Some(cap) = rule.cap else {
                continue;
            };
            let mut usage = previous.remove(&rule.name).unwrap_or_else(|| WorkspaceUsage::new(cap));
            usage.set_cap(cap);
            self.usages.insert(rule.name.clone(), usage);
        }
        let usages = &self.usages;
        self.due.retain(|workspace| usages.contains_key(workspace));
    }

    /// True if no workspace has a cap.
    pub fn is_empty(&self) -> bool {
        self.usages.is_empty()
    }

    /// Decides about an operation of a workspace. `has_lease` if the host may serve
    /// without a leader.
    pub fn take(&mut self, now: Moment, workspace: &Arc<str>, has_lease: bool) -> UsageStep {
        let Some(usage) = self.usages.get_mut(workspace) else {
            return UsageStep::Uncapped;
        };
        let was_due = usage.is_due();
        let step = usage.take(now, has_lease);
        if usage.is_due() && !was_due {
            self.due.push(workspace.clone());
        }
        step
    }

    /// Counts an operation that waits for a grant.
    pub fn begin_wait(&mut self, workspace: &str) {
        if let Some(usage) = self.usages.get_mut(workspace) {
            usage.waiting += 1;
        }
    }

    /// Ends what [`UsageAccount::begin_wait`] began.
    pub fn end_wait(&mut self, workspace: &str) {
        if let Some(usage) = self.usages.get_mut(workspace) {
            usage.waiting = usage.waiting.saturating_sub(1);
        }
    }

    /// Puts back the token of an operation that reached no database.
    pub fn give_back(&mut self, now: Moment, workspace: &str, token: UsageToken) {
        if let Some(usage) = self.usages.get_mut(workspace) {
            usage.give_back(now, token);
        }
    }

    /// True if a request is to be sent.
    pub fn has_request(&self) -> bool {
        !self.due.is_empty()
    }

    /// The request to send now, for all workspaces that are short of tokens; empty if
    /// there are none.
    pub fn next_request(&mut self, now: Moment) -> Vec<UsageNeed> {
        let mut needs = Vec::with_capacity(self.due.len());
        for workspace in self.due.drain(..) {
            if let Some(usage) = self.usages.get_mut(&workspace).filter(|usage| usage.is_due()) {
                needs.push(UsageNeed { tokens: usage.begin_request(now), workspace });
            }
        }
        needs
    }

    /// Applies the answer to the request that was sent at `sent_at`.
    pub fn apply_grant(
        &mut self,
        now: Moment,
        sent_at: Moment,
        lifetime: Duration,
        shares: &[UsageShare],
    ) {
        for share in shares {
            if let Some(usage) = self.usages.get_mut(&share.workspace) {
                usage.apply_share(now, sent_at, lifetime, share);
            }
        }
    }
}
