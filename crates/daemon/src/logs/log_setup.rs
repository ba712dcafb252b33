use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, Record};

use crate::settings::LogSettings;

/// Parts that log, as named in settings and prefixes.
const LOG_PARTS: [&str; 7] =
    ["callers", "host", "journal", "kernel", "operators", "peers", "upstreams"];

/// Keeps the logger alive.
pub struct LogHandle {
    _handle: LoggerHandle,
}

/// Starts logging to standard error.
///
/// # Errors
/// `FlexiLoggerError` if a level is not known or logging runs already.
pub fn start_logs(settings: &LogSettings) -> Result<LogHandle, FlexiLoggerError> {
    let level = settings.level.as_deref().unwrap_or("info");
    let mut words = vec!["warn".to_owned()];
    for part in LOG_PARTS {
        let level = settings.parts.get(part).map_or(level, |level| level);
        words.push(format!("{part}={level}"));
    }
    let handle = Logger::try_with_str(words.join(","))?.format(write_line).start()?;
    Ok(LogHandle { _handle: handle })
}

fn write_line(
    writer: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3f");
    write!(writer, "{time} {:5} [{}] {}", record.level(), record.target(), record.args())
}
