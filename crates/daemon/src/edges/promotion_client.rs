use std::{future::Future, pin::Pin, sync::Arc};

use hawthornstack_decisions::control_role::PromoteResult;

use super::LeadPermit;

/// An order to make a database the primary of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionOrder {
    /// Name of the service.
    pub service: Arc<str>,
    /// Id of the database.
    pub instance: Arc<str>,
    /// Fencing token, higher with each new leader of the control hosts.
    pub fence: u64,
}

/// Client of the system that promotes databases.
pub trait PromotionClient {
    /// Sends the order and returns how it was answered. Nothing may be sent once the permit has
    /// ended, and nothing may arrive once the returned future has been dropped.
    fn promote(
        &self,
        order: PromotionOrder,
        permit: LeadPermit,
    ) -> Pin<Box<dyn Future<Output = PromoteResult>>>;
}
