//! `hawthornstack-lab`: runs stand-in upstreams and experiments.

use std::{process::ExitCode, time::Duration};

use argh::FromArgs;
use hawthornstack_daemon::{logs::start_logs, settings::LogSettings};
use hawthornstack_lab::{
    cluster::ClusterError,
    demo::{DemoPlan, run_demo},
    deployments::{Deployment, DeploymentName},
    faults::{FaultKind, FaultPlan, FaultRecord, run_faults, summarize},
    latency::{LatencyPlan, run_latency},
    load::{LoadPlan, LoadProfile, run_load},
    slopes::run_slopes,
    standalone::{StandalonePlan, run_standalone},
};

/// Exit code of a run that found a violated guarantee.
const EXIT_VIOLATION: u8 = 1;
/// Exit code of an experiment that could not run.
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
    Fail(FailCommand),
    Latency(LatencyCommand),
    Load(LoadCommand),
    Slopes(SlopesCommand),
    Upstreams(UpstreamsCommand),
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
    /// hawthornstackd of another build, to run beside this one and on its data
    #[argh(option)]
    other_build: Option<std::path::PathBuf>,
}

/// Fail primaries under load; one JSON line a fault, then a summary.
#[derive(FromArgs)]
#[argh(subcommand, name = "fail")]
struct FailCommand {
    /// deployment: lone-star (default) or cascade
    #[argh(option, default = "DeploymentName::LoneStar")]
    deployment: DeploymentName,
    /// rounds of each kind of fault (default 10)
    #[argh(option, default = "10")]
    rounds: u32,
    /// seed of the stand-ins (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Compare requests straight to a database with requests through a daemon.
#[derive(FromArgs)]
#[argh(subcommand, name = "latency")]
struct LatencyCommand {
    /// deployment: lone-star (default) or cascade
    #[argh(option, default = "DeploymentName::LoneStar")]
    deployment: DeploymentName,
    /// concurrent callers (default 4)
    #[argh(option, default = "4")]
    callers: usize,
    /// seconds of each of the six runs (default 3)
    #[argh(option, default = "3")]
    seconds: u64,
}

/// Send open-loop load at multiples of the databases' capacity.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadCommand {
    /// deployment: lone-star (default) or cascade
    #[argh(option, default = "DeploymentName::LoneStar")]
    deployment: DeploymentName,
    /// call-time, browsing, holy-days (default) or claims
    #[argh(option, default = "LoadProfile::HolyDays")]
    profile: LoadProfile,
    /// multiple of the capacity; may be given more than once (default 0.7, 1,
    /// 1.5 and 3)
    #[argh(option)]
    factor: Vec<f64>,
    /// seconds of each run (default 5)
    #[argh(option, default = "5")]
    seconds: u64,
    /// lag of replicas in milliseconds (default 20)
    #[argh(option, default = "20")]
    lag_ms: u64,
    /// daemons (default 3)
    #[argh(option, default = "3")]
    daemons: u32,
    /// seed of arrivals and stand-ins (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Measure how state, traffic, processor time and memory grow with size.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
struct SlopesCommand {
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
    /// seed of the stand-ins (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Run stand-in upstreams that announce themselves to daemons.
#[derive(FromArgs)]
#[argh(subcommand, name = "upstreams")]
struct UpstreamsCommand {
    /// deployment: lone-star (default) or cascade
    #[argh(option, default = "DeploymentName::LoneStar")]
    deployment: DeploymentName,
    /// operators' address of a daemon; may be given more than once (default
    /// 127.0.0.1:8432)
    #[argh(option)]
    daemon: Vec<std::net::SocketAddr>,
    /// address on which faults are set (default 127.0.0.1:9432)
    #[argh(option, default = "std::net::SocketAddr::from(([127, 0, 0, 1], 9432))")]
    control: std::net::SocketAddr,
    /// lag of replicas in milliseconds (default 20)
    #[argh(option, default = "20")]
    lag_ms: u64,
    /// seed of lag and jitter (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> ExitCode {
    let arguments: LabArguments = argh::from_env();
    match arguments.command {
        LabCommand::Demo(command) => run_demo_command(&command),
        LabCommand::Fail(command) => run_fail_command(&command),
        LabCommand::Latency(command) => run_latency_command(&command),
        LabCommand::Load(command) => run_load_command(&command),
        LabCommand::Slopes(command) => run_slopes_command(&command),
        LabCommand::Upstreams(command) => run_upstreams_command(&command),
    }
}

#[tokio::main]
async fn run_demo_command(command: &DemoCommand) -> ExitCode {
    let settings =
        LogSettings { level: Some(command.logs.as_str().into()), ..LogSettings::default() };
    let _logs = start_logs(&settings);
    let plan = DemoPlan {
        deployment: Deployment::named(command.deployment),
        seed: command.seed,
        length: Duration::from_secs(command.seconds),
        verbose: !command.json,
        other_build: command.other_build.clone(),
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
            Err(error) => eprintln!("Cannot encode the report as JSON: {error}."),
        }
    } else {
        print!("{}", report.to_text());
    }
    match report.guarantees_hold() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_VIOLATION),
    }
}

fn print_json(value: &impl serde::Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("Cannot encode a record as JSON: {error}."),
    }
}

fn report_not_run(error: &ClusterError) -> ExitCode {
    eprintln!("The experiment did not run: {error}.");
    ExitCode::from(EXIT_NOT_RUN)
}

#[tokio::main]
async fn run_fail_command(command: &FailCommand) -> ExitCode {
    let plan = FaultPlan {
        deployment: Deployment::named(command.deployment),
        rounds: command.rounds,
        seed: command.seed,
    };
    let records = match run_faults(&plan, print_json).await {
        Ok(records) => records,
        Err(error) => return report_not_run(&error),
    };
    summarize(&records).iter().for_each(print_json);
    // A primary that only pauses must not be replaced.
    let paused_failover =
        |r: &&FaultRecord| r.kind == FaultKind::Paused && r.term_after > r.term_before;
    match records.iter().filter(paused_failover).count() {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_VIOLATION),
    }
}

#[tokio::main]
async fn run_upstreams_command(command: &UpstreamsCommand) -> ExitCode {
    let daemons = match command.daemon.is_empty() {
        true => vec![std::net::SocketAddr::from(([127, 0, 0, 1], 8432))],
        false => command.daemon.clone(),
    };
    let plan = StandalonePlan {
        deployment: Deployment {
            lag: Duration::from_millis(command.lag_ms),
            ..Deployment::named(command.deployment)
        },
        daemons,
        fault_address: command.control,
        seed: command.seed,
    };
    match run_standalone(&plan).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_not_run(&error),
    }
}

#[tokio::main]
async fn run_latency_command(command: &LatencyCommand) -> ExitCode {
    let plan = LatencyPlan {
        deployment: Deployment::named(command.deployment),
        callers: command.callers,
        length: Duration::from_secs(command.seconds),
        seed: 1,
    };
    match run_latency(&plan).await {
        Ok(report) => {
            print_json(&report);
            ExitCode::SUCCESS
        }
        Err(error) => report_not_run(&error),
    }
}

#[tokio::main]
async fn run_load_command(command: &LoadCommand) -> ExitCode {
    let factors = match command.factor.is_empty() {
        true => vec![0.7, 1.0, 1.5, 3.0],
        false => command.factor.clone(),
    };
    for factor in factors {
        let plan = LoadPlan {
            deployment: Deployment {
                lag: Duration::from_millis(command.lag_ms),
                ..Deployment::named(command.deployment)
            },
            profile: command.profile,
            factor,
            length: Duration::from_secs(command.seconds),
            daemons: command.daemons,
            seed: command.seed,
        };
        match run_load(&plan).await {
            Ok(report) => print_json(&report),
            Err(error) => return report_not_run(&error),
        }
    }
    ExitCode::SUCCESS
}

#[tokio::main]
async fn run_slopes_command(command: &SlopesCommand) -> ExitCode {
    match run_slopes(command.seed).await {
        Ok(lines) if command.json => {
            lines.iter().for_each(print_json);
            ExitCode::SUCCESS
        }
        Ok(lines) => {
            lines.iter().for_each(|line| println!("{}", line.to_text()));
            ExitCode::SUCCESS
        }
        Err(error) => report_not_run(&error),
    }
}
