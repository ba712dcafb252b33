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
    pages,
    request_timeline::RequestTimeline,
};
use crate::console::{ConsoleError, DaemonClient, FileSnafu, RefusedSnafu, UnknownCodeSnafu};

/// Daemon that is asked unless told otherwise.
const DEFAULT_HOSTS: &str = "127.0.0.1:8432";
/// Time between two pages of `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// What a page shows of the status.
type StatusPage = fn(&StatusResponse) -> String;

/// Runs one command.
///
/// # Errors
/// `ConsoleError`, with the exit code of the process.
pub fn run(arguments: &CliArguments) -> Result<(), ConsoleError> {
    let hosts = arguments
        .hosts
        .clone()
        .or_else(|| std::env::var("HAWTHORNSTACK_HOSTS").ok())
        .unwrap_or_else(|| DEFAULT_HOSTS.to_owned());
    let client = DaemonClient::new(&hosts);
    let json = arguments.json;
    match &arguments.command {
        CliCommand::Plan(command) => plan(&client, &command.intent, json),
        CliCommand::Confirm(command) => confirm(&client, command, json),
        CliCommand::Status(command) => status(&client, pages::status, command.watch, json),
        CliCommand::Services(_) => status(&client, pages::services, false, json),
        CliCommand::Upstreams(command) => status(&client, pages::upstreams, command.watch, json),
        CliCommand::Hosts(_) => status(&client, pages::hosts, false, json),
        CliCommand::Audit(_) => audit(&client, json),
        CliCommand::Explain(command) => explain(command.code),
        CliCommand::TraceRequest(command) => trace_request(command, json),
    }
}

fn trace_request(command: &TraceRequestCommand, json: bool) -> Result<(), ConsoleError> {
    let timeline = RequestTimeline::read(command)?;
    match json {
        true => print_json(&timeline),
        false => print!("{}", timeline.text()),
    }
    Ok(())
}

fn print_json(value: &impl serde::Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("The answer cannot be printed: {error}."),
    }
}

fn bad_input(text: &str, reason: impl std::fmt::Display) -> ConsoleError {
    FileSnafu { path: Path::new(text), reason: reason.to_string() }.build()
}

fn read_declaration(path: &Path) -> Result<Declaration, ConsoleError> {
    let refuse = |reason: String| FileSnafu { path, reason }.build();
    let text = std::fs::read_to_string(path).map_err(|error| refuse(error.to_string()))?;
    serde_yaml_ng::from_str(&text).map_err(|error| refuse(error.to_string()))
}

/// A host is written `hNUMBER`; anything else names a database.
fn read_host(target: &str) -> Option<HostId> {
    target.strip_prefix('h').and_then(|number| number.parse().ok()).map(HostId)
}

fn read_database(target: &str) -> Result<DatabaseName, ConsoleError> {
    DatabaseName::new(target).map_err(|error| bad_input(target, error))
}

fn read_intent(intent: &PlanIntent) -> Result<Intent, ConsoleError> {
    Ok(match intent {
        PlanIntent::Declare(declare) => Intent::Declare(read_declaration(&declare.file)?),
        PlanIntent::Drain(drain) => match read_host(&drain.target) {
            Some(host) => Intent::DrainHost(host),
            None => Intent::DrainDatabase(read_database(&drain.target)?),
        },
        PlanIntent::Restore(restore) => match read_host(&restore.target) {
            Some(host) => Intent::RestoreHost(host),
            None => Intent::RestoreDatabase(read_database(&restore.target)?),
        },
        PlanIntent::Limit(limit) => Intent::ChangeWaitingLimit {
            service: limit.service.clone(),
            max_waiting: limit.max_waiting,
        },
    })
}

fn plan(client: &DaemonClient, intent: &PlanIntent, json: bool) -> Result<(), ConsoleError> {
    let request = PlanRequest { intent: read_intent(intent)? };
    let plan: PlanResponse = client.post(PLAN_PATH, &request)?;
    if json {
        print_json(&plan);
    } else {
        print!("{}", pages::plan(&plan));
    }
    Ok(())
}

fn confirm(
    client: &DaemonClient,
    command: &ConfirmCommand,
    json: bool,
) -> Result<(), ConsoleError> {
    let operator = command.operator.clone().unwrap_or_else(|| {
        Arc::from(std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned()))
    });
    let request = command.request.clone().unwrap_or_else(new_request_id);
    let question = ConfirmRequest { request, plan: command.plan.clone(), operator };
    let answer: ConfirmResponse = client.post(CONFIRM_PATH, &question)?;
    if json {
        print_json(&answer);
    }
    if answer.code != ResultCode::Done.number() {
        let mend = answer.changed_since.join("\n");
        return RefusedSnafu { code: answer.code, text: answer.text, mend }.fail();
    }
    if !json {
        println!("Version {} is in force.", answer.version);
    }
    Ok(())
}

/// An id that no other request has: the time and the process.
fn new_request_id() -> Arc<str> {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Arc::from(format!("cli-{:x}-{:x}", since.as_nanos(), std::process::id()))
}

fn status(
    client: &DaemonClient,
    page: StatusPage,
    watch: bool,
    json: bool,
) -> Result<(), ConsoleError> {
    loop {
        let status: StatusResponse = client.get(STATUS_PATH)?;
        if json {
            print_json(&status);
        } else {
            print!("{}", page(&status));
        }
        if !watch {
            return Ok(());
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

fn audit(client: &DaemonClient, json: bool) -> Result<(), ConsoleError> {
    let records: Vec<AuditRecord> = client.get(AUDIT_PATH)?;
    if json {
        records.iter().for_each(print_json);
    } else {
        print!("{}", pages::audit(&records));
    }
    match verify_chain(&records) {
        None => Ok(()),
        Some(sequence) => {
            let text = format!("record {sequence} does not follow from the one before it");
            let mend = "The trail was changed; compare it with another host's.".to_owned();
            RefusedSnafu { code: ResultCode::JournalDamaged.number(), text, mend }.fail()
        }
    }
}

fn explain(number: u16) -> Result<(), ConsoleError> {
    let code = ResultCode::ALL.iter().find(|code| code.number() == number);
    let Some(code) = code else {
        return UnknownCodeSnafu { code: number }.fail();
    };
    println!("{} {:?}: {}", code.number(), code, code.text());
    println!("Outcome: {:?}; SQLSTATE {}", code.outcome(), code.sqlstate());
    println!("{}", code.remedy());
    Ok(())
}
