use std::{path::PathBuf, sync::Arc};

use argh::FromArgs;

/// Operate hawthornstack: declare, read the plan, confirm, watch.
#[derive(FromArgs)]
pub struct CliArguments {
    /// daemons' operator addresses, separated by commas (default
    /// $HAWTHORNSTACK_HOSTS or 127.0.0.1:8432)
    #[argh(option)]
    pub hosts: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    #[argh(subcommand)]
    pub(super) command: CliCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(super) enum CliCommand {
    Plan(PlanCommand),
    Confirm(ConfirmCommand),
    Status(StatusCommand),
    Services(ServicesCommand),
    Upstreams(UpstreamsCommand),
    Hosts(HostsCommand),
    Audit(AuditCommand),
    Explain(ExplainCommand),
    TraceRequest(TraceRequestCommand),
}

/// Turn an intent into a plan to read.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub(super) struct PlanCommand {
    #[argh(subcommand)]
    pub(super) intent: PlanIntent,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(super) enum PlanIntent {
    Declare(DeclareIntent),
    Drain(DrainIntent),
    Restore(RestoreIntent),
    Limit(LimitIntent),
}

/// Make the services as a file declares them (YAML).
#[derive(FromArgs)]
#[argh(subcommand, name = "declare")]
pub(super) struct DeclareIntent {
    /// file with the declaration
    #[argh(option, short = 'f')]
    pub(super) file: PathBuf,
}

/// Empty a database (by name) or a host (hNUMBER).
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(super) struct DrainIntent {
    /// database or host
    #[argh(positional)]
    pub(super) target: String,
}

/// Give a drained database or host work again.
#[derive(FromArgs)]
#[argh(subcommand, name = "restore")]
pub(super) struct RestoreIntent {
    /// database or host
    #[argh(positional)]
    pub(super) target: String,
}

/// Change how many requests may wait for one group of a service.
#[derive(FromArgs)]
#[argh(subcommand, name = "limit")]
pub(super) struct LimitIntent {
    /// service
    #[argh(positional, from_str_fn(parse_text))]
    pub(super) service: Arc<str>,
    /// requests that may wait on one host
    #[argh(option)]
    pub(super) max_waiting: u32,
}

/// Confirm a plan that was read.
#[derive(FromArgs)]
#[argh(subcommand, name = "confirm")]
pub(super) struct ConfirmCommand {
    /// id of the plan
    #[argh(positional, from_str_fn(parse_text))]
    pub(super) plan: Arc<str>,
    /// id of this request; give the same again when an answer was lost
    #[argh(option, from_str_fn(parse_text))]
    pub(super) request: Option<Arc<str>>,
    /// who confirms (default $USER)
    #[argh(option, from_str_fn(parse_text))]
    pub(super) operator: Option<Arc<str>>,
}

/// Show the state of the system as one daemon sees it.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(super) struct StatusCommand {
    /// show it again every second
    #[argh(switch)]
    pub(super) watch: bool,
}

/// Show declared services.
#[derive(FromArgs)]
#[argh(subcommand, name = "services")]
pub(super) struct ServicesCommand {}

/// Show databases.
#[derive(FromArgs)]
#[argh(subcommand, name = "upstreams")]
pub(super) struct UpstreamsCommand {
    /// show them again every second
    #[argh(switch)]
    pub(super) watch: bool,
}

/// Show hosts of the system.
#[derive(FromArgs)]
#[argh(subcommand, name = "hosts")]
pub(super) struct HostsCommand {}

/// Show the audit trail and check its chain.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
pub(super) struct AuditCommand {}

/// Explain a result code.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(super) struct ExplainCommand {
    /// number of the code
    #[argh(positional)]
    pub(super) code: u16,
}

/// Follow a request through the logs of many hosts.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace-request")]
pub(super) struct TraceRequestCommand {
    /// id of the request
    #[argh(positional)]
    pub(super) id: String,
    /// log files (JSON lines); a file without host names is one host's, named
    /// like it
    #[argh(positional)]
    pub(super) files: Vec<PathBuf>,
}

fn parse_text(text: &str) -> Result<Arc<str>, String> {
    Ok(Arc::from(text))
}
