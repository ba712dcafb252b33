use std::{cell::Cell, collections::HashMap, rc::Rc, sync::Arc};

use hawthornstack_decisions::{
    control_role::PromoteResult, instances::InstanceKey, leases::HeldLead,
};
use tokio_util::sync::CancellationToken;

use crate::edges::{LeadPermit, PromotionClient, PromotionOrder};

/// The calls that promote databases. Each of them ends with the lead under which it was sent, and
/// with the choice that it carries out.
pub(super) struct PromotionCalls {
    client: Rc<dyn PromotionClient>,
    lead: Option<ActiveLead>,
}

struct ActiveLead {
    lead: Rc<Cell<HeldLead>>,
    revoked: CancellationToken,
    /// The database that is being promoted, by service.
    choices: HashMap<Arc<str>, (InstanceKey, CancellationToken)>,
}

impl ActiveLead {
    fn new(lead: HeldLead) -> Self {
        Self {
            lead: Rc::new(Cell::new(lead)),
            revoked: CancellationToken::new(),
            choices: HashMap::new(),
        }
    }
}

impl Drop for ActiveLead {
    fn drop(&mut self) {
        self.revoked.cancel();
    }
}

impl PromotionCalls {
    pub(super) fn new(client: Rc<dyn PromotionClient>) -> Self {
        Self { client, lead: None }
    }

    /// Moves the end of the lead on, or ends the calls of a lead that is no longer held.
    pub(super) fn follow_lead(&mut self, held: Option<HeldLead>) {
        let known = self
            .lead
            .take()
            .filter(|known| held.is_some_and(|held| held.term == known.lead.get().term));
        self.lead = held.map(|held| {
            let active = known.unwrap_or_else(|| ActiveLead::new(held));
            active.lead.set(held);
            active
        });
    }

    /// Ends the calls for a service.
    pub(super) fn end(&mut self, service: &str) {
        if let Some(active) = &mut self.lead
            && let Some((_, revoked)) = active.choices.remove(service)
        {
            revoked.cancel();
        }
    }

    /// Prepares a call, which ends the calls that promote another database of the service. `None`
    /// if the lead of that term is no longer held.
    pub(super) fn prepare(
        &mut self,
        service: &Arc<str>,
        key: &InstanceKey,
        fence: u64,
    ) -> Option<impl Future<Output = PromoteResult> + use<>> {
        let active = self.lead.as_ref().filter(|active| active.lead.get().term == fence)?;
        if active.choices.get(service).is_some_and(|(chosen, _)| chosen != key) {
            self.end(service);
        }
        let active = self.lead.as_mut()?;
        let (_, revoked) = active
            .choices
            .entry(service.clone())
            .or_insert_with(|| (key.clone(), active.revoked.child_token()));
        let permit = LeadPermit::new(active.lead.clone(), revoked.clone());
        let order = PromotionOrder { service: service.clone(), instance: key.id.clone(), fence };
        let request = self.client.promote(order, permit.clone());
        Some(async move {
            tokio::select! {
                biased;
                // Dropping the request resets its connection.
                () = permit.ended() => {
                    tracing::info!(
                        target: "control",
                        "promotion request given up: its lead or its change has ended"
                    );
                    PromoteResult::Unclear
                }
                result = request => result,
            }
        })
    }
}
