//! Operators', upstreams' and the balancer's interface: JSON over HTTP.

mod operator_routes;

pub use operator_routes::{OperatorContext, operator_routes};
