use crate::{
    clock::Moment,
    directory::{DatabaseRole, DatabaseView},
    identity::{DataCentre, DatabaseName},
    positions::{LogPosition, PrimarySamples},
    requests::RequestKind,
};

/// Cost added to a database in another data centre, in microseconds.
const REMOTE_COST_US: u64 = 1_000;

/// Requirements of a request, and the state of its group that the choice needs.
#[derive(Debug)]
pub struct RouteQuery<'a> {
    /// The current time.
    pub now: Moment,
    /// Which databases may serve it.
    pub kind: RequestKind,
    /// True if reads wait so long that the primary may serve them as well.
    pub offload_to_primary: bool,
    /// True if it opens a transaction.
    pub transaction: bool,
    /// The position that the database must hold; `None` asks for the primary.
    pub position: Option<LogPosition>,
    /// The confirmed primary, or `None` while it is being replaced.
    pub primary: Option<&'a DatabaseName>,
    /// The current term of the group.
    pub term: u64,
    /// Data centre of this host.
    pub data_centre: &'a DataCentre,
    /// Positions sampled at the primary, from which the age of replicas is derived.
    pub samples: &'a PrimarySamples,
}

/// Result of choosing a database for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DatabaseChoice {
    /// Send it to this database.
    Use(DatabaseName),
    /// Wait, since no database that qualifies is free now.
    Wait,
}

/// Chooses the database with the shortest expected completion time among those
/// that qualify. A replica that qualifies takes precedence over the primary, whose
/// slots are the only ones that can serve writes.
pub fn choose_database<'a>(
    query: &RouteQuery<'_>,
    databases: impl Iterator<Item = &'a DatabaseView>,
) -> DatabaseChoice {
    let mut replica: Option<(u64, &DatabaseView)> = None;
    let mut replica_qualifies = false;
    let mut primary: Option<&DatabaseView> = None;
    for view in databases {
        if query.primary == Some(&view.record.database) {
            primary = Some(view);
            continue;
        }
        if !qualifies(query, view) {
            continue;
        }
        replica_qualifies = true;
        let cost = cost(query, view);
        let better = replica.is_none_or(|(best, _)| cost < best);
        if view.is_available(query.now, query.transaction) && better {
            replica = Some((cost, view));
        }
    }
    if let Some((_, view)) = replica {
        return DatabaseChoice::Use(view.record.database.clone());
    }
    // A read waits while the replicas that qualify are busy, unless the wait is
    // long and the primary is lightly loaded.
    let usable = primary.filter(|view| {
        let may_offload = query.offload_to_primary && view.is_lightly_loaded();
        let may_serve = may_offload || !replica_qualifies;
        view.is_available(query.now, query.transaction) && may_serve
    });
    match usable {
        Some(view) => DatabaseChoice::Use(view.record.database.clone()),
        None => DatabaseChoice::Wait,
    }
}

fn cost(query: &RouteQuery<'_>, view: &DatabaseView) -> u64 {
    let distance = match view.record.data_centre == *query.data_centre {
        true => 0,
        false => REMOTE_COST_US,
    };
    view.expected_completion_us() + distance
}

fn qualifies(query: &RouteQuery<'_>, view: &DatabaseView) -> bool {
    let (Some(position), Some(observed)) = (query.position, view.observed.as_ref()) else {
        return false;
    };
    let status = &observed.status;
    let in_term = status.term == query.term && status.role == DatabaseRole::Replica;
    if !view.record.accepts_work() || !in_term || !status.covers(position) {
        return false;
    }
    match query.kind {
        RequestKind::Write => false,
        RequestKind::SessionRead => true,
        RequestKind::BoundedStaleness(max_age) => query
            .samples
            .fresh_as_of(&status.history, status.position)
            .is_some_and(|as_of| query.now.since(as_of) <= max_age),
    }
}
