use std::sync::Arc;

use super::{ControlEffect, ControlHost, OperatorOrder, OrderAnswer};
use crate::{clock::Moment, control_state::ControlCommand, routes::RouteTable};

/// An order whose command is not committed yet.
#[derive(Debug)]
pub(super) struct PendingOrder {
    ticket: u64,
    index: u64,
    table: Arc<RouteTable>,
}

impl ControlHost {
    pub(super) fn handle_order(&mut self, now: Moment, ticket: u64, order: OperatorOrder) {
        if !self.agreement.is_leader() {
            let answer = match self.agreement.leader() {
                Some(leader) => OrderAnswer::NotLeader(leader),
                None => OrderAnswer::Unavailable,
            };
            return self.send_answer(ticket, answer);
        }
        if !self.is_current_leader(now) {
            return self.send_answer(ticket, OrderAnswer::Unavailable);
        }
        match order {
            OperatorOrder::ReadRoutes => {
                let answer = match &self.control.routes {
                    Some(table) => OrderAnswer::Routes(table.clone()),
                    None => OrderAnswer::NoRoutes,
                };
                self.send_answer(ticket, answer);
            }
            OperatorOrder::ReplaceRoutes { table, at_unix_ms } => {
                self.replace_routes(now, ticket, table, at_unix_ms);
            }
        }
    }

    fn replace_routes(
        &mut self,
        now: Moment,
        ticket: u64,
        table: Arc<RouteTable>,
        at_unix_ms: u64,
    ) {
        let version = self.control.routes_version();
        if self.control.routes.is_some() && table.version <= version {
            return self.send_answer(ticket, OrderAnswer::Accepted { version });
        }
        // A repeated order waits for the log entry of the first one.
        if let Some(index) = self.orders.iter().find(|o| o.table == table).map(|o| o.index) {
            self.orders.push(PendingOrder { ticket, index, table });
            return;
        }
        let command = ControlCommand::RoutesReplaced { table: table.clone(), at_unix_ms };
        // The entry can be committed before `propose` returns, so the order is
        // stored first, with the index that the entry will get.
        let index = self.agreement.log().last_index() + 1;
        self.orders.push(PendingOrder { ticket, index, table });
        if self.propose(now, command) != Some(index) {
            self.fail_pending_orders();
        }
    }

    /// Answers the orders whose entries are committed.
    pub(super) fn answer_orders(&mut self, committed: u64) {
        let version = self.control.routes_version();
        let (done, waiting) =
            std::mem::take(&mut self.orders).into_iter().partition(|o| o.index <= committed);
        self.orders = waiting;
        let done: Vec<PendingOrder> = done;
        for order in done {
            self.send_answer(order.ticket, OrderAnswer::Accepted { version });
        }
    }

    /// Answers all pending orders as unavailable: their commands may or may not
    /// be committed later.
    pub(super) fn fail_pending_orders(&mut self) {
        for order in std::mem::take(&mut self.orders) {
            self.send_answer(order.ticket, OrderAnswer::Unavailable);
        }
    }

    fn send_answer(&mut self, ticket: u64, answer: OrderAnswer) {
        self.effects.push(ControlEffect::Answer(ticket, answer));
    }
}
