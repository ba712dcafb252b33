use serde::{Deserialize, Serialize};

use crate::history::HistoryReport;

/// Results of a demo run. Values that were not measured are `null`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemoReport {
    /// Counts from the check of the recorded history.
    #[serde(flatten)]
    pub history: HistoryReport,
    /// Share of reads that replicas served, 0 to 1, from the counters of the
    /// databases.
    pub replica_read_share: Option<f64>,
    /// Time from the failure of the primary to the first acknowledgement of a
    /// write that was sent after it, in milliseconds.
    pub failover_gap_ms: Option<f64>,
    /// Median request latency, in milliseconds.
    pub p50_ms: Option<f64>,
    /// 99th percentile of the request latency, in milliseconds.
    pub p99_ms: Option<f64>,
    /// Requests that were refused or had an unknown outcome while a daemon drained,
    /// at any daemon.
    pub drain_failures: Option<u64>,
    /// Connections that databases refused because of their connection limit.
    pub connections_refused: u64,
    /// Measurements that did not run, each with the reason.
    pub not_run: Vec<String>,
}

impl DemoReport {
    /// True if the history shows no violation and every measurement ran.
    pub fn guarantees_hold(&self) -> bool {
        let history = &self.history;
        history.lost_writes == 0
            && history.doubled_writes == 0
            && history.stale_session_reads == 0
            && history.crossed_answers == 0
            && self.not_run.is_empty()
    }

    /// Formats the report as lines of name and value.
    pub fn to_text(&self) -> String {
        let history = &self.history;
        let format_value = |value: Option<f64>, unit: &str| match value {
            Some(value) => format!("{value:.1}{unit}"),
            None => "not measured".to_owned(),
        };
        let share = self.replica_read_share.map(|share| share * 100.0);
        let lines = [
            ("requests", history.requests.to_string()),
            ("answered correctly", history.answered_correctly.to_string()),
            ("refused (did not run)", history.refused.to_string()),
            ("unknown outcomes", history.unknown_outcomes.to_string()),
            ("lost writes", history.lost_writes.to_string()),
            ("doubled writes", history.doubled_writes.to_string()),
            ("stale session reads", history.stale_session_reads.to_string()),
            ("crossed answers", history.crossed_answers.to_string()),
            ("reads at replicas", format_value(share, " %")),
            ("failover gap", format_value(self.failover_gap_ms, " ms")),
            ("p50", format_value(self.p50_ms, " ms")),
            ("p99", format_value(self.p99_ms, " ms")),
            ("connections refused", self.connections_refused.to_string()),
        ];
        let mut text = String::new();
        for (name, value) in lines {
            text.push_str(&format!("  {name:<24}{value}\n"));
        }
        for reason in &self.not_run {
            text.push_str(&format!("  not run: {reason}\n"));
        }
        text
    }
}
