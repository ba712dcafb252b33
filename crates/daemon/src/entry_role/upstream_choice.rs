use std::rc::Rc;

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::{PrimaryAvailability, ReadTarget},
    instances::{InstanceKey, InstanceRecord},
    positions::LogPosition,
    routes::RouteKind,
};
use tokio::time::Instant;

use super::{
    caller_admission::AdmissionCheck,
    database_pool::DatabasePool,
    entry_shared::EntryShared,
    run_limits::{RunLimits, TriedUpstreams},
    statement_run::AssignError,
};

/// A statement is sent only if its timeout divided by this number remains, unless
/// its database usually answers sooner.
const MIN_TIME_DIVISOR: u32 = 4;
/// Where a statement may run.
pub(super) enum UpstreamChoice {
    /// At this database: in this term if it is the primary, else once it has applied
    /// the position.
    Use(InstanceRecord, Option<u64>, Option<LogPosition>),
    /// Where the gateway of this pool decides.
    Gateway(Rc<DatabasePool>),
    /// Nowhere until the primary is replaced or the lease renewed.
    Wait,
    /// Not here, or nowhere until another database joins the service.
    Refuse(AssignError),
}

/// Chooses where a statement may run now.
pub(super) fn choose_upstream(
    shared: &EntryShared,
    now: Moment,
    limits: &RunLimits<'_>,
    tried: &TriedUpstreams,
) -> UpstreamChoice {
    match limits.check_caller(shared, now) {
        AdmissionCheck::Valid => {}
        AdmissionCheck::Wait => return UpstreamChoice::Wait,
        AdmissionCheck::Refuse(error) => return UpstreamChoice::Refuse(error),
    }
    let service = &limits.route.service;
    let needs_primary = limits.needs_primary || limits.route.kind == RouteKind::Primary;
    if !needs_primary
        && !limits.forwarded
        && tried.gateways.may_use_gateway()
        && let Some(pool) = shared.service_pool(service, limits.workspace())
    {
        return UpstreamChoice::Gateway(pool);
    }
    let view = shared.view.borrow();
    if !needs_primary {
        let requirement = view.read_requirement(now, limits.route, limits.last_commit);
        if let ReadTarget::Replica { record, position } =
            view.read_target(now, service, requirement, &tried.instances)
        {
            return UpstreamChoice::Use(record, None, Some(position));
        }
    }
    match view.primary(now, service) {
        PrimaryAvailability::Usable { record, number: term_number } => {
            UpstreamChoice::Use(record, Some(term_number), None)
        }
        PrimaryAvailability::Unavailable => UpstreamChoice::Wait,
        PrimaryAvailability::CutOff => UpstreamChoice::Refuse(AssignError::CutOff),
        PrimaryAvailability::Missing => UpstreamChoice::Refuse(AssignError::ServiceEmpty),
    }
}

/// True if the database will probably answer in time. A statement that is sent with
/// too little time left for an answer can only end with an unknown outcome.
pub(super) fn has_time_left(
    shared: &EntryShared,
    limits: &RunLimits<'_>,
    key: Option<&InstanceKey>,
) -> bool {
    let left = limits.deadline.saturating_duration_since(Instant::now());
    let load = key.map(|key| shared.view.borrow().loads.get(key)).unwrap_or_default();
    let usual = load.usual_latency();
    left >= usual.min(limits.route.timeout / MIN_TIME_DIVISOR)
}

/// True for replicas, and for a primary whose term is still the usable one.
pub(super) fn is_still_usable(
    shared: &EntryShared,
    service: &str,
    term_number: Option<u64>,
) -> bool {
    let Some(term_number) = term_number else {
        return true;
    };
    let usable = shared.view.borrow().primary(shared.now(), service);
    matches!(usable, PrimaryAvailability::Usable { number: current, .. } if current == term_number)
}
