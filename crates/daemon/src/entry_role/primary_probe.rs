use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use hawthornstack_decisions::control_role::EntryReport;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use super::entry_shared::EntryShared;

/// Time for a primary to take a TCP connection: its system answers, whatever
/// the database is busy with.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Failures in a row after which a primary counts as unreachable; together
/// with the pauses longer than a pause of 300 ms that must be borne.
const PROBE_FAILURES: u32 = 3;
/// Time between the beginnings of two probes that fail.
const PROBE_INTERVAL: Duration = Duration::from_millis(180);
/// Time between two reports on a primary that stays unreachable.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Finds out whether the primary of a term can be reached, and tells control
/// until it can or the term is over.
pub(super) fn probe_primary(shared: &Rc<EntryShared>, service: &Arc<str>, number: u64) {
    let key = (service.clone(), number);
    if !shared.probing.borrow_mut().insert(key.clone()) {
        return;
    }
    let shared = shared.clone();
    let tasks = shared.tasks.clone();
    tasks.spawn_local(async move {
        let cancel = shared.cancel.clone();
        let _ = cancel.run_until_cancelled(watch_primary(&shared, &key.0, key.1)).await;
        shared.probing.borrow_mut().remove(&key);
    });
}

async fn watch_primary(shared: &Rc<EntryShared>, service: &Arc<str>, number: u64) {
    let mut failures = 0;
    while let Some(address) = primary_address(shared, service, number) {
        let began = Instant::now();
        if matches!(timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_))) {
            report(shared, service, number, true);
            // What is slow for other reasons needs no further probe at once.
            return sleep(REPORT_INTERVAL).await;
        }
        failures += 1;
        if failures >= PROBE_FAILURES {
            report(shared, service, number, false);
            sleep(REPORT_INTERVAL).await;
        } else {
            sleep(PROBE_INTERVAL.saturating_sub(began.elapsed())).await;
        }
    }
}

fn primary_address(shared: &EntryShared, service: &str, number: u64) -> Option<SocketAddr> {
    let view = shared.view.borrow();
    let term = view.term(service).filter(|term| term.number == number && term.is_steady())?;
    view.instance(&term.primary).map(|record| record.address)
}

fn report(shared: &EntryShared, service: &Arc<str>, number: u64, reachable: bool) {
    tracing::info!(target: "entry", %service, number, reachable, "primary probed");
    let service = service.clone();
    let report = EntryReport::PrimaryReachable { service, number, reachable };
    // The receiver ends only with the process.
    let _ = shared.reports.send(report);
}
