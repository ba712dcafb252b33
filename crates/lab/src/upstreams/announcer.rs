use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Fault, StandInDatabase};
use crate::cluster::OperatorClient;

/// Interval between announcements of a database.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Announces a database at a fixed interval, to each daemon in turn. Runs until
/// its task is cancelled. While `leaving` is true, the announcements say that the
/// database leaves. A database whose fault hides it from the hosts sends none.
pub async fn announce_forever(
    database: Arc<StandInDatabase>,
    daemons: Vec<SocketAddr>,
    leaving: Arc<std::sync::atomic::AtomicBool>,
) {
    let mut next_daemon = 0;
    loop {
        let unreachable = matches!(
            database.faults.current(),
            Fault::Stopped | Fault::Frozen | Fault::CutFromHosts | Fault::Isolated
        );
        if !unreachable && !daemons.is_empty() {
            let daemon = daemons[next_daemon % daemons.len()];
            next_daemon += 1;
            let is_leaving = leaving.load(std::sync::atomic::Ordering::Relaxed);
            if !OperatorClient::announce(daemon, database.announcement(is_leaving)).await {
                let name = &database.settings.database;
                log::debug!(
                    target: "upstreams",
                    "Daemon {daemon} did not accept the announcement of {name}; \
                     the next announcement goes to the next daemon."
                );
            }
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
