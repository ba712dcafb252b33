//! What the proxy adds to a request, against the same databases without it.

mod latency_run;

pub use latency_run::{LatencyPlan, LatencyReport, PathFigures, run_latency};
