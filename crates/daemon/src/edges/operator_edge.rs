use std::{future::Future, pin::Pin, sync::Arc};

use hawthornstack_decisions::control_role::PromoteResult;

/// Names the database that is to lead a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionOrder {
    /// The service.
    pub service: Arc<str>,
    /// Id of the database.
    pub instance: Arc<str>,
    /// Grows with each leader of control.
    pub fence: u64,
}

/// How a database is told to lead.
pub trait PromotionEdge {
    /// Gives the order and returns how it was taken.
    fn promote(&self, order: PromotionOrder) -> Pin<Box<dyn Future<Output = PromoteResult>>>;
}
