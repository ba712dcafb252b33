use super::{CallerSetting, SettingError};

/// Word that opens a hint comment.
const HINT_MARK: &str = "hawthornstack:";

/// Reads the settings in a leading comment of a statement:
/// `/* hawthornstack: max_age=5s request_key=abc */ SELECT ...`.
///
/// Only a comment before the statement's first word counts, so that text
/// inside a literal is never taken for a hint.
///
/// # Errors
/// `SettingError` for the first setting that is not valid.
pub fn read_hints(sql: &str) -> Result<Vec<CallerSetting>, SettingError> {
    let Some(comment) = leading_comment(sql) else {
        return Ok(Vec::new());
    };
    let Some(body) = comment.trim().strip_prefix(HINT_MARK) else {
        return Ok(Vec::new());
    };
    body.split_whitespace().map(read_hint).collect()
}

fn read_hint(word: &str) -> Result<CallerSetting, SettingError> {
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
    let is_hint = leading_comment(text).is_some_and(|body| body.trim().starts_with(HINT_MARK));
    match text.find("*/").filter(|_| is_hint) {
        Some(end) => text[end + 2..].trim_start(),
        None => text,
    }
}
