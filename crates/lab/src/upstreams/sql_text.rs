/// A statement that the stand-in treats by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SqlCommand {
    /// Nothing.
    Empty,
    Begin,
    Commit,
    Rollback,
    /// `SET` and the like, accepted without effect.
    Ignored(&'static str),
    /// `hawthornstack_NAME(arguments)`.
    Function {
        name: String,
        arguments: Vec<String>,
    },
    /// Anything else, for the engine.
    Engine(String),
}

/// Casts of PostgreSQL that SQLite does not know, and the type they give.
const CASTS: [(&str, u32); 7] = [
    ("::bigint", 20),
    ("::int8", 20),
    ("::integer", 23),
    ("::int4", 23),
    ("::int", 23),
    ("::text", 25),
    ("::varchar", 25),
];

/// Prefix of the functions that the upstream contract names.
const CONTRACT_PREFIX: &str = "select hawthornstack_";

/// Splits a text at semicolons outside quotes.
pub(super) fn split_statements(sql: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut quote = None;
    for (index, c) in sql.char_indices() {
        match (quote, c) {
            (None, '\'' | '"') => quote = Some(c),
            (Some(open), c) if open == c => quote = None,
            (None, ';') => {
                parts.push(sql[start..index].trim());
                start = index + 1;
            }
            _ => {}
        }
    }
    parts.push(sql[start..].trim());
    parts.retain(|part| !part.is_empty());
    parts
}

/// Reads one statement.
pub(super) fn read_command(sql: &str) -> SqlCommand {
    let text = strip_comment(sql).trim().trim_end_matches(';').trim();
    let lower = text.to_lowercase();
    let first = lower.split_whitespace().next().unwrap_or_default();
    match first {
        "" => SqlCommand::Empty,
        "begin" | "start" => SqlCommand::Begin,
        "commit" | "end" => SqlCommand::Commit,
        "rollback" | "abort" if !lower.contains(" to ") => SqlCommand::Rollback,
        "set" => SqlCommand::Ignored("SET"),
        "reset" | "discard" => SqlCommand::Ignored("RESET"),
        _ if lower.starts_with(CONTRACT_PREFIX) => read_function(&text["select ".len()..]),
        _ => SqlCommand::Engine(translate(text)),
    }
}

fn read_function(text: &str) -> SqlCommand {
    let (name, rest) = text.split_once('(').unwrap_or((text, ""));
    let inner = rest.rsplit_once(')').map_or(rest, |(inner, _)| inner);
    let arguments = inner
        .split(',')
        .map(|argument| argument.trim().trim_matches('\'').to_owned())
        .filter(|argument| !argument.is_empty())
        .collect();
    SqlCommand::Function { name: name.trim().to_lowercase(), arguments }
}

fn strip_comment(sql: &str) -> &str {
    let text = sql.trim_start();
    match text.strip_prefix("/*").and_then(|body| body.find("*/").map(|end| &body[end + 2..])) {
        Some(rest) => strip_comment(rest),
        None => text,
    }
}

/// Rewrites what SQLite does not know.
fn translate(sql: &str) -> String {
    let mut text = sql.to_owned();
    for (cast, _) in CASTS {
        text = text.replace(cast, "");
    }
    for lock in [" FOR UPDATE", " for update"] {
        text = text.replace(lock, "");
    }
    text
}

/// Types of the parameters `$1`, `$2`, ...: stated, by a cast, or text.
pub(super) fn parameter_types(sql: &str, stated: &[u32]) -> Vec<u32> {
    let count = (1..100).take_while(|number| sql.contains(&format!("${number}"))).count();
    (0..count.max(stated.len()))
        .map(|index| {
            let given = stated.get(index).copied().filter(|oid| *oid != 0);
            let place = format!("${}", index + 1);
            let cast = CASTS.iter().find(|(cast, _)| sql.contains(&format!("{place}{cast}")));
            given.or(cast.map(|(_, oid)| *oid)).unwrap_or(25)
        })
        .collect()
}
