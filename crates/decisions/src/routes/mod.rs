//! Whole configurations of an operator: which service a database name leads
//! to, and how its requests are to be served.

mod packed_routes;
mod route_rule;
mod route_table;

pub use packed_routes::PackedRoutes;
pub use route_rule::{RouteKind, RouteRule, ServiceRule, TrafficLimits};
pub use route_table::{RouteError, RouteTable};
