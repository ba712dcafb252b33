//! State machine of a `hawthornstackd` host: takes events and returns effects.

mod control_flow;
mod gateway_flow;
mod group_view;
mod host_effect;
mod host_event;
mod host_settings;
mod host_state;
mod leader_state;
mod lease_flow;
mod operator_flow;
mod peer_message;
mod position_flow;
mod report_flow;
mod request_flow;

pub use group_view::{GroupView, UnconfirmedWrite};
pub use host_effect::{GatewayAddress, HostEffect, RequestResult};
pub use host_event::{ExecutionReport, HostEvent};
pub use host_settings::HostSettings;
pub use host_state::HostState;
pub use operator_flow::{OperatorAnswer, OperatorQuestion};
pub use peer_message::{LeaseGrant, LeaseRequest, PeerMessage, PositionAnswer, PositionQuery};
