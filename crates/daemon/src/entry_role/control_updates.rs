use hawthornstack_decisions::{
    identity::HostId,
    instances::{InstanceDeparture, InstanceRecord},
};

use super::entry_shared::EntryShared;

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
