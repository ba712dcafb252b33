use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};

use super::{MetricsError, metric_registry::MetricRegistry};

/// Names and descriptions, with units, of the metrics of entry and control
/// hosts, as `docs/METRICS.md` lists them.
pub const HOST_METRIC_NAMES: [(&str, &str); 24] = [
    ("hawthornstack_statements", "statements answered, by kind of route and outcome"),
    ("hawthornstack_statement_seconds", "time to a statement's answer, by kind of route, seconds"),
    ("hawthornstack_stage_seconds", "time in the queue and at the database, by stage, seconds"),
    ("hawthornstack_retries", "attempts that were repeated, by reason"),
    ("hawthornstack_refusals", "statements refused by this host, by reason"),
    ("hawthornstack_usage_refusals", "operations refused for lack of a token of their workspace"),
    ("hawthornstack_early_refusals", "statements refused before their time was up, by priority"),
    ("hawthornstack_reads", "reads sent to a database, by its role"),
    ("hawthornstack_keys_refused", "callers refused for their key, by state of the key"),
    ("hawthornstack_sessions", "callers' sessions that are open"),
    ("hawthornstack_upstream_connections", "connections to databases, by database and state"),
    (
        "hawthornstack_workspace_connections",
        "connections to databases, by workspace: the largest and the others together",
    ),
    (
        "hawthornstack_connections_replaced",
        "connections of a workspace that were closed to open one of another",
    ),
    ("hawthornstack_queued_statements", "statements that wait for a connection, by database"),
    ("hawthornstack_lease_seconds", "time that the lease still holds, seconds"),
    ("hawthornstack_routes_version", "version of the configuration in force"),
    ("hawthornstack_applied_index", "index of control's log that is applied"),
    ("hawthornstack_log_lines_left_out", "log lines that were not written, by kind"),
    ("hawthornstack_control_leader", "1 if this control host leads, else 0"),
    ("hawthornstack_control_term", "term of control's agreement"),
    ("hawthornstack_control_voters", "voters of control"),
    ("hawthornstack_control_entry_hosts", "entry hosts that may hold a lease"),
    ("hawthornstack_control_sent_messages", "messages that a control host sent, by kind"),
    ("hawthornstack_control_sent_bytes", "bytes of messages that a control host sent, by kind"),
];

/// Bucket bounds of the time histograms, in seconds: from a round trip within a
/// data centre to the longest statement timeouts.
const TIME_BOUNDS_SECONDS: [f64; 12] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 2.0, 10.0];

/// Labels of priorities, the most urgent first.
const PRIORITY_LABELS: [&str; 4] = ["0", "1", "2", "3 or less urgent"];

/// The instruments of an entry or control host.
#[derive(Clone)]
pub struct HostMetrics {
    registry: MetricRegistry,
    statements: Counter<u64>,
    statement_seconds: Histogram<f64>,
    stage_seconds: Histogram<f64>,
    retries: Counter<u64>,
    refusals: Counter<u64>,
    usage_refusals: Counter<u64>,
    early_refusals: Counter<u64>,
    reads: Counter<u64>,
    connections_replaced: Counter<u64>,
    keys_refused: Counter<u64>,
    log_lines_left_out: Counter<u64>,
    sent_messages: Counter<u64>,
    sent_bytes: Counter<u64>,
    gauges: Vec<(&'static str, Gauge<f64>)>,
}

impl std::fmt::Debug for HostMetrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HostMetrics").finish_non_exhaustive()
    }
}

fn description_of(name: &str) -> &'static str {
    HOST_METRIC_NAMES
        .iter()
        .find(|(known, _)| *known == name)
        .map_or("", |(_, description)| description)
}

fn counter(meter: &Meter, name: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(description_of(name)).build()
}

fn histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description_of(name))
        .with_boundaries(TIME_BOUNDS_SECONDS.to_vec())
        .build()
}

impl HostMetrics {
    /// Builds the instruments and their registry.
    ///
    /// # Errors
    /// `MetricsError` if the exporter cannot be built.
    pub fn start() -> Result<Self, MetricsError> {
        let registry = MetricRegistry::start()?;
        let meter = registry.meter();
        let gauges = [
            "hawthornstack_sessions",
            "hawthornstack_upstream_connections",
            "hawthornstack_workspace_connections",
            "hawthornstack_queued_statements",
            "hawthornstack_lease_seconds",
            "hawthornstack_routes_version",
            "hawthornstack_applied_index",
            "hawthornstack_control_leader",
            "hawthornstack_control_term",
            "hawthornstack_control_voters",
            "hawthornstack_control_entry_hosts",
        ];
        let gauges = gauges
            .into_iter()
            .map(|name| {
                (name, meter.f64_gauge(name).with_description(description_of(name)).build())
            })
            .collect();
        Ok(Self {
            statements: counter(&meter, "hawthornstack_statements"),
            statement_seconds: histogram(&meter, "hawthornstack_statement_seconds"),
            stage_seconds: histogram(&meter, "hawthornstack_stage_seconds"),
            retries: counter(&meter, "hawthornstack_retries"),
            refusals: counter(&meter, "hawthornstack_refusals"),
            usage_refusals: counter(&meter, "hawthornstack_usage_refusals"),
            early_refusals: counter(&meter, "hawthornstack_early_refusals"),
            reads: counter(&meter, "hawthornstack_reads"),
            connections_replaced: counter(&meter, "hawthornstack_connections_replaced"),
            keys_refused: counter(&meter, "hawthornstack_keys_refused"),
            log_lines_left_out: counter(&meter, "hawthornstack_log_lines_left_out"),
            sent_messages: counter(&meter, "hawthornstack_control_sent_messages"),
            sent_bytes: counter(&meter, "hawthornstack_control_sent_bytes"),
            gauges,
            registry,
        })
    }

    /// Counts an answered statement and records its duration.
    pub fn count_statement(&self, route_kind: &'static str, outcome: &'static str, seconds: f64) {
        let kind = KeyValue::new("kind", route_kind);
        self.statement_seconds.record(seconds, std::slice::from_ref(&kind));
        self.statements.add(1, &[kind, KeyValue::new("outcome", outcome)]);
    }

    /// Records the time that a statement spent in a stage (queue, database).
    pub fn record_stage(&self, stage: &'static str, seconds: f64) {
        self.stage_seconds.record(seconds, &[KeyValue::new("stage", stage)]);
    }

    /// Counts a further attempt at a statement.
    pub fn count_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a statement that this host refused.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an operation of a workspace that reached its cap.
    pub fn count_usage_refusal(&self) {
        self.usage_refusals.add(1, &[]);
    }

    /// Counts a statement that was refused since it could not be served in time; the
    /// least urgent priorities share a label.
    pub fn count_early_refusal(&self, priority: u32) {
        let label = PRIORITY_LABELS[(priority as usize).min(PRIORITY_LABELS.len() - 1)];
        self.early_refusals.add(1, &[KeyValue::new("priority", label)]);
    }

    /// Counts a read that was sent to a primary or to a replica.
    pub fn count_read(&self, is_primary: bool) {
        let role = if is_primary { "primary" } else { "replica" };
        self.reads.add(1, &[KeyValue::new("role", role)]);
    }

    /// Counts a connection that was closed to open one of another workspace.
    pub fn count_replaced(&self) {
        self.connections_replaced.add(1, &[]);
    }

    /// Counts a caller that was refused for its key; `removed` if the key was valid
    /// when the session began.
    pub fn count_refused_key(&self, removed: bool) {
        let state = if removed { "removed" } else { "unknown" };
        self.keys_refused.add(1, &[KeyValue::new("state", state)]);
    }

    /// Counts log lines that were not written.
    pub fn count_left_out(&self, kind: &'static str, lines: u64) {
        self.log_lines_left_out.add(lines, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a message of a control host to another host and its size.
    pub fn count_sent(&self, kind: &'static str, bytes: usize) {
        let label = [KeyValue::new("kind", kind)];
        self.sent_messages.add(1, &label);
        self.sent_bytes.add(bytes as u64, &label);
    }

    /// Sets a gauge of [`HOST_METRIC_NAMES`]; ignores a name that is no gauge.
    pub fn set(&self, name: &str, value: f64, labels: &[KeyValue]) {
        if let Some((_, gauge)) = self.gauges.iter().find(|(known, _)| *known == name) {
            gauge.record(value, labels);
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn page(&self) -> String {
        self.registry.page()
    }
}
