//! HTTP interface for operators, upstreams' announcements and the balancer's health
//! check; bodies are JSON.

mod operator_routes;

pub use operator_routes::{OperatorContext, operator_routes};
