use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};

use hawthornstack_decisions::outcomes::ResultCode;

use super::{MetricsError, metric_registry::MetricRegistry};

/// Names and descriptions, with units, of all metrics of a daemon, as
/// `docs/METRICS.md` lists them.
pub const METRIC_NAMES: [(&str, &str); 5] = [
    ("hawthornstack_peer_bytes", "bytes sent to and received from other hosts, by kind"),
    ("hawthornstack_peer_messages", "messages sent to and received from other hosts, by kind"),
    ("hawthornstack_requests", "requests concluded, by result code"),
    ("hawthornstack_dispatches", "requests handed to a database, by its role"),
    ("hawthornstack_request_seconds", "time from a request's arrival to its conclusion, seconds"),
];

/// Bucket bounds of the request time histogram, in seconds.
const TIME_BOUNDS_SECONDS: [f64; 12] =
    [0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0];

/// Whether bytes were sent or received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficDirection {
    /// To another host.
    Sent,
    /// From another host.
    Received,
}

impl TrafficDirection {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// The instruments of one daemon.
#[derive(Clone)]
pub struct DaemonMetrics {
    registry: MetricRegistry,
    peer_bytes: Counter<u64>,
    peer_messages: Counter<u64>,
    requests: Counter<u64>,
    dispatches: Counter<u64>,
    request_seconds: Histogram<f64>,
}

impl std::fmt::Debug for DaemonMetrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DaemonMetrics").finish_non_exhaustive()
    }
}

impl DaemonMetrics {
    /// Builds the instruments and their registry.
    ///
    /// # Errors
    /// `MetricsError` if the exporter cannot be built.
    pub fn start() -> Result<Self, MetricsError> {
        let registry = MetricRegistry::start()?;
        let meter = registry.meter();
        let counter = |index: usize| {
            let (name, description) = METRIC_NAMES[index];
            meter.u64_counter(name).with_description(description).build()
        };
        let (name, description) = METRIC_NAMES[4];
        let request_seconds = meter
            .f64_histogram(name)
            .with_description(description)
            .with_boundaries(TIME_BOUNDS_SECONDS.to_vec())
            .build();
        Ok(Self {
            peer_bytes: counter(0),
            peer_messages: counter(1),
            requests: counter(2),
            dispatches: counter(3),
            request_seconds,
            registry,
        })
    }

    /// Counts one frame on a link to another host, and its length in bytes.
    pub fn count_frame(&self, kind: &'static str, direction: TrafficDirection, bytes: usize) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("direction", direction.as_str())];
        self.peer_bytes.add(bytes as u64, &labels);
        self.peer_messages.add(1, &labels);
    }

    /// Counts a request that was sent to a primary or to a replica.
    pub fn count_dispatch(&self, is_primary: bool) {
        let role = if is_primary { "primary" } else { "replica" };
        self.dispatches.add(1, &[KeyValue::new("role", role)]);
    }

    /// Counts a completed request by its result and records its duration.
    pub fn count_request(&self, result: ResultCode, seconds: f64) {
        self.requests.add(1, &[KeyValue::new("code", i64::from(result.number()))]);
        self.request_seconds.record(seconds, &[]);
    }

    /// All metrics in the Prometheus text format.
    pub fn page(&self) -> String {
        self.registry.page()
    }
}
