use std::{path::Path, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    control_state::{AuditRecord, Declaration, Intent, verify_chain},
    identity::{DatabaseName, HostId},
    outcomes::ResultCode,
};
use hawthornstack_wire::operators::{
    AUDIT_PATH, CONFIRM_PATH, ConfirmRequest, ConfirmResponse, PLAN_PATH, PlanRequest,
    PlanResponse, STATUS_PATH, StatusResponse,
};

use super::{
    CliArguments,
    arguments::{CliCommand, ConfirmCommand, PlanIntent, TraceRequestCommand},
    request_timeline::RequestTimeline,
    text_output,
};
use crate::console::{ConsoleError, DaemonClient, FileSnafu, RefusedSnafu, UnknownCodeSnafu};

/// Operator address of the daemon to query if neither `--hosts` nor
/// `HAWTHORNSTACK_HOSTS` is given.
const DEFAULT_HOSTS: &str = "127.0.0.1:8432";
/// Time between two queries of `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Formats a part of the status as text.
type StatusFormatter = fn(&StatusResponse) -> String;

/// Runs the command given in the arguments and prints its result.
///
/// # Errors
/// `ConsoleError`; it determines the exit code of the process.
pub fn run_command(arguments: &CliArguments) -> Result<(), ConsoleError> {
    let hosts = arguments
        .hosts
        .clone()
        .or_else(|| std::env::var("HAWTHORNSTACK_HOSTS").ok())
        .unwrap_or_else(|| DEFAULT_HOSTS.to_owned());
    let client = DaemonClient::new(&hosts);
    let json = arguments.json;
    match &arguments.command {
        CliCommand::Plan(command) => request_plan(&client, &command.intent, json),
        CliCommand::Confirm(command) => confirm_plan(&client, command, json),
        CliCommand::Status(command) => {
            show_status(&client, text_output::format_status, command.watch, json)
        }
        CliCommand::Services(_) => show_status(&client, text_output::format_services, false, json),
        CliCommand::Upstreams(command) => {
            show_status(&client, text_output::format_upstreams, command.watch, json)
        }
        CliCommand::Hosts(_) => show_status(&client, text_output::format_hosts, false, json),
        CliCommand::Audit(_) => show_audit_trail(&client, json),
        CliCommand::Explain(command) => explain_code(command.code),
        CliCommand::TraceRequest(command) => trace_request(command, json),
    }
}

fn trace_request(command: &TraceRequestCommand, json: bool) -> Result<(), ConsoleError> {
    let timeline = RequestTimeline::read(command)?;
    match json {
        true => print_json(&timeline),
        false => print!("{}", timeline.to_text()),
    }
    Ok(())
}

fn print_json(value: &impl serde::Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("The result cannot be printed as JSON: {error}."),
    }
}

fn invalid_argument(text: &str, reason: impl std::fmt::Display) -> ConsoleError {
    FileSnafu { path: Path::new(text), reason: reason.to_string() }.build()
}

fn read_declaration(path: &Path) -> Result<Declaration, ConsoleError> {
    let file_error = |reason: String| FileSnafu { path, reason }.build();
    let text = std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    serde_yaml_ng::from_str(&text).map_err(|error| file_error(error.to_string()))
}

/// Parses `hNUMBER` as a host; any other target is the name of a database.
fn parse_host(target: &str) -> Option<HostId> {
    target.strip_prefix('h').and_then(|number| number.parse().ok()).map(HostId)
}

fn parse_database(target: &str) -> Result<DatabaseName, ConsoleError> {
    DatabaseName::new(target).map_err(|error| invalid_argument(target, error))
}

fn build_intent(intent: &PlanIntent) -> Result<Intent, ConsoleError> {
    Ok(match intent {
        PlanIntent::Declare(declare) => Intent::Declare(read_declaration(&declare.file)?),
        PlanIntent::Drain(drain) => match parse_host(&drain.target) {
            Some(host) => Intent::DrainHost(host),
            None => Intent::DrainDatabase(parse_database(&drain.target)?),
        },
        PlanIntent::Restore(restore) => match parse_host(&restore.target) {
            Some(host) => Intent::RestoreHost(host),
            None => Intent::RestoreDatabase(parse_database(&restore.target)?),
        },
        PlanIntent::Limit(limit) => Intent::ChangeWaitingLimit {
            service: limit.service.clone(),
            max_waiting: limit.max_waiting,
        },
    })
}

fn request_plan(
    client: &DaemonClient,
    intent: &PlanIntent,
    json: bool,
) -> Result<(), ConsoleError> {
    let request = PlanRequest { intent: build_intent(intent)? };
    let plan: PlanResponse = client.post(PLAN_PATH, &request)?;
    if json {
        print_json(&plan);
    } else {
        print!("{}", text_output::format_plan(&plan));
    }
    Ok(())
}

fn confirm_plan(
    client: &DaemonClient,
    command: &ConfirmCommand,
    json: bool,
) -> Result<(), ConsoleError> {
    let operator = command.operator.clone().unwrap_or_else(|| {
        Arc::from(std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned()))
    });
    let request = command.request.clone().unwrap_or_else(new_request_id);
    let confirmation = ConfirmRequest { request, plan: command.plan.clone(), operator };
    let answer: ConfirmResponse = client.post(CONFIRM_PATH, &confirmation)?;
    if json {
        print_json(&answer);
    }
    if answer.code != ResultCode::Done.number() {
        let remedy = answer.changed_since.join("\n");
        return RefusedSnafu { code: answer.code, text: answer.text, remedy }.fail();
    }
    if !json {
        println!("Version {} is in force.", answer.version);
    }
    Ok(())
}

/// Builds an id from the time and the process id, so that no two requests share
/// one.
fn new_request_id() -> Arc<str> {
    let now = std::time::SystemTime::now();
    let since_epoch = now.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Arc::from(format!("cli-{:x}-{:x}", since_epoch.as_nanos(), std::process::id()))
}

fn show_status(
    client: &DaemonClient,
    format: StatusFormatter,
    watch: bool,
    json: bool,
) -> Result<(), ConsoleError> {
    loop {
        let status: StatusResponse = client.get(STATUS_PATH)?;
        if json {
            print_json(&status);
        } else {
            print!("{}", format(&status));
        }
        if !watch {
            return Ok(());
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

fn show_audit_trail(client: &DaemonClient, json: bool) -> Result<(), ConsoleError> {
    let records: Vec<AuditRecord> = client.get(AUDIT_PATH)?;
    if json {
        records.iter().for_each(print_json);
    } else {
        print!("{}", text_output::format_audit_trail(&records));
    }
    match verify_chain(&records) {
        None => Ok(()),
        Some(sequence) => {
            let text = format!("record {sequence} does not follow from the one before it");
            let remedy = "The trail was changed; compare it with another host's.".to_owned();
            RefusedSnafu { code: ResultCode::JournalDamaged.number(), text, remedy }.fail()
        }
    }
}

fn explain_code(number: u16) -> Result<(), ConsoleError> {
    let code = ResultCode::ALL.iter().find(|code| code.number() == number);
    let Some(code) = code else {
        return UnknownCodeSnafu { code: number }.fail();
    };
    println!("{} {:?}: {}", code.number(), code, code.text());
    println!("Outcome: {:?}; SQLSTATE {}", code.outcome(), code.sqlstate());
    println!("{}", code.remedy());
    Ok(())
}
