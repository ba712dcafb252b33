use hawthornstack_daemon::kernel::KernelError;
use snafu::Snafu;

use crate::upstreams::EngineError;

/// Why a cluster did not start or a step of an experiment failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ClusterError {
    /// A daemon did not start.
    #[snafu(display("a daemon did not start: {source}"))]
    Daemon {
        /// What it said.
        source: KernelError,
    },
    /// A stand-in did not start.
    #[snafu(display("a stand-in did not start: {source}"))]
    Upstream {
        /// What it said.
        source: EngineError,
    },
    /// A port or folder could not be had.
    #[snafu(display("the system refused: {source}"))]
    System {
        /// What it said.
        source: std::io::Error,
    },
    /// A name or size is not valid.
    #[snafu(display("{text}"))]
    Invalid {
        /// What is wrong.
        text: String,
    },
    /// Something did not happen in time.
    #[snafu(display("{what} did not happen in time"))]
    Late {
        /// What was waited for.
        what: String,
    },
    /// A caller's request failed.
    #[snafu(display("a request failed: {text}"))]
    Request {
        /// What it was told.
        text: String,
    },
}
