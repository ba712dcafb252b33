use std::{collections::BTreeSet, fs::File, io::BufRead, io::BufReader, path::Path};

use serde::Serialize;
use serde_json::{Map, Value};

use super::arguments::TraceRequestCommand;
use crate::console::{ConsoleError, FileSnafu};

/// Fields that every log line has. The others say what was decided and why.
const COMMON_FIELDS: [&str; 5] = ["timestamp", "level", "message", "target", "request"];

/// One line of a host's log. The field names appear in the output of `--json`.
#[derive(Debug, Clone, Serialize)]
struct TimelineLine {
    time: String,
    host: String,
    /// Target of the log line.
    part: String,
    message: String,
    /// True if the line names the request.
    is_request: bool,
    fields: Map<String, Value>,
}

/// The lines about one request from the logs of many hosts, sorted by time. Lines
/// without a request id that the same hosts or control hosts logged meanwhile are
/// included: they show how the state behind the decisions changed.
#[derive(Debug, Serialize)]
pub(super) struct RequestTimeline {
    request: String,
    lines: Vec<TimelineLine>,
}

impl RequestTimeline {
    /// Reads the log files and selects the lines of the request.
    ///
    /// # Errors
    /// `ConsoleError::File` if one cannot be read or no line names the request.
    pub(super) fn read(command: &TraceRequestCommand) -> Result<Self, ConsoleError> {
        let mut lines = Vec::new();
        for path in &command.files {
            read_lines(path, &command.id, &mut lines)?;
        }
        lines.sort_by(|a: &TimelineLine, b| a.time.cmp(&b.time));
        let request_lines: Vec<&TimelineLine> =
            lines.iter().filter(|line| line.is_request).collect();
        let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
            let reason = format!("no line names the request {}", command.id);
            let path = command.files.first().map_or(Path::new("-"), |path| path);
            return FileSnafu { path, reason }.fail();
        };
        let hosts: BTreeSet<&str> = request_lines.iter().map(|line| &*line.host).collect();
        let time_range = first.time.clone()..=last.time.clone();
        let selected = lines
            .iter()
            .filter(|line| {
                line.is_request || {
                    // Control hosts decide for all hosts, entry hosts only for themselves.
                    let affects_request = line.part == "control" || hosts.contains(&*line.host);
                    affects_request && time_range.contains(&line.time)
                }
            })
            .cloned()
            .collect();
        Ok(Self { request: command.id.clone(), lines: selected })
    }

    /// Formats one log line per line; `*` marks those that name the request.
    pub(super) fn to_text(&self) -> String {
        let mut text = format!("request {}\n", self.request);
        for line in &self.lines {
            let marker = if line.is_request { "*" } else { " " };
            let fields: Vec<String> = line
                .fields
                .iter()
                .filter(|(_, value)| value.as_str() != Some(""))
                .map(|(name, value)| match value {
                    Value::String(value) => format!("{name}={value}"),
                    value => format!("{name}={value}"),
                })
                .collect();
            let (time, host, part, message) = (&line.time, &line.host, &line.part, &line.message);
            let fields = fields.join(" ");
            text.push_str(&format!("{marker} {time} {host} [{part}] {message}: {fields}\n"));
        }
        text
    }
}

fn read_lines(path: &Path, id: &str, lines: &mut Vec<TimelineLine>) -> Result<(), ConsoleError> {
    let file_error = |reason: String| FileSnafu { path, reason }.build();
    let file = File::open(path).map_err(|error| file_error(error.to_string()))?;
    let file_host = path.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
    for line in BufReader::new(file).lines() {
        let line = line.map_err(|error| file_error(error.to_string()))?;
        lines.extend(parse_line(&line, id, &file_host));
    }
    Ok(())
}

/// Parses a log line. A log collector may have put the host's name before the
/// JSON. Returns `None` for lines of other requests and lines that are not JSON.
fn parse_line(line: &str, id: &str, file_host: &str) -> Option<TimelineLine> {
    let start = line.find('{')?;
    let mut fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let host = line[..start].split_whitespace().next_back().unwrap_or(file_host).to_owned();
    let mut take_text = |name: &str| match fields.remove(name) {
        Some(Value::String(text)) => text,
        _ => String::new(),
    };
    let (time, part, message, request) =
        (take_text("timestamp"), take_text("target"), take_text("message"), take_text("request"));
    let is_request = request == id;
    if !is_request && !request.is_empty() {
        return None;
    }
    fields.retain(|name, _| !COMMON_FIELDS.contains(&name.as_str()));
    Some(TimelineLine { time, host, part, message, is_request, fields })
}
