use std::sync::Arc;

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{BusyGatewayStep, GatewayAttempts},
    instances::InstanceKey,
    positions::LogPosition,
    routes::RouteRule,
};
use tokio::time::Instant;

use super::{
    caller_admission::{AdmissionCheck, StatementCaller},
    entry_shared::EntryShared,
    retry_decision::RetryDecision,
};

use crate::edges::{ForwardUrgency, ReadTerms};

/// Percentage of a read's remaining time for the first attempt; the rest is left for
/// an attempt elsewhere.
const FIRST_READ_PERCENT: u32 = 60;

/// Where a statement was tried in vain.
#[derive(Debug, Default)]
pub(super) struct TriedUpstreams {
    /// Databases that are ruled out for further attempts.
    pub(super) instances: Vec<InstanceKey>,
    /// Vain attempts at gateways.
    pub(super) gateways: GatewayAttempts,
}

impl TriedUpstreams {
    /// Rules out a database, or counts an attempt at a gateway.
    pub(super) fn add(&mut self, instance: Option<&InstanceKey>) {
        match instance {
            Some(key) => self.instances.push(key.clone()),
            None => self.gateways.record_failure(),
        }
    }

    /// Records that a gateway refused the statement as busy.
    pub(super) fn record_busy_gateway(&mut self) -> RetryDecision {
        match self.gateways.record_busy() {
            BusyGatewayStep::TryAnother => RetryDecision::AfterPause,
            BusyGatewayStep::Refuse => RetryDecision::Final,
        }
    }

    fn is_empty(&self) -> bool {
        self.instances.is_empty() && self.gateways.is_empty()
    }
}

/// Requirements and time limits of a statement.
pub(super) struct RunLimits<'a> {
    pub(super) route: &'a RouteRule,
    pub(super) caller: &'a StatementCaller,
    /// When the statement arrived; for the session's first one at a database, when
    /// the session was requested.
    pub(super) arrived: Moment,
    pub(super) deadline: Instant,
    pub(super) needs_primary: bool,
    /// The database may be chosen again while the statement waits for a connection.
    pub(super) may_reroute: bool,
    pub(super) writes: bool,
    /// Another host forwarded the statement. It is not sent to a gateway that chooses
    /// the database: hosts with different lists of hosts could pass it on for ever.
    pub(super) forwarded: bool,
    pub(super) last_commit: Option<LogPosition>,
}

impl RunLimits<'_> {
    /// Time at which waiting for a connection ends. A statement that has waited
    /// for half of its timeout keeps being overtaken by newer ones; failing it now
    /// leaves its caller time for another attempt.
    pub(super) fn connect_deadline(&self) -> Instant {
        self.deadline - self.route.timeout / 2
    }

    /// Deadline of one attempt; the first attempt of a read leaves time for a second.
    pub(super) fn attempt_deadline(&self, tried: &TriedUpstreams) -> Instant {
        if self.writes || !tried.is_empty() {
            return self.deadline;
        }
        let now = Instant::now();
        now + self.deadline.saturating_duration_since(now) * FIRST_READ_PERCENT / 100
    }

    /// What a gateway is told; `read` if it chooses the database.
    pub(super) fn urgency(&self, now: Moment, read: Option<ReadTerms>) -> ForwardUrgency {
        ForwardUrgency {
            priority: self.route.priority,
            objective: self.route.objective,
            waited: now.since(self.arrived),
            read,
            workspace: self.workspace().cloned(),
        }
    }

    /// Workspace whose connection the statement needs.
    pub(super) fn workspace(&self) -> Option<&Arc<str>> {
        self.caller.workspace.as_ref()
    }

    /// Whether the caller may still use the route. The host that took a forwarded
    /// statement checks it itself.
    pub(super) fn check_caller(&self, shared: &EntryShared, now: Moment) -> AdmissionCheck {
        match self.forwarded {
            true => AdmissionCheck::Valid,
            false => self.caller.check(shared, self.route, now),
        }
    }

    /// Terms of a read for a gateway that chooses the database; `None` if the primary
    /// must run the statement.
    pub(super) fn read_terms(&self, tried: &TriedUpstreams) -> Option<ReadTerms> {
        let max_age = self.route.kind.max_age().filter(|_| !self.needs_primary)?;
        let time_left = self.attempt_deadline(tried).saturating_duration_since(Instant::now());
        Some(ReadTerms { max_age, time_left })
    }
}
