use hawthornstack_daemon::kernel::KernelError;
use snafu::Snafu;

use crate::upstreams::EngineError;

/// Errors of starting a cluster or running an experiment.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ClusterError {
    /// A daemon failed to start.
    #[snafu(display("a daemon failed to start: {source}"))]
    Daemon {
        /// The daemon's error.
        source: KernelError,
    },
    /// A stand-in database failed to start or to run a statement.
    #[snafu(display("a stand-in database failed: {source}"))]
    Upstream {
        /// The database's error.
        source: EngineError,
    },
    /// An operation on a socket or a directory failed.
    #[snafu(display("I/O error: {source}"))]
    System {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A name, size or result is not valid.
    #[snafu(display("{text}"))]
    Invalid {
        /// Description of the error.
        text: String,
    },
    /// An expected state was not reached before its timeout.
    #[snafu(display("timed out waiting for {what}"))]
    Timeout {
        /// The expected state.
        what: String,
    },
    /// A caller's request failed.
    #[snafu(display("a request failed: {text}"))]
    Request {
        /// The error that the caller received.
        text: String,
    },
}
