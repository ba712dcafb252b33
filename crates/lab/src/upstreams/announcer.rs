use std::{net::SocketAddr, sync::Arc, time::Duration};

use hawthornstack_wire::operators::ANNOUNCE_PATH;

use super::{Fault, StandInDatabase};

/// Time between two announcements of a database.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Announces a database to one daemon after the other until `leaving` has been
/// true and the daemons are gone.
pub async fn announce_forever(
    database: Arc<StandInDatabase>,
    daemons: Vec<SocketAddr>,
    leaving: Arc<std::sync::atomic::AtomicBool>,
) {
    let mut turn = 0;
    loop {
        let silent = matches!(
            database.faults.current(),
            Fault::Stopped | Fault::Frozen | Fault::CutFromHosts | Fault::Isolated
        );
        if !silent && !daemons.is_empty() {
            let daemon = daemons[turn % daemons.len()];
            turn += 1;
            let leaves = leaving.load(std::sync::atomic::Ordering::Relaxed);
            let announcement = database.announcement(leaves);
            let url = format!("http://{daemon}{ANNOUNCE_PATH}");
            let sent =
                tokio::task::spawn_blocking(move || ureq::post(&url).send_json(&announcement));
            if let Ok(Err(error)) = sent.await {
                log::debug!(target: "upstreams", "An announcement was not taken: {error}.");
            }
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
