//! Metrics by OpenTelemetry, in the Prometheus text form.

mod daemon_metrics;

pub use daemon_metrics::{DaemonMetrics, METRIC_NAMES, MetricsError, TrafficDirection};
