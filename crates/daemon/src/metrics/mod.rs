//! OpenTelemetry metrics, exported in the Prometheus text format.

mod daemon_metrics;
mod host_metrics;
mod metric_registry;

pub use daemon_metrics::{DaemonMetrics, METRIC_NAMES, TrafficDirection};
pub use host_metrics::{HOST_METRIC_NAMES, HostMetrics};
pub use metric_registry::MetricsError;
