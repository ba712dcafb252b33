//! Traits for what a host exchanges with callers, upstreams and the system that
//! promotes databases. Each protocol implements them, so that the code behind
//! them is the same for all protocols.

mod caller_protocol;
mod lead_permit;
mod promotion_client;
mod upstream_protocol;

pub use caller_protocol::{
    CallerProtocol, CallerRefusal, CallerRequest, CallerStatement, MalformedRequest, SessionPhase,
    StatementAction,
};
pub use lead_permit::LeadPermit;
pub use promotion_client::{PromotionClient, PromotionOrder};
pub use upstream_protocol::{
    ForwardUrgency, ForwardedCommand, MalformedReply, ReadTerms, UpstreamCode, UpstreamCommand,
    UpstreamProtocol, UpstreamReply,
};
