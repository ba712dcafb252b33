//! Metrics by OpenTelemetry, in the Prometheus text form.

mod daemon_metrics;
mod host_metrics;

pub use daemon_metrics::{DaemonMetrics, METRIC_NAMES, MetricsError, TrafficDirection};
pub use host_metrics::{HOST_METRIC_NAMES, HostMetrics};
