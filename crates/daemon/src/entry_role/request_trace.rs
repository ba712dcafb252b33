use std::{cell::Cell, time::Duration};

use hawthornstack_decisions::{clock::Moment, identity::HostId, positions::LogPosition};

use super::pool_target::TargetKey;
use crate::metrics::HostMetrics;

/// One in this many ordinary statements is logged with all its steps.
const SAMPLE_INTERVAL: u64 = 1_024;
/// Limit for log lines about statements, per host.
const MAX_LINES_PER_SECOND: u32 = 200;

/// A step in the handling of a statement, with the values that it was based on.
#[derive(Debug, Clone)]
pub(super) enum TraceStep {
    /// A database was chosen, or a gateway that chooses it.
    Routed {
        target: TargetKey,
        gateway: Option<HostId>,
        /// Number of the term, if the database is the primary.
        term: Option<u64>,
        /// Position that a replica must have applied.
        after: Option<LogPosition>,
        /// Expected time to an answer, in milliseconds.
        expected_ms: f64,
    },
    /// No primary may be used: this host has no lease, or the primary is being
    /// replaced.
    WaitedForPrimary { has_lease: bool, term: Option<u64> },
    /// The statement waited for a connection; `got` if it was given one.
    Queued { waited: Duration, got: bool },
    /// The statement was sent; `result` says how the exchange ended.
    Sent { target: TargetKey, took: Duration, result: &'static str },
    /// Another attempt follows.
    Retried { reason: &'static str },
}

/// Summary of a finished statement for metrics and the log.
#[derive(Debug, Clone, Copy)]
pub(super) struct TraceEnd<'a> {
    pub(super) database: &'a str,
    pub(super) route_kind: &'static str,
    pub(super) action: &'static str,
    pub(super) outcome: &'static str,
    pub(super) hint: &'static str,
    pub(super) objective: Duration,
    pub(super) routes_version: u64,
    pub(super) lease_ms: u64,
}

/// The steps of one statement. They are logged only if it failed, was retried,
/// missed its objective or is sampled, so that an ordinary statement costs only a
/// few words of memory.
#[derive(Debug)]
pub(super) struct RequestTrace {
    pub(super) id: String,
    began: Moment,
    steps: Vec<(Moment, TraceStep)>,
    retried: bool,
    /// The last routing step chose the same database again and was not recorded.
    repeats_choice: bool,
}

/// Rate limit and sampling of the log lines about statements.
#[derive(Debug, Default)]
pub(super) struct TraceBudget {
    second: Cell<u64>,
    written: Cell<u32>,
    left_out: Cell<u64>,
    count: Cell<u64>,
}

impl TraceBudget {
    /// True if `lines` more lines may be logged in this second; otherwise counts
    /// them as left out.
    fn reserve_lines(&self, now: Moment, lines: u32, metrics: &HostMetrics) -> bool {
        let second = now.as_micros() / 1_000_000;
        if second != self.second.replace(second) {
            self.written.set(0);
            let left_out = self.left_out.replace(0);
            if left_out > 0 {
                tracing::warn!(target: "log", kind = "request", left_out, "lines left out");
            }
        }
        if self.written.get() + lines <= MAX_LINES_PER_SECOND {
            self.written.set(self.written.get() + lines);
            return true;
        }
        self.left_out.set(self.left_out.get() + u64::from(lines));
        metrics.count_left_out("request", u64::from(lines));
        false
    }

    fn is_sample(&self) -> bool {
        self.count.set(self.count.get() + 1);
        self.count.get().is_multiple_of(SAMPLE_INTERVAL)
    }
}

impl RequestTrace {
    pub(super) fn new(id: &[u8], began: Moment) -> Self {
        let id = String::from_utf8_lossy(id).into_owned();
        Self { id, began, steps: Vec::new(), retried: false, repeats_choice: false }
    }

    /// True if the last recorded step is a wait for a primary.
    pub(super) fn waits_for_primary(&self) -> bool {
        matches!(self.steps.last(), Some((_, TraceStep::WaitedForPrimary { .. })))
    }

    /// True if the statement was sent over a connection.
    pub(super) fn reached_database(&self) -> bool {
        self.steps.iter().any(|(_, step)| matches!(step, TraceStep::Sent { .. }))
    }

    pub(super) fn record(&mut self, now: Moment, step: TraceStep) {
        if self.merge_into_last(&step) {
            return;
        }
        self.retried |= matches!(step, TraceStep::Retried { .. });
        self.steps.push((now, step));
    }

    /// Merges the step into the last one if a read chose the same database again:
    /// both waits count as one.
    fn merge_into_last(&mut self, step: &TraceStep) -> bool {
        let [.., (_, TraceStep::Routed { target: before, .. }), (_, last)] = &mut *self.steps
        else {
            return false;
        };
        let TraceStep::Queued { waited, got } = last else {
            return false;
        };
        match step {
            TraceStep::Routed { target, .. } => {
                let same = !*got && target == before;
                self.repeats_choice = same;
                same
            }
            TraceStep::Queued { waited: more, got: now_got } if self.repeats_choice => {
                *waited += *more;
                *got = *now_got;
                self.repeats_choice = false;
                true
            }
            _ => false,
        }
    }

    /// Ends the trace: updates the metrics, and logs the steps unless the statement
    /// was ordinary and not sampled, or the rate limit is reached.
    pub(super) fn finish(
        self,
        now: Moment,
        end: TraceEnd<'_>,
        budget: &TraceBudget,
        metrics: &HostMetrics,
    ) {
        let took = now.since(self.began);
        metrics.count_statement(end.route_kind, end.outcome, took.as_secs_f64());
        for (_, step) in &self.steps {
            match step {
                TraceStep::Queued { waited, .. } => {
                    metrics.record_stage("queue", waited.as_secs_f64());
                }
                TraceStep::Sent { took, .. } => {
                    metrics.record_stage("database", took.as_secs_f64())
                }
                TraceStep::Retried { reason } => metrics.count_retry(reason),
                TraceStep::Routed { .. } | TraceStep::WaitedForPrimary { .. } => {}
            }
        }
        let is_ordinary = end.outcome == "served" && !self.retried && took <= end.objective;
        if is_ordinary && !budget.is_sample() {
            return;
        }
        if !budget.reserve_lines(now, self.steps.len() as u32 + 1, metrics) {
            return;
        }
        for (at, step) in &self.steps {
            self.write_step(*at, step);
        }
        tracing::info!(
            target: "request",
            request = self.id,
            at_ms = rounded_ms(took),
            database = end.database,
            kind = end.route_kind,
            action = end.action,
            outcome = end.outcome,
            hint = end.hint,
            routes_version = end.routes_version,
            lease_ms = end.lease_ms,
            "answered"
        );
    }

    fn write_step(&self, at: Moment, step: &TraceStep) {
        let request = &*self.id;
        let at_ms = rounded_ms(at.since(self.began));
        match step {
            TraceStep::Routed { target: instance, gateway, term, after, expected_ms } => {
                let after = after.map(|after| after.to_string()).unwrap_or_default();
                let gateway = gateway.map(|gateway| gateway.to_string()).unwrap_or_default();
                tracing::info!(
                    target: "request", request, at_ms, %instance, gateway, term, after, expected_ms,
                    "routed"
                );
            }
            TraceStep::WaitedForPrimary { has_lease, term } => {
                tracing::info!(target: "request", request, at_ms, has_lease, term, "no primary");
            }
            TraceStep::Queued { waited, got } => {
                let waited_ms = rounded_ms(*waited);
                tracing::info!(target: "request", request, at_ms, waited_ms, got, "waited");
            }
            TraceStep::Sent { target: instance, took, result } => {
                let took_ms = rounded_ms(*took);
                tracing::info!(target: "request", request, at_ms, %instance, took_ms, result, "sent");
            }
            TraceStep::Retried { reason } => {
                tracing::info!(target: "request", request, at_ms, reason, "retried");
            }
        }
    }
}

/// Milliseconds, rounded to tenths.
fn rounded_ms(time: Duration) -> f64 {
    (time.as_secs_f64() * 10_000.0).round() / 10.0
}
