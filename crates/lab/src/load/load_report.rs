use serde::{Deserialize, Serialize};

/// Results of a load run. Latencies are measured from the time a request was
/// due, so that a slow answer also counts against the requests that it delayed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Multiple of the databases' capacity.
    pub factor: f64,
    /// Requests due per second.
    pub offered_per_second: f64,
    /// Requests answered correctly within the deadline, per second.
    pub goodput_per_second: f64,
    /// Requests that came due, including those that found no idle connection.
    pub sent: u64,
    /// Requests answered correctly after the deadline, or not sent because no
    /// connection of the caller was idle.
    pub late: u64,
    /// Requests that failed and did not run.
    pub refused: u64,
    /// Requests that failed with any other outcome.
    pub unknown: u64,
    /// Median latency of the answers within the deadline, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the answers within the deadline, in
    /// milliseconds.
    pub p99_ms: f64,
    /// Share of reads that replicas served, 0 to 1, from the counters of the
    /// databases.
    pub replica_read_share: f64,
    /// Most answers within the deadline of any caller, divided by the fewest;
    /// all callers offer the same load.
    pub best_to_worst: f64,
    /// Connections that databases accepted, per thousand statements.
    pub opened_per_thousand: f64,
    /// Connections that databases refused because of their connection limit.
    pub connections_refused: u64,
}
