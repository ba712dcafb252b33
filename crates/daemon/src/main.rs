//! `hawthornstackd`, the daemon.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use hawthornstack_daemon::{
    kernel::DaemonKernel,
    logs::start_logs,
    settings::{DaemonSettings, SettingsError},
};

/// Exit code for missing or invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a daemon that failed to start.
const EXIT_START: u8 = 3;

/// A database proxy with session consistency.
#[derive(FromArgs)]
struct DaemonArguments {
    /// settings file (YAML)
    #[argh(option)]
    settings: Option<PathBuf>,
    #[argh(subcommand)]
    command: Option<DaemonCommand>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum DaemonCommand {
    Check(CheckCommand),
}

/// Check a settings file and exit.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// settings file (YAML)
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments: DaemonArguments = argh::from_env();
    match (arguments.command, arguments.settings) {
        (Some(DaemonCommand::Check(check)), _) => match DaemonSettings::load(&check.settings) {
            Ok(_) => {
                println!("{}: settings are valid.", check.settings.display());
                ExitCode::SUCCESS
            }
            Err(error) => report_invalid_settings(&error),
        },
        (None, Some(path)) => match DaemonSettings::load(&path) {
            Ok(settings) => run(&settings),
            Err(error) => report_invalid_settings(&error),
        },
        (None, None) => {
            eprintln!("--settings FILE is missing; see hawthornstackd --help.");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn report_invalid_settings(error: &SettingsError) -> ExitCode {
    eprintln!("Invalid settings: {error}.");
    ExitCode::from(EXIT_SETTINGS)
}

#[tokio::main]
async fn run(settings: &DaemonSettings) -> ExitCode {
    let _logs = match start_logs(&settings.logs) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("Invalid settings: logs: {error}.");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match DaemonKernel::start(settings).await {
        Ok(kernel) => {
            wait_for_shutdown_signal().await;
            kernel.shut_down().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("The daemon failed to start: {error}.");
            ExitCode::from(EXIT_START)
        }
    }
}

async fn wait_for_shutdown_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        let _ = tokio::signal::ctrl_c().await;
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
