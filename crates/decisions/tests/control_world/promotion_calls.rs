//! Calls of control hosts to the platform that the network may hold up as long as their senders
//! do not end them.

use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment, identity::HostId, instances::InstanceKey, leases::HeldLead,
};

/// Time by which a throttled process may end a call late.
const THROTTLE_TIME: Duration = Duration::from_millis(100);

#[derive(Debug, Clone)]
pub struct PromotionCall {
    pub host: HostId,
    pub service: Arc<str>,
    pub key: InstanceKey,
    pub fence: u64,
    /// End of the lead under which it was sent, as its sender knows it.
    pub ends_at: Moment,
}

#[derive(Debug, Default)]
pub struct PromotionCalls {
    on_the_way: Vec<PromotionCall>,
}

impl PromotionCalls {
    /// Records a call. No call of an earlier leader, nor one that promotes another database, may
    /// arrive after it.
    pub fn send(&mut self, now: Moment, call: PromotionCall) {
        self.on_the_way.retain(|other| now < other.ends_at + THROTTLE_TIME);
        for other in self.on_the_way.iter().filter(|other| other.service == call.service) {
            let is_repeated = other.fence == call.fence && other.key == call.key;
            assert!(is_repeated, "at {now:?}: {other:?} may arrive after {call:?}");
        }
        self.on_the_way.push(call);
    }

    /// Ends the calls of a host for a service.
    pub fn end(&mut self, host: HostId, service: &str) {
        self.on_the_way.retain(|call| call.host != host || &*call.service != service);
    }

    /// Ends the calls of a process that has ended.
    pub fn end_all(&mut self, host: HostId) {
        self.on_the_way.retain(|call| call.host != host);
    }

    /// Follows the lead of a host after each of its steps.
    pub fn follow_lead(&mut self, now: Moment, host: HostId, lead: Option<HeldLead>) {
        for call in self.on_the_way.iter_mut().filter(|call| call.host == host) {
            call.ends_at = match lead.filter(|lead| lead.term == call.fence) {
                Some(lead) => lead.ends_at,
                None => call.ends_at.min(now),
            };
        }
    }
}
