use std::{future::Future, pin::pin, rc::Rc, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{PrimaryAvailability, QueuedStatement, ReadTarget, RestoreStep, SessionState},
    instances::{InstanceKey, InstanceRecord},
    positions::LogPosition,
    routes::{RouteKind, RouteRule},
};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::{
    database_pool::{AcquireError, PooledLink},
    entry_shared::{EntryShared, WriteGuard},
    primary_probe::probe_primary,
    request_trace::{RequestTrace, TraceStep},
    upstream_link::{AnswerEnd, LinkError, UpstreamAnswer, UpstreamLink, encode_steps},
};
use crate::edges::{
    CallerStatement, ForwardUrgency, SessionPhase, StatementAction, UpstreamCode, UpstreamCommand,
};

/// Time without an answer after which a primary is probed: longer than nearly
/// all statements, shorter than the usual timeouts.
const PROBE_AFTER: Duration = Duration::from_millis(300);
/// Time for which a read waits for one database before the choice is made
/// again: others may have become free, or may hold the position by now.
const MOVE_AFTER: Duration = Duration::from_millis(40);
/// Part of its timeout that a statement must have left to be sent, unless its
/// database usually answers sooner.
const SHORTEST_TIME_PART: u32 = 4;
/// Pause before a database that had no room is asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(8);
/// Time for a database to roll a transaction back before its connection is
/// closed instead.
pub(super) const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a database could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(20);

/// A connection to run on, and in which term if it is the primary's.
pub(super) struct RunPlace {
    pub(super) link: PooledLink,
    pub(super) service: Arc<str>,
    /// The term if the connection leads to the primary.
    pub(super) number: Option<u64>,
    /// Position that a replica must hold.
    pub(super) after: Option<LogPosition>,
    /// What a home is told before the first statement.
    urgency: Option<ForwardUrgency>,
    pub(super) _guard: Option<WriteGuard>,
}

impl RunPlace {
    /// A connection of this host's own to a database, for another host.
    pub(super) fn for_forward(link: PooledLink, service: Arc<str>) -> Self {
        Self { link, service, number: None, after: None, urgency: None, _guard: None }
    }

    /// Appends what the home needs to order the next statement, if there is one
    /// on the way.
    pub(super) fn encode_urgency(&self, shared: &EntryShared, out: &mut Vec<u8>) {
        if let Some(urgency) = self.urgency {
            shared.upstreams.encode_command(out, UpstreamCommand::Urgency(urgency));
        }
    }
}

/// Why there is no place to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoPlace {
    /// The time was up before a connection was had.
    NoConnection,
    /// The time was up before the primary could be used.
    NoPrimary,
}

/// What a statement may use until when.
pub(super) struct RunLimits<'a> {
    pub(super) route: &'a RouteRule,
    /// Since when the caller has waited, as far as this host can tell.
    pub(super) arrived: Moment,
    pub(super) deadline: Instant,
    pub(super) needs_primary: bool,
    /// Another database may turn out better while it waits for one.
    pub(super) may_move: bool,
    pub(super) writes: bool,
    pub(super) last_commit: Option<LogPosition>,
}

impl RunLimits<'_> {
    /// Until when it waits for a connection. What waited for half of its time
    /// was overtaken by newer statements all the while; its caller does better
    /// to know now, with time for another attempt.
    fn connect_by(&self) -> Instant {
        self.deadline - self.route.timeout / 2
    }

    fn urgency(&self, now: Moment) -> ForwardUrgency {
        ForwardUrgency {
            priority: self.route.priority,
            objective: self.route.objective,
            waited: now.since(self.arrived),
        }
    }
}

/// Finds a database that may run the statement, and a connection to it.
pub(super) async fn find_place(
    shared: &Rc<EntryShared>,
    limits: &RunLimits<'_>,
    tried: &mut Vec<InstanceKey>,
    trace: &mut RequestTrace,
) -> Result<RunPlace, NoPlace> {
    let service = &limits.route.service;
    let statement = QueuedStatement {
        arrived: limits.arrived,
        objective: limits.route.objective,
        priority: limits.route.priority,
    };
    loop {
        let now = shared.now();
        let changed = shared.changed.notified();
        let (record, number, after) = match choose(shared, now, limits, tried) {
            Some(choice) => choice,
            None => {
                note_no_primary(shared, now, service, trace);
                if timeout_at(limits.deadline, changed).await.is_err() {
                    return Err(NoPlace::NoPrimary);
                }
                continue;
            }
        };
        let expected_ms = shared.view.borrow().loads.get(&record.key).expected_ms(now);
        let instance = record.key.clone();
        trace.note(now, TraceStep::Routed { instance, term: number, after, expected_ms });
        let pool = shared.pool(&record);
        let connect_by = limits.connect_by();
        let until = match limits.may_move {
            true => connect_by.min(Instant::now() + MOVE_AFTER),
            false => connect_by,
        };
        shared.view.borrow_mut().loads.record_start(&record.key);
        let acquired = pool.acquire(shared, statement, until).await;
        shared.view.borrow_mut().loads.record_finish(&record.key, None);
        let (at, got) = (shared.now(), acquired.is_ok());
        trace.note(at, TraceStep::Queued { waited: at.since(now), got });
        match acquired {
            Err(AcquireError::OutOfTime) if Instant::now() < connect_by => continue,
            Ok(link) => {
                if let (Some(number), Some(position)) = (number, link.opened_at) {
                    let mut view = shared.view.borrow_mut();
                    view.record_primary_position(shared.now(), service, number, now, position);
                }
                if !has_time(shared, limits, &record.key) {
                    link.release();
                    return Err(NoPlace::NoConnection);
                }
                if !still_usable(shared, service, number) {
                    link.release();
                    continue;
                }
                if !limits.writes {
                    shared.metrics.count_read(number.is_some());
                }
                let guard = number.map(|number| shared.begin_write(service, number));
                let guard = guard.filter(|_| limits.writes);
                let urgency = link.home().map(|_| limits.urgency(shared.now()));
                let service = service.clone();
                return Ok(RunPlace { link, service, number, after, urgency, _guard: guard });
            }
            Err(AcquireError::OutOfTime) => {
                pool.log_exhausted(&trace.id);
                return Err(NoPlace::NoConnection);
            }
            Err(AcquireError::Misrouted | AcquireError::Unreachable) if pool.home().is_some() => {
                pool.home().into_iter().for_each(|home| shared.avoid_home(home));
                sleep(UNREACHABLE_PAUSE).await;
                if Instant::now() >= limits.deadline {
                    return Err(NoPlace::NoConnection);
                }
                continue;
            }
            Err(AcquireError::Misrouted) => note_failure(shared, &record.key, None, service),
            Err(AcquireError::Unreachable) => note_failure(shared, &record.key, number, service),
        }
        match number {
            Some(_) => sleep(UNREACHABLE_PAUSE).await,
            None => tried.push(record.key),
        }
        if Instant::now() >= limits.deadline {
            return Err(NoPlace::NoConnection);
        }
    }
}

/// Notes once in a row that no primary may be used.
fn note_no_primary(shared: &EntryShared, now: Moment, service: &str, trace: &mut RequestTrace) {
    if trace.waits_for_primary() {
        return;
    }
    let view = shared.view.borrow();
    let term = view.term(service).map(|term| term.number);
    trace.note(now, TraceStep::WaitedForPrimary { has_lease: view.has_lease(now), term });
}

type DatabaseChoice = (InstanceRecord, Option<u64>, Option<LogPosition>);

fn choose(
    shared: &EntryShared,
    now: Moment,
    limits: &RunLimits<'_>,
    tried: &[InstanceKey],
) -> Option<DatabaseChoice> {
    let view = shared.view.borrow();
    let service = &limits.route.service;
    if !limits.needs_primary && limits.route.kind != RouteKind::Primary {
        let need = view.read_requirement(now, limits.route, limits.last_commit);
        if let ReadTarget::Replica { record, position } =
            view.read_target(now, service, need, tried)
        {
            return Some((record, None, Some(position)));
        }
    }
    match view.primary(now, service) {
        PrimaryAvailability::Usable { record, number } => Some((record, Some(number), None)),
        PrimaryAvailability::Unavailable => None,
    }
}

/// True if the database will probably answer in time. A statement that is sent
/// without time for an answer can only end in doubt.
fn has_time(shared: &EntryShared, limits: &RunLimits<'_>, key: &InstanceKey) -> bool {
    let left = limits.deadline.saturating_duration_since(Instant::now());
    let usual = shared.view.borrow().loads.get(key).usual_latency();
    left >= usual.min(limits.route.timeout / SHORTEST_TIME_PART)
}

/// True if the primary of the term may still be used; replicas always may.
fn still_usable(shared: &EntryShared, service: &str, number: Option<u64>) -> bool {
    let Some(number) = number else {
        return true;
    };
    let usable = shared.view.borrow().primary(shared.now(), service);
    matches!(usable, PrimaryAvailability::Usable { number: current, .. } if current == number)
}

/// Notes that a database broke off or could not be reached.
pub(super) fn note_failure(
    shared: &Rc<EntryShared>,
    key: &InstanceKey,
    number: Option<u64>,
    service: &Arc<str>,
) {
    shared.view.borrow_mut().loads.record_unreachable(shared.now(), key);
    if let Some(number) = number {
        probe_primary(shared, service, number);
    }
}

/// Runs one exchange at a place until `deadline`, and learns from the answer.
pub(super) async fn run_at(
    shared: &Rc<EntryShared>,
    place: &mut RunPlace,
    out: &[u8],
    restoring: usize,
    deadline: Instant,
    trace: &mut RequestTrace,
) -> Result<UpstreamAnswer, LinkError> {
    let key = place.link.record().key.clone();
    let (service, number) = (place.service.clone(), place.number);
    let Some(link) = place.link.link() else {
        return Err(LinkError::Broken);
    };
    let sent_at = shared.now();
    shared.view.borrow_mut().loads.record_start(&key);
    let exchange = link.exchange(&*shared.upstreams, out, restoring);
    let result = watch_exchange(shared, &service, number, deadline, exchange).await;
    let now = shared.now();
    let sent = TraceStep::Sent {
        instance: key.clone(),
        took: now.since(sent_at),
        result: result_name(&result),
    };
    trace.note(now, sent);
    if let Ok(answer) = &result {
        let busy = answer.end == AnswerEnd::Refused(UpstreamCode::Busy);
        place.link.note_answer(busy);
        if let Some(home) = place.link.home() {
            shared.note_home(&key, home, now.since(sent_at), busy);
        }
    }
    let mut view = shared.view.borrow_mut();
    view.loads.record_finish(&key, result.is_ok().then(|| now.since(sent_at)));
    if let Ok(answer) = &result {
        match answer.end {
            AnswerEnd::Done => view.loads.record_result(now, &key, false),
            AnswerEnd::Refused(UpstreamCode::Failed) => view.loads.record_result(now, &key, true),
            AnswerEnd::Refused(_) => {}
        }
        if let Some(position) = answer.position {
            view.loads.record_position(&key, position);
            if let Some(number) = number {
                view.record_primary_position(now, &service, number, sent_at, position);
            }
        }
    }
    drop(view);
    if let (Err(LinkError::Broken), Some(home)) = (&result, place.link.home()) {
        shared.avoid_home(home);
    } else if matches!(result, Err(LinkError::Broken | LinkError::TimedOut)) {
        note_failure(shared, &key, number, &service);
    }
    result
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

/// Waits for an answer; probes a primary that is slow to answer, and gives up
/// on one that was replaced.
async fn watch_exchange(
    shared: &Rc<EntryShared>,
    service: &Arc<str>,
    number: Option<u64>,
    deadline: Instant,
    exchange: impl Future<Output = Result<UpstreamAnswer, LinkError>>,
) -> Result<UpstreamAnswer, LinkError> {
    let mut exchange = pin!(exchange);
    let mut probe_at = number.map(|_| Instant::now() + PROBE_AFTER);
    loop {
        let wake_at = probe_at.map_or(deadline, |at| at.min(deadline));
        tokio::select! {
            biased;
            result = &mut exchange => return result,
            () = sleep_until(wake_at) => match (probe_at.take(), number) {
                (Some(at), Some(number)) if at < deadline => {
                    probe_primary(shared, service, number);
                }
                _ => return Err(LinkError::TimedOut),
            },
            () = shared.changed.notified(), if number.is_some() => {
                let view = shared.view.borrow();
                let term = view.term(service);
                let current = number.is_some_and(|number| {
                    term.is_some_and(|term| term.accepts_answers(number))
                });
                if !current {
                    return Err(LinkError::TermChanged);
                }
            }
        }
    }
}

/// Appends what restores the session, then the begin of a transaction; returns
/// how many statements come before it.
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

/// Appends what restores the session, then the statement; returns how many
/// statements come before it.
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
        // The caller's session refuses unknown names before it comes here.
        return steps.len();
    };
    let (name, step) = link.state.prepared_name(prepared);
    steps.extend(step);
    encode_steps(protocol, out, &steps);
    let name = &*name;
    protocol.encode_command(out, UpstreamCommand::Execute { id, after, name, arguments });
    steps.len()
}

/// Rolls a transaction back at its database, without making anyone wait.
pub(super) fn roll_back_place(shared: &Rc<EntryShared>, mut place: RunPlace) {
    if shared.cancel.is_cancelled() {
        // The database rolls back when the connection closes.
        return;
    }
    let task = shared.clone();
    shared.tasks.spawn_local(async move {
        let mut out = Vec::new();
        task.upstreams.encode_command(&mut out, UpstreamCommand::Rollback);
        let deadline = Instant::now() + ROLLBACK_TIMEOUT;
        let mut trace = RequestTrace::new(b"-", task.now());
        let answer = run_at(&task, &mut place, &out, 0, deadline, &mut trace).await;
        if answer.is_ok_and(|answer| answer.phase == SessionPhase::Idle) {
            place.link.release();
        }
    });
}

/// Waits before a database without room is asked again; false if the time is
/// up.
pub(super) async fn pause_busy(shared: &EntryShared, deadline: Instant) -> bool {
    // The boot clock's low bits spread the hosts' attempts.
    let jitter = Duration::from_micros(shared.now().as_micros() % 8_000);
    let until = Instant::now() + BUSY_PAUSE + jitter;
    if until >= deadline {
        return false;
    }
    sleep_until(until).await;
    true
}
