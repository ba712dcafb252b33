use crate::{
    clock::Moment,
    directory::{DatabaseRole, DatabaseView},
    identity::{DataCentre, DatabaseName},
    positions::{LogPosition, PrimarySamples},
    requests::RequestKind,
};

/// Cost of another data centre, in microseconds.
const DISTANCE_COST_US: u64 = 1_000;

/// What a request asks of the group's databases.
#[derive(Debug)]
pub struct RouteQuery<'a> {
    /// The time.
    pub now: Moment,
    /// Which databases may serve it.
    pub kind: RequestKind,
    /// Reads wait so long that the primary may serve them as well.
    pub offload_to_primary: bool,
    /// It opens a transaction.
    pub transaction: bool,
    /// The position that the database must hold; `None` asks for the primary.
    pub position: Option<LogPosition>,
    /// The confirmed primary, or `None` while it is being replaced.
    pub primary: Option<&'a DatabaseName>,
    /// The term in force.
    pub term: u64,
    /// Where this host stands.
    pub data_centre: &'a DataCentre,
    /// What the primary was seen to hold.
    pub samples: &'a PrimarySamples,
}

/// What to do with a request now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DatabaseChoice {
    /// Send it to this database.
    Use(DatabaseName),
    /// No database that qualifies is free now.
    Wait,
}

/// Chooses the database with the least expected completion among those that
/// qualify. A replica that qualifies goes before the primary, whose slots are
/// the only ones that serve writes.
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
    // A read for which replicas are merely busy waits for them, unless the
    // wait is long and the primary has slots to spare.
    let usable = primary.filter(|view| {
        let spares = query.offload_to_primary && view.is_lightly_loaded();
        let spares = spares || !replica_qualifies;
        view.is_available(query.now, query.transaction) && spares
    });
    match usable {
        Some(view) => DatabaseChoice::Use(view.record.database.clone()),
        None => DatabaseChoice::Wait,
    }
}

fn cost(query: &RouteQuery<'_>, view: &DatabaseView) -> u64 {
    let distance = match view.record.data_centre == *query.data_centre {
        true => 0,
        false => DISTANCE_COST_US,
    };
    view.expected_completion_us() + distance
}

fn qualifies(query: &RouteQuery<'_>, view: &DatabaseView) -> bool {
    let (Some(mark), Some(observed)) = (query.position, view.observed.as_ref()) else {
        return false;
    };
    let status = &observed.status;
    let in_term = status.term == query.term && status.role == DatabaseRole::Replica;
    if !view.record.accepts_work() || !in_term || !status.covers(mark) {
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
