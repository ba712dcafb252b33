use super::{CallerSetting, SettingError};

/// Prefix of a hint comment.
const HINT_PREFIX: &str = "hawthornstack:";

/// Parses the settings in a leading comment of a statement:
/// `/* hawthornstack: max_age=5s request_key=abc */ SELECT ...`.
///
/// Only a comment before the statement's first word is parsed, so that the text of a
/// literal is never taken for a hint.
///
/// # Errors
/// `SettingError` for the first invalid setting.
pub fn read_hints(sql: &str) -> Result<Vec<CallerSetting>, SettingError> {
    let Some(comment) = leading_comment(sql) else {
        return Ok(Vec::new());
    };
    let Some(body) = comment.trim().strip_prefix(HINT_PREFIX) else {
        return Ok(Vec::new());
    };
    body.split_whitespace().map(parse_hint).collect()
}

fn parse_hint(word: &str) -> Result<CallerSetting, SettingError> {
    match word.split_once('=') {
        Some((name, value)) => CallerSetting::parse(name, value),
        None => CallerSetting::parse(word, ""),
    }
}

fn leading_comment(sql: &str) -> Option<&str> {
    let body = sql.trim_start().strip_prefix("/*")?;
    body.find("*/").map(|end| &body[..end])
}

/// The statement without a leading hint comment.
pub fn strip_hints(sql: &str) -> &str {
    let text = sql.trim_start();
    let is_hint = leading_comment(text).is_some_and(|body| body.trim().starts_with(HINT_PREFIX));
    match text.find("*/").filter(|_| is_hint) {
        Some(end) => text[end + 2..].trim_start(),
        None => text,
    }
}
