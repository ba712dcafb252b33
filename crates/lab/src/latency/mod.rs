//! Latency and throughput of requests through a daemon, compared with direct
//! requests to the same database.

mod latency_run;

pub use latency_run::{LatencyPlan, LatencyReport, PathFigures, run_latency};
