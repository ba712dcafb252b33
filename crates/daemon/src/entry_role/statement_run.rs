use std::{future::Future, pin::pin, rc::Rc, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{EntryView, QueueForecast, QueuedStatement, RestoreStep, SessionState},
    instances::InstanceKey,
    positions::LogPosition,
};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::{
    caller_admission::AdmissionCheck,
    database_pool::AcquireError,
    entry_shared::{EntryShared, LoadGuard, WriteGuard},
    pooled_link::PooledLink,
    primary_probe::probe_primary,
    request_trace::{RequestTrace, TraceStep},
    run_limits::{RunLimits, TriedUpstreams},
    upstream_choice::{UpstreamChoice, choose_upstream, has_time_left, is_still_usable},
    upstream_link::{AnswerEnd, LinkError, UpstreamAnswer, UpstreamLink, encode_steps},
};
use crate::edges::{
    CallerStatement, ForwardUrgency, SessionPhase, StatementAction, UpstreamCode, UpstreamCommand,
};

/// Time without an answer after which a primary is probed: longer than almost all
/// statements take, shorter than the usual timeouts.
const PROBE_AFTER: Duration = Duration::from_millis(300);
/// Time for which a read waits for one database, or any statement for a link to one
/// gateway, before it chooses again: another one may have become free or reached the
/// required position.
const REROUTE_INTERVAL: Duration = Duration::from_millis(40);
/// The same for a statement that one database must run, where routes have several
/// priorities: whether it can still be served is checked again.
const FORECAST_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before a database that refused a statement is tried again.
const BUSY_RETRY_PAUSE: Duration = Duration::from_millis(8);
/// Time for a database to roll back a transaction, after which its connection is
/// closed.
pub(super) const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed attempt to reach a database or gateway.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(20);

/// A connection assigned to a statement or transaction.
pub(super) struct AssignedConnection {
    pub(super) pooled: PooledLink,
    pub(super) service: Arc<str>,
    /// Number of the term, if the connection leads to the primary.
    pub(super) term_number: Option<u64>,
    /// Number of the term in which the positions in answers count as the primary's.
    sampled_term: Option<u64>,
    /// Position that a replica must have applied.
    pub(super) after: Option<LogPosition>,
    /// Sent to a gateway ahead of the first statement.
    urgency: Option<ForwardUrgency>,
    pub(super) _write_guard: Option<WriteGuard>,
}

impl AssignedConnection {
    /// A direct connection to a database that runs another host's statements. That
    /// host checks the term; `sampled_term` is the one in which the database is the
    /// primary as far as this host knows.
    pub(super) fn for_forward(
        pooled: PooledLink,
        service: Arc<str>,
        sampled_term: Option<u64>,
    ) -> Self {
        Self {
            pooled,
            service,
            term_number: None,
            sampled_term,
            after: None,
            urgency: None,
            _write_guard: None,
        }
    }

    /// The database, unless a gateway chooses it.
    pub(super) fn instance(&self) -> Option<&InstanceKey> {
        self.pooled.target().record().map(|record| &record.key)
    }

    /// Appends the urgency by which the gateway orders the next statement, if the
    /// connection leads through a gateway.
    pub(super) fn encode_urgency(&self, shared: &EntryShared, out: &mut Vec<u8>) {
        if let Some(urgency) = &self.urgency {
            shared.upstreams.encode_command(out, UpstreamCommand::Urgency(urgency));
        }
    }
}

/// Why no connection was assigned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AssignError {
    /// No connection became free in time.
    NoConnection,
    /// The statement cannot get a connection in time; its caller should wait for this long.
    Overloaded { retry_after: Duration },
    /// No primary became usable in time.
    NoPrimary,
    /// The service has no database that is or could become its primary.
    ServiceEmpty,
    /// This host is cut off from the control hosts; another one may serve the statement.
    CutOff,
    /// This host got no lease in time, without which it cannot check the caller's key.
    NoLease,
    /// The caller's key got a workspace while the statement waited without one.
    WorkspaceIntroduced,
    /// No workspace has the caller's key, or another one than before.
    UnknownKey,
}

/// Chooses a database that may run the statement, or a gateway that chooses it, and
/// acquires a connection. What is ruled out for further attempts is added to `tried`.
pub(super) async fn assign_connection(
    shared: &Rc<EntryShared>,
    limits: &RunLimits<'_>,
    tried: &mut TriedUpstreams,
    trace: &mut RequestTrace,
) -> Result<AssignedConnection, AssignError> {
    let service = &limits.route.service;
    let statement = QueuedStatement {
        arrived: limits.arrived,
        objective: limits.route.objective,
        priority: limits.route.priority,
    };
    loop {
        let now = shared.now();
        let changed = shared.changed.notified();
        let (pool, term_number, after) = match choose_upstream(shared, now, limits, tried) {
            UpstreamChoice::Gateway(pool) => (pool, None, limits.last_commit),
            UpstreamChoice::Use(record, term_number, after) => {
                (shared.pool(&record, limits.workspace()), term_number, after)
            }
            UpstreamChoice::Refuse(error) => {
                record_wait_for_primary(shared, now, service, trace);
                return Err(error);
            }
            UpstreamChoice::Wait => {
                record_wait_for_primary(shared, now, service, trace);
                if timeout_at(limits.deadline, changed).await.is_err() {
                    return Err(AssignError::NoPrimary);
                }
                continue;
            }
        };
        let instance = pool.target().record().map(|record| record.key.clone());
        let expected_ms = instance
            .as_ref()
            .map_or(0.0, |key| shared.view.borrow().loads.get(key).expected_ms(now));
        trace.record(
            now,
            TraceStep::Routed {
                target: pool.target().key(),
                gateway: pool.gateway(),
                term: term_number,
                after,
                expected_ms,
            },
        );
        let connect_deadline = limits.connect_deadline();
        // Another database, or another gateway, may have room or be reachable.
        let interval = match limits.may_reroute || pool.gateway().is_some() {
            true => Some(REROUTE_INTERVAL),
            false => has_priorities(shared, service).then_some(FORECAST_INTERVAL),
        };
        let recheck_at = interval.map(|interval| Instant::now() + interval);
        let until = recheck_at.map_or(connect_deadline, |at| at.min(connect_deadline));
        let workspace = limits.workspace();
        let forecast = pool.forecast(now, statement, workspace, connect_deadline);
        if let QueueForecast::Refuse { retry_after } = forecast {
            match instance.filter(|key| limits.may_reroute && !tried.instances.contains(key)) {
                Some(key) => tried.add(Some(&key)),
                None => {
                    pool.record_early_refusal(shared, statement.priority);
                    return Err(AssignError::Overloaded { retry_after });
                }
            }
            continue;
        }
        let load = instance.as_ref().map(|key| LoadGuard::start(shared, key));
        let acquired = pool.acquire(shared, statement, limits.workspace(), until).await;
        drop(load);
        let (at, got) = (shared.now(), acquired.is_ok());
        trace.record(at, TraceStep::Queued { waited: at.since(now), got });
        match acquired {
            Err(AcquireError::OutOfTime) if Instant::now() < connect_deadline => {
                if let Some(gateway) = pool.gateway() {
                    shared.record_gateway_answer(pool.target(), gateway, at.since(now), true);
                }
                continue;
            }
            Ok(pooled) => {
                if let (Some(term_number), Some(position)) = (term_number, pooled.position_at_open)
                {
                    let mut view = shared.view.borrow_mut();
                    view.record_primary_position(shared.now(), service, term_number, now, position);
                }
                if !has_time_left(shared, limits, instance.as_ref()) {
                    pooled.release();
                    return Err(AssignError::NoConnection);
                }
                if !is_still_usable(shared, service, term_number)
                    || limits.check_caller(shared, shared.now()) != AdmissionCheck::Valid
                {
                    pooled.release();
                    continue;
                }
                if !limits.writes && instance.is_some() {
                    shared.metrics.count_read(term_number.is_some());
                }
                let guard = term_number.map(|term_number| shared.begin_write(service, term_number));
                let guard = guard.filter(|_| limits.writes);
                let read = limits.read_terms(tried).filter(|_| instance.is_none());
                let urgency = pooled.gateway().map(|_| limits.urgency(shared.now(), read));
                let service = service.clone();
                return Ok(AssignedConnection {
                    pooled,
                    service,
                    term_number,
                    sampled_term: term_number,
                    after,
                    urgency,
                    _write_guard: guard,
                });
            }
            Err(AcquireError::OutOfTime) => {
                pool.log_exhausted(&trace.id);
                return Err(AssignError::NoConnection);
            }
            Err(AcquireError::Misrouted | AcquireError::Unreachable)
                if pool.gateway().is_some() =>
            {
                pool.gateway().into_iter().for_each(|gateway| shared.avoid_gateway(gateway));
                if instance.is_none() {
                    tried.add(None);
                }
                sleep(UNREACHABLE_PAUSE).await;
                if Instant::now() >= limits.deadline {
                    return Err(AssignError::NoConnection);
                }
                continue;
            }
            Err(error) => {
                let failed_term = term_number.filter(|_| error == AcquireError::Unreachable);
                instance.iter().for_each(|key| record_failure(shared, key, failed_term, service));
            }
        }
        match term_number {
            Some(_) => sleep(UNREACHABLE_PAUSE).await,
            None => tried.add(instance.as_ref()),
        }
        if Instant::now() >= limits.deadline {
            return Err(AssignError::NoConnection);
        }
    }
}

/// True if the routes of a service have several priorities.
pub(super) fn has_priorities(shared: &EntryShared, service: &str) -> bool {
    shared.view.borrow().urgent_priority(service).is_some()
}

/// Records that no primary may be used, unless that was the last recorded step.
fn record_wait_for_primary(
    shared: &EntryShared,
    now: Moment,
    service: &str,
    trace: &mut RequestTrace,
) {
    if trace.waits_for_primary() {
        return;
    }
    let view = shared.view.borrow();
    let term = view.term(service).map(|term| term.number);
    trace.record(now, TraceStep::WaitedForPrimary { has_lease: view.has_lease(now), term });
}

/// Records that a database closed the connection, did not answer or could not be
/// reached, and probes it if it is the primary of a term.
pub(super) fn record_failure(
    shared: &Rc<EntryShared>,
    key: &InstanceKey,
    term_number: Option<u64>,
    service: &Arc<str>,
) {
    shared.view.borrow_mut().loads.record_unreachable(shared.now(), key);
    if let Some(term_number) = term_number {
        probe_primary(shared, service, term_number);
    }
}

/// Sends `out` over a connection and reads the answer until `deadline`. Updates the
/// latency, load and position of the database that later choices are based on.
pub(super) async fn run_exchange(
    shared: &Rc<EntryShared>,
    connection: &mut AssignedConnection,
    out: &[u8],
    restore_count: usize,
    deadline: Instant,
    trace: &mut RequestTrace,
) -> Result<UpstreamAnswer, LinkError> {
    let target = connection.pooled.target().clone();
    let key = target.record().map(|record| &record.key);
    let (service, term_number) = (connection.service.clone(), connection.term_number);
    let Some(link) = connection.pooled.link() else {
        return Err(LinkError::Broken);
    };
    let sent_at = shared.now();
    let mut load = key.map(|key| LoadGuard::start(shared, key));
    let exchange = link.exchange(&*shared.upstreams, out, restore_count);
    let result = watch_exchange(shared, &service, term_number, deadline, exchange).await;
    let now = shared.now();
    let sent = TraceStep::Sent {
        target: target.key(),
        took: now.since(sent_at),
        result: result_name(&result),
    };
    trace.record(now, sent);
    if let Ok(answer) = &result {
        let busy = answer.end == AnswerEnd::Refused(UpstreamCode::Busy);
        connection.pooled.record_answer(busy, now.since(sent_at));
        if let Some(gateway) = connection.pooled.gateway() {
            shared.record_gateway_answer(&target, gateway, now.since(sent_at), busy);
        }
    }
    load.iter_mut().for_each(|load| load.latency = result.is_ok().then(|| now.since(sent_at)));
    drop(load);
    if let Some(key) = key {
        let mut view = shared.view.borrow_mut();
        if let Ok(answer) = &result {
            record_answer(&mut view, now, key, answer);
            if let Some((term, position)) = connection.sampled_term.zip(answer.position) {
                view.record_primary_position(now, &service, term, sent_at, position);
            }
        }
    }
    match (&result, connection.pooled.gateway(), key) {
        (Err(LinkError::Broken), Some(gateway), _)
        | (Err(LinkError::TimedOut), Some(gateway), None) => shared.avoid_gateway(gateway),
        (Err(LinkError::Broken | LinkError::TimedOut), _, Some(key)) => {
            record_failure(shared, key, term_number, &service);
        }
        _ => {}
    }
    result
}

/// Records what an answer tells about the health and position of its database.
fn record_answer(view: &mut EntryView, now: Moment, key: &InstanceKey, answer: &UpstreamAnswer) {
    match answer.end {
        AnswerEnd::Done => view.loads.record_result(now, key, false),
        AnswerEnd::Refused(UpstreamCode::Failed) => view.loads.record_result(now, key, true),
        AnswerEnd::Refused(_) => {}
    }
    if let Some(position) = answer.position {
        view.loads.record_position(key, position);
    }
}

fn result_name(result: &Result<UpstreamAnswer, LinkError>) -> &'static str {
    match result {
        Ok(answer) => match answer.end {
            AnswerEnd::Done => "done",
            AnswerEnd::Refused(code) => code.name(),
        },
        Err(LinkError::Broken) => "connection broken",
        Err(LinkError::TimedOut) => "no answer in time",
        Err(LinkError::TermChanged) => "primary replaced",
    }
}

/// Waits for an answer until `deadline`. Probes a primary that is slow to answer,
/// and fails with `TermChanged` if it was replaced.
async fn watch_exchange(
    shared: &Rc<EntryShared>,
    service: &Arc<str>,
    term_number: Option<u64>,
    deadline: Instant,
    exchange: impl Future<Output = Result<UpstreamAnswer, LinkError>>,
) -> Result<UpstreamAnswer, LinkError> {
    let mut exchange = pin!(exchange);
    let mut probe_at = term_number.map(|_| Instant::now() + PROBE_AFTER);
    loop {
        let wake_at = probe_at.map_or(deadline, |at| at.min(deadline));
        tokio::select! {
            biased;
            result = &mut exchange => return result,
            () = sleep_until(wake_at) => match (probe_at.take(), term_number) {
                (Some(at), Some(term_number)) if at < deadline => {
                    probe_primary(shared, service, term_number);
                }
                _ => return Err(LinkError::TimedOut),
            },
            () = shared.changed.notified(), if term_number.is_some() => {
                let view = shared.view.borrow();
                let term = view.term(service);
                let current = term_number.is_some_and(|term_number| {
                    term.is_some_and(|term| term.accepts_answers(term_number))
                });
                if !current {
                    return Err(LinkError::TermChanged);
                }
            }
        }
    }
}

/// Appends the statements that restore the session state, then the BEGIN of a
/// transaction; returns the number of restoring statements.
pub(super) fn encode_begin(
    shared: &EntryShared,
    link: &mut UpstreamLink,
    session: &SessionState,
    read_only: bool,
    after: Option<LogPosition>,
    out: &mut Vec<u8>,
) -> usize {
    let protocol = &*shared.upstreams;
    let steps = link.state.restore_values(session);
    encode_steps(protocol, out, &steps);
    protocol.encode_command(out, UpstreamCommand::Begin { read_only, after });
    steps.len()
}

/// Appends the statements that restore the session state, then the statement;
/// returns the number of restoring statements.
pub(super) fn encode_statement(
    shared: &EntryShared,
    link: &mut UpstreamLink,
    session: &SessionState,
    statement: &CallerStatement,
    after: Option<LogPosition>,
    out: &mut Vec<u8>,
) -> usize {
    let protocol = &*shared.upstreams;
    let mut steps: Vec<RestoreStep> = link.state.restore_values(session);
    let id = &statement.id;
    let StatementAction::Execute { name, arguments } = &statement.action else {
        encode_steps(protocol, out, &steps);
        let text = &statement.text;
        protocol.encode_command(out, UpstreamCommand::Statement { id, after, text });
        return steps.len();
    };
    let Some(prepared) = session.prepared.get(name) else {
        // Unreachable: unknown names are refused before this function is called.
        return steps.len();
    };
    let (name, step) = link.state.prepared_name(prepared);
    steps.extend(step);
    encode_steps(protocol, out, &steps);
    let name = &*name;
    protocol.encode_command(out, UpstreamCommand::Execute { id, after, name, arguments });
    steps.len()
}

/// Rolls back a transaction in a background task.
pub(super) fn spawn_rollback(shared: &Rc<EntryShared>, mut connection: AssignedConnection) {
    if shared.cancel.is_cancelled() {
        // Dropping the connection closes it, and the database rolls back.
        return;
    }
    let task = shared.clone();
    shared.tasks.spawn_local(async move {
        let mut out = Vec::new();
        task.upstreams.encode_command(&mut out, UpstreamCommand::Rollback);
        let deadline = Instant::now() + ROLLBACK_TIMEOUT;
        let mut trace = RequestTrace::new(b"-", task.now());
        let answer = run_exchange(&task, &mut connection, &out, 0, deadline, &mut trace).await;
        if answer.is_ok_and(|answer| answer.phase == SessionPhase::Idle) {
            connection.pooled.release();
        }
    });
}

/// Pauses before a retry at a database that refused a statement; returns false at
/// once if the pause would reach `deadline`.
pub(super) async fn pause_before_retry(shared: &EntryShared, deadline: Instant) -> bool {
    // The low bits of the boot clock serve as jitter, which spreads the retries of
    // the hosts.
    let jitter = Duration::from_micros(shared.now().as_micros() % 8_000);
    let until = Instant::now() + BUSY_RETRY_PAUSE + jitter;
    if until >= deadline {
        return false;
    }
    sleep_until(until).await;
    true
}
