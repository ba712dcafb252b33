//! State of a control host, in a deployment whose hosts find each other by
//! seeds: orders of operators, announcements of databases, leases of entry
//! hosts and changes of primary. In this module, the configuration is the
//! operators' [`RouteTable`](crate::routes::RouteTable).

mod catch_up_flow;
mod control_event;
mod control_host_state;
mod control_settings;
mod directory_flow;
mod entry_flow;
mod entry_progress;
mod instance_feed;
mod messages;
mod order_flow;
mod recent_changes;
mod route_feed;
mod term_flow;
mod term_history;
mod usage_flow;

pub use control_event::{
    ControlEffect, ControlEvent, ControlLogEvent, EntryHello, OperatorOrder, OrderAnswer,
    PromoteResult,
};
pub use control_host_state::ControlHost;
pub use control_settings::ControlSettings;
pub use messages::{ControlMessage, EntryReport, EntryUpdate, LinkFrame, LinkRole};
