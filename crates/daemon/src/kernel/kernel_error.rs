use std::{io, net::SocketAddr, path::PathBuf};

use snafu::Snafu;

use crate::metrics::MetricsError;

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum KernelError {
    /// A listener could not be bound.
    #[snafu(display("cannot listen on {address}: {source}; free the port or change `listen`"))]
    Listen {
        /// The address, as given in the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The data folder cannot be used.
    #[snafu(display("cannot use the data folder {}: {source}", path.display()))]
    DataFolder {
        /// The folder or file that could not be used.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The journal is damaged.
    #[snafu(display(
        "result 601: {} is damaged at byte {offset}; move the data folder away and restart; \
         the other voters restore its contents",
        path.display()
    ))]
    JournalDamaged {
        /// The journal file.
        path: PathBuf,
        /// Byte offset of the first damaged record.
        offset: u64,
    },
    /// The metrics exporter could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// The cause.
        source: MetricsError,
    },
    /// A service did not start.
    #[snafu(display("service {service} did not start: {source}"))]
    Spawn {
        /// Name of the service.
        service: &'static str,
        /// Error of the actor runtime.
        source: ractor::SpawnErr,
    },
}
