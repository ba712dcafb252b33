use serde::{Deserialize, Serialize};

/// What a load found. Times are counted from when a request was due, so that a
/// slow answer also counts for the requests that it held up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Multiple of the databases' capacity.
    pub factor: f64,
    /// Requests due in a second.
    pub offered_per_second: f64,
    /// Requests answered correctly within the deadline, a second.
    pub goodput_per_second: f64,
    /// Requests sent.
    pub sent: u64,
    /// Answered correctly but after the deadline.
    pub late: u64,
    /// Told that they did not run.
    pub refused: u64,
    /// Left open.
    pub unknown: u64,
    /// Median time of the good answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the good answers, in milliseconds.
    pub p99_ms: f64,
    /// Reads that replicas served, as the databases counted them.
    pub replica_read_share: f64,
    /// Largest over smallest share of good answers among callers with equal
    /// load.
    pub best_to_worst: f64,
    /// Connections opened to databases per thousand statements.
    pub opened_per_thousand: f64,
    /// Connections refused by databases.
    pub connections_refused: u64,
}
