use std::{cell::Cell, rc::Rc, time::Duration};

use hawthornstack_decisions::leases::HeldLead;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::clock::BootClock;

/// Longest time between two looks at the clock while a permit is awaited: timers do not count
/// the time for which the machine was suspended.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time that socket options can express; a permit that ends sooner has ended.
const SHORTEST_TIME: Duration = Duration::from_millis(1);

/// Permission to send on the strength of a lead, for as long as the lead lasts and the decision
/// that is carried out stands.
#[derive(Debug, Clone)]
pub struct LeadPermit {
    lead: Rc<Cell<HeldLead>>,
    revoked: CancellationToken,
    clock: BootClock,
}

impl LeadPermit {
    /// Creates a permit that ends with `lead`, whose end its holder moves on, or with `revoked`.
    pub fn new(lead: Rc<Cell<HeldLead>>, revoked: CancellationToken) -> Self {
        Self { lead, revoked, clock: BootClock }
    }

    /// Time for which the permit lasts at least; `None` once it has ended.
    pub fn remaining(&self) -> Option<Duration> {
        let remaining = self.lead.get().ends_at.since(self.clock.now());
        (!self.revoked.is_cancelled() && remaining >= SHORTEST_TIME).then_some(remaining)
    }

    /// Waits until the permit ends. Cancel safe.
    pub async fn ended(&self) {
        while let Some(remaining) = self.remaining() {
            tokio::select! {
                () = self.revoked.cancelled() => return,
                () = sleep(remaining.min(CHECK_INTERVAL)) => {}
            }
        }
    }
}
