use std::{io, sync::Arc};

use hawthornstack_decisions::{
    identity::HostId,
    instances::{InstanceDeparture, InstanceRecord},
    packing::PackedRecords,
    primaries::ServiceTerm,
    routes::{PackedRoutes, RouteTable},
};

use super::entry_shared::EntryShared;

/// The configuration and the terms of a state, unpacked.
///
/// # Errors
/// Fails if either cannot be decompressed or decoded, or if the configuration is a change
/// of another one than this host has.
pub(super) fn unpack_state(
    shared: &EntryShared,
    routes: Option<Arc<PackedRoutes>>,
    terms: Vec<ServiceTerm>,
    packed_terms: Option<Arc<PackedRecords<ServiceTerm>>>,
) -> io::Result<(Option<Arc<RouteTable>>, Vec<ServiceTerm>)> {
    let current = shared.view.borrow().routes().cloned();
    let routes = routes.map(|packed| packed.unpack(current.as_deref())).transpose()?;
    let terms = PackedRecords::unpack_or(packed_terms.as_deref(), terms)?;
    Ok((routes.map(Arc::new), terms))
}

/// Records databases that a control host announces.
pub(super) fn record_announcements(
    shared: &EntryShared,
    control: HostId,
    records: &[InstanceRecord],
) {
    log_newly_draining(shared, control, records);
    shared.view.borrow_mut().record_announcements(shared.now(), records);
}

/// Logs databases that this host learns to be draining.
fn log_newly_draining(shared: &EntryShared, control: HostId, records: &[InstanceRecord]) {
    let view = shared.view.borrow();
    for record in records.iter().filter(|record| record.draining) {
        if view.instance(&record.key).is_none_or(|known| !known.draining) {
            tracing::info!(
                target: "entry",
                instance = %record.key,
                service = %record.service,
                sequence = record.sequence,
                %control,
                "database is draining"
            );
        }
    }
}

/// Logs databases that this host learns to have left.
fn log_departures(shared: &EntryShared, control: HostId, departures: &[InstanceDeparture]) {
    let view = shared.view.borrow();
    for departure in departures.iter().filter(|gone| view.instance_by_id(&gone.id).is_some()) {
        tracing::info!(target: "entry", instance = %departure.id, %control, "database has left");
    }
}

/// Records databases that have left, as a control host reports.
pub(super) fn record_departures(
    shared: &EntryShared,
    control: HostId,
    departures: &[InstanceDeparture],
) {
    log_departures(shared, control, departures);
    shared.view.borrow_mut().record_departures(departures);
}
