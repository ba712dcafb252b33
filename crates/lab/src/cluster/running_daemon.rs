use std::path::Path;

use hawthornstack_daemon::{kernel::DaemonKernel, settings::DaemonSettings};
use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;
use tokio::process::{Child, Command};

use super::{
    ClusterError,
    cluster_error::{DaemonSnafu, SystemSnafu},
};

/// A running daemon of a cluster.
pub(super) enum RunningDaemon {
    /// A daemon of this build, in the lab's own process.
    Kernel(DaemonKernel),
    /// A daemon of another build, in a process of its own.
    Program(Child),
}

impl RunningDaemon {
    /// Starts a daemon of this build.
    ///
    /// # Errors
    /// `ClusterError::Daemon` if it does not start.
    pub(super) async fn start(settings: &DaemonSettings) -> Result<Self, ClusterError> {
        DaemonKernel::start(settings).await.map(Self::Kernel).context(DaemonSnafu)
    }

    /// Starts `program`, another build's `hawthornstackd`, with settings that are
    /// written to `settings_path`. The process may still exit, for example because
    /// a listening port is in use.
    ///
    /// # Errors
    /// `ClusterError` if the settings cannot be written or the program not be run.
    pub(super) fn start_program(
        program: &Path,
        settings: &DaemonSettings,
        settings_path: &Path,
    ) -> Result<Self, ClusterError> {
        // JSON is valid YAML.
        let text = serde_json::to_string(settings)
            .map_err(|error| ClusterError::Invalid { text: error.to_string() })?;
        std::fs::write(settings_path, text).context(SystemSnafu)?;
        let mut command = Command::new(program);
        command.arg("--settings").arg(settings_path).kill_on_drop(true);
        command.spawn().map(Self::Program).context(SystemSnafu)
    }

    /// Shuts the daemon down gracefully and waits until it has stopped.
    pub(super) async fn shut_down(self) {
        match self {
            Self::Kernel(kernel) => kernel.shut_down().await,
            Self::Program(mut child) => {
                if let Some(id) = child.id().and_then(|id| Pid::from_raw(id as i32)) {
                    // It fails only if the process has exited.
                    let _ = kill_process(id, Signal::TERM);
                }
                let _ = child.wait().await;
            }
        }
    }

    /// Stops the daemon without a graceful shutdown.
    pub(super) fn kill(self) {
        match self {
            Self::Kernel(kernel) => kernel.kill(),
            Self::Program(child) => drop(child),
        }
    }
}
