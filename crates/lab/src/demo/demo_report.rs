use serde::{Deserialize, Serialize};

use crate::history::HistoryReport;

/// What the demo found. Figures that were not measured are `null`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemoReport {
    /// Counts from the recorded history.
    #[serde(flatten)]
    pub history: HistoryReport,
    /// Reads that replicas served, as the databases counted them.
    pub replica_read_share: Option<f64>,
    /// Time from the primary's failure to the first write sent after it and
    /// acknowledged, in milliseconds.
    pub failover_gap_ms: Option<f64>,
    /// Median time of an answer, in milliseconds.
    pub p50_ms: Option<f64>,
    /// 99th percentile of the time of an answer, in milliseconds.
    pub p99_ms: Option<f64>,
    /// Requests that were refused or left open by the draining daemon.
    pub drain_failures: Option<u64>,
    /// Connections that databases refused for their limit.
    pub connections_refused: u64,
    /// Parts that did not run, with the reason.
    pub not_run: Vec<String>,
}

impl DemoReport {
    /// True if no promise was broken.
    pub fn keeps_promises(&self) -> bool {
        let history = &self.history;
        history.lost_writes == 0
            && history.doubled_writes == 0
            && history.stale_session_reads == 0
            && history.crossed_answers == 0
            && self.not_run.is_empty()
    }

    /// The report for people.
    pub fn to_text(&self) -> String {
        let history = &self.history;
        let figure = |value: Option<f64>, unit: &str| match value {
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
            ("reads at replicas", figure(share, " %")),
            ("failover gap", figure(self.failover_gap_ms, " ms")),
            ("p50", figure(self.p50_ms, " ms")),
            ("p99", figure(self.p99_ms, " ms")),
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
