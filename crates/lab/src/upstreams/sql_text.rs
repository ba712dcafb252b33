/// A parsed statement, by the way the stand-in handles it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SqlCommand {
    /// No statement: blank text or only comments.
    Empty,
    Begin,
    Commit,
    Rollback,
    /// `SET`, `RESET` or `DISCARD`, accepted without effect; holds the command tag.
    Ignored(&'static str),
    /// A call of a `hawthornstack_` function of the upstream contract.
    Function {
        name: String,
        arguments: Vec<String>,
    },
    /// Any other statement, translated for SQLite.
    Engine(String),
}

/// PostgreSQL casts that SQLite does not support, with the OIDs of their types.
const CASTS: [(&str, u32); 7] = [
    ("::bigint", 20),
    ("::int8", 20),
    ("::integer", 23),
    ("::int4", 23),
    ("::int", 23),
    ("::text", 25),
    ("::varchar", 25),
];

/// Start of a statement that calls a function of the upstream contract, in
/// lower case.
const CONTRACT_PREFIX: &str = "select hawthornstack_";

/// Splits SQL text at semicolons outside quotes and drops empty statements.
pub(super) fn split_statements(sql: &str) -> Vec<&str> {
    let mut statements = Vec::new();
    let mut start = 0;
    let mut quote = None;
    for (index, c) in sql.char_indices() {
        match (quote, c) {
            (None, '\'' | '"') => quote = Some(c),
            (Some(open), c) if open == c => quote = None,
            (None, ';') => {
                statements.push(sql[start..index].trim());
                start = index + 1;
            }
            _ => {}
        }
    }
    statements.push(sql[start..].trim());
    statements.retain(|statement| !statement.is_empty());
    statements
}

/// Parses one statement. Leading comments and trailing semicolons are ignored.
pub(super) fn parse_command(sql: &str) -> SqlCommand {
    let text = strip_leading_comments(sql).trim().trim_end_matches(';').trim();
    let lower = text.to_lowercase();
    let first = lower.split_whitespace().next().unwrap_or_default();
    match first {
        "" => SqlCommand::Empty,
        "begin" | "start" => SqlCommand::Begin,
        "commit" | "end" => SqlCommand::Commit,
        "rollback" | "abort" if !lower.contains(" to ") => SqlCommand::Rollback,
        "set" => SqlCommand::Ignored("SET"),
        "reset" | "discard" => SqlCommand::Ignored("RESET"),
        _ if lower.starts_with(CONTRACT_PREFIX) => parse_function(&text["select ".len()..]),
        _ => SqlCommand::Engine(translate_to_sqlite(text)),
    }
}

fn parse_function(text: &str) -> SqlCommand {
    let (name, rest) = text.split_once('(').unwrap_or((text, ""));
    let list = rest.rsplit_once(')').map_or(rest, |(list, _)| list);
    let arguments = list
        .split(',')
        .map(|argument| argument.trim().trim_matches('\'').to_owned())
        .filter(|argument| !argument.is_empty())
        .collect();
    SqlCommand::Function { name: name.trim().to_lowercase(), arguments }
}

fn strip_leading_comments(sql: &str) -> &str {
    let text = sql.trim_start();
    match text.strip_prefix("/*").and_then(|body| body.find("*/").map(|end| &body[end + 2..])) {
        Some(rest) => strip_leading_comments(rest),
        None => text,
    }
}

/// Removes the casts and row locks that SQLite does not support.
fn translate_to_sqlite(sql: &str) -> String {
    let mut text = sql.to_owned();
    for (cast, _) in CASTS {
        text = text.replace(cast, "");
    }
    for lock in [" FOR UPDATE", " for update"] {
        text = text.replace(lock, "");
    }
    text
}

/// Type OIDs of the parameters `$1`, `$2`, ...: declared by the client, else taken
/// from a cast in the text, else `text`.
pub(super) fn parameter_types(sql: &str, declared: &[u32]) -> Vec<u32> {
    let count = (1..100).take_while(|number| sql.contains(&format!("${number}"))).count();
    (0..count.max(declared.len()))
        .map(|index| {
            let declared_type = declared.get(index).copied().filter(|oid| *oid != 0);
            let placeholder = format!("${}", index + 1);
            let cast = CASTS.iter().find(|(cast, _)| sql.contains(&format!("{placeholder}{cast}")));
            declared_type.or(cast.map(|(_, oid)| *oid)).unwrap_or(25)
        })
        .collect()
}
