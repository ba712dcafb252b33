/// Attempts of one statement at gateways that choose its database. Later ones choose it on
/// the host that took the statement, since the gateways may lack a lease or a database
/// that this host knows.
const MAX_FAILED_ATTEMPTS: u32 = 3;

/// What follows after a gateway refused a statement as busy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BusyGatewayStep {
    /// Try another gateway, whose connections may be free.
    TryAnother,
    /// Refuse the statement: the databases behind all gateways are the same ones, and the
    /// caller is told sooner.
    Refuse,
}

/// Vain attempts of one statement at the gateways of its service.
#[derive(Debug, Clone, Copy, Default)]
pub struct GatewayAttempts {
    failed: u32,
    was_busy: bool,
}

impl GatewayAttempts {
    /// True if no attempt failed. Refusals as busy do not count: they say nothing about
    /// the database.
    pub fn is_empty(&self) -> bool {
        self.failed == 0
    }

    /// True if a gateway may choose the database for the next attempt.
    pub fn may_use_gateway(&self) -> bool {
        self.failed < MAX_FAILED_ATTEMPTS
    }

    /// Records that a gateway could not be reached, did not answer or cannot serve.
    pub fn record_failure(&mut self) {
        self.failed += 1;
    }

    /// Records that a gateway refused the statement as busy.
    pub fn record_busy(&mut self) -> BusyGatewayStep {
        match std::mem::replace(&mut self.was_busy, true) {
            false => BusyGatewayStep::TryAnother,
            true => BusyGatewayStep::Refuse,
        }
    }
}
