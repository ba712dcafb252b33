use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Fault, StandInDatabase};
use crate::cluster::OperatorClient;

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
            if !OperatorClient::announce(daemon, database.announcement(leaves)).await {
                let name = &database.settings.database;
                log::debug!(target: "upstreams", "An announcement of {name} was not taken.");
            }
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
