//! An operator's configuration: which service handles a database name, and how
//! its requests are served.

mod list_edit;
mod packed_routes;
mod route_change;
mod route_rule;
mod route_table;
mod workspace_rule;

pub use packed_routes::PackedRoutes;
pub use route_rule::{RouteKind, RouteRule, ServiceRule, TrafficLimits};
pub use route_table::{RouteError, RouteTable};
pub use workspace_rule::{UsageCap, WorkspaceRule};
