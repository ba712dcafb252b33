use std::{io, net::SocketAddr, path::PathBuf};

use snafu::Snafu;

use crate::metrics::MetricsError;

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum KernelError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}; free the port or change `listen`"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The data folder cannot be used.
    #[snafu(display("cannot use the data folder {}: {source}", path.display()))]
    DataFolder {
        /// The folder or file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The journal is damaged.
    #[snafu(display(
        "result 601: {} is damaged at byte {offset}; move the data folder away and start again, \
         the other voters repair it",
        path.display()
    ))]
    JournalDamaged {
        /// The journal.
        path: PathBuf,
        /// Where the damage begins.
        offset: u64,
    },
    /// Metrics cannot be had.
    #[snafu(display("{source}"))]
    Metrics {
        /// What is wrong.
        source: MetricsError,
    },
    /// A service did not start.
    #[snafu(display("service {service} did not start: {source}"))]
    Spawn {
        /// The service.
        service: &'static str,
        /// What the runtime said.
        source: ractor::SpawnErr,
    },
}
