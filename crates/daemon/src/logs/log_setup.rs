use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, Record};

use crate::settings::LogSettings;

/// Targets of the daemon's log lines, which are also the keys of `logs.parts` in the
/// settings.
const LOG_TARGETS: [&str; 7] =
    ["callers", "host", "journal", "kernel", "operators", "peers", "upstreams"];

/// Keeps the logger running until dropped.
pub struct LogHandle {
    _handle: LoggerHandle,
}

/// Starts logging to standard error.
///
/// # Errors
/// `FlexiLoggerError` if a level is unknown or a logger is already set.
pub fn start_logs(settings: &LogSettings) -> Result<LogHandle, FlexiLoggerError> {
    let level = settings.level.as_deref().unwrap_or("info");
    let mut directives = vec!["warn".to_owned()];
    for target in LOG_TARGETS {
        let level = settings.parts.get(target).map_or(level, |level| level);
        directives.push(format!("{target}={level}"));
    }
    let handle = Logger::try_with_str(directives.join(","))?.format(write_log_line).start()?;
    Ok(LogHandle { _handle: handle })
}

fn write_log_line(
    writer: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3f");
    write!(writer, "{time} {:5} [{}] {}", record.level(), record.target(), record.args())
}
