//! The edges of a daemon: protocols of callers, upstreams and operators are
//! implementations of these traits, so that everything behind them stands
//! once.

mod caller_protocol;
mod operator_edge;
mod upstream_protocol;

pub use caller_protocol::{
    CallerProtocol, CallerRefusal, CallerRequest, CallerStatement, MalformedRequest, SessionPhase,
    StatementAction,
};
pub use operator_edge::{PromotionEdge, PromotionOrder};
pub use upstream_protocol::{
    ForwardUrgency, ForwardedCommand, MalformedReply, UpstreamCode, UpstreamCommand,
    UpstreamProtocol, UpstreamReply,
};
