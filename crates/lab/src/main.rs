//! `hawthornstack-lab`, stand-ins and experiments.

use std::{process::ExitCode, time::Duration};

use argh::FromArgs;
use hawthornstack_daemon::{logs::start_logs, settings::LogSettings};
use hawthornstack_lab::{
    demo::{DemoPlan, run_demo},
    deployments::{Deployment, DeploymentName},
};

/// Exit code for a broken promise.
const EXIT_BROKEN: u8 = 1;
/// Exit code for an experiment that did not run.
const EXIT_NOT_RUN: u8 = 3;

/// Stand-in upstreams, load and experiments.
#[derive(FromArgs)]
struct LabArguments {
    #[argh(subcommand)]
    command: LabCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum LabCommand {
    Demo(DemoCommand),
}

/// Run daemons, upstreams and callers in one process, with faults.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoCommand {
    /// deployment: lone-star (default) or cascade
    #[argh(option, default = "DeploymentName::LoneStar")]
    deployment: DeploymentName,
    /// seed of callers and stand-ins (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// length of the run in seconds (default 12)
    #[argh(option, default = "12")]
    seconds: u64,
    /// print one JSON object on standard output
    #[argh(switch)]
    json: bool,
    /// log level of the daemons (default warn)
    #[argh(option, default = "String::from(\"warn\")")]
    logs: String,
}

fn main() -> ExitCode {
    let arguments: LabArguments = argh::from_env();
    match arguments.command {
        LabCommand::Demo(command) => demo(&command),
    }
}

#[tokio::main]
async fn demo(command: &DemoCommand) -> ExitCode {
    let settings =
        LogSettings { level: Some(command.logs.as_str().into()), ..LogSettings::default() };
    let _logs = start_logs(&settings);
    let plan = DemoPlan {
        deployment: Deployment::named(command.deployment),
        seed: command.seed,
        length: Duration::from_secs(command.seconds),
        verbose: !command.json,
    };
    let report = match run_demo(plan).await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("The demo did not run: {error}.");
            return ExitCode::from(EXIT_NOT_RUN);
        }
    };
    if command.json {
        match serde_json::to_string(&report) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("The report cannot be written: {error}."),
        }
    } else {
        print!("{}", report.to_text());
    }
    match report.keeps_promises() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_BROKEN),
    }
}
