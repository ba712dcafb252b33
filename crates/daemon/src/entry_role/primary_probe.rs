use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use hawthornstack_decisions::control_role::EntryReport;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use super::entry_shared::EntryShared;

/// Timeout for a TCP connection to a primary. The operating system completes the
/// handshake even while the database is busy.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Consecutive failures after which a primary is reported unreachable. With the
/// intervals between them they take longer than a stall of 300 ms, which must be
/// tolerated.
const PROBE_FAILURES: u32 = 3;
/// Time between the starts of consecutive failing probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(180);
/// Time between reports on a primary that stays unreachable.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Probes the primary of a term and reports the result to the control leader,
/// until the primary is reachable or the term is no longer steady. Does nothing if
/// it is being probed already.
pub(super) fn probe_primary(shared: &Rc<EntryShared>, service: &Arc<str>, term_number: u64) {
    let key = (service.clone(), term_number);
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

async fn watch_primary(shared: &Rc<EntryShared>, service: &Arc<str>, term_number: u64) {
    let mut failures = 0;
    while let Some(address) = primary_address(shared, service, term_number) {
        let began = Instant::now();
        if matches!(timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_))) {
            report_reachability(shared, service, term_number, true);
            // A reachable primary is slow for another reason, which another probe at once
            // would not show.
            return sleep(REPORT_INTERVAL).await;
        }
        failures += 1;
        if failures >= PROBE_FAILURES {
            report_reachability(shared, service, term_number, false);
            sleep(REPORT_INTERVAL).await;
        } else {
            sleep(PROBE_INTERVAL.saturating_sub(began.elapsed())).await;
        }
    }
}

fn primary_address(shared: &EntryShared, service: &str, term_number: u64) -> Option<SocketAddr> {
    let view = shared.view.borrow();
    let term = view.term(service).filter(|term| term.number == term_number && term.is_steady())?;
    view.instance(&term.primary).map(|record| record.address)
}

fn report_reachability(
    shared: &EntryShared,
    service: &Arc<str>,
    term_number: u64,
    reachable: bool,
) {
    tracing::info!(
        target: "entry",
        %service,
        number = term_number,
        reachable,
        "primary probed; reporting the result to the control leader"
    );
    let service = service.clone();
    let report = EntryReport::PrimaryReachable { service, number: term_number, reachable };
    // The receiver is dropped only at shutdown.
    let _ = shared.reports.send(report);
}
