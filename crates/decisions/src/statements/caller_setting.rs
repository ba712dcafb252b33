use std::{sync::Arc, time::Duration};

use snafu::Snafu;

use crate::identity::SessionId;

/// Prefix of all settings that callers may give.
pub const SETTING_PREFIX: &str = "hawthornstack.";
/// Longest accepted request key, in bytes.
const MAX_REQUEST_KEY_BYTES: usize = 128;
/// Longest accepted statement timeout.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Reason why a setting is not valid; nothing is changed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{SETTING_PREFIX}{name}: {reason}"))]
pub struct SettingError {
    /// Name without the prefix.
    pub name: String,
    /// What is wrong and how to correct it.
    pub reason: String,
}

/// A caller's setting with a valid value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerSetting {
    /// `max_age`: maximum age of the data that reads accept; `None` for session reads.
    MaxAge(Option<Duration>),
    /// `session`: identifier under which positions are stored.
    Session(SessionId),
    /// `request_key`: key that identifies the next write; `None` clears it.
    RequestKey(Option<Arc<str>>),
    /// `token`: a session token received earlier.
    Token(Arc<str>),
    /// `timeout`: time limit for the answer to a statement.
    Timeout(Duration),
}

impl CallerSetting {
    /// Parses a setting; `name` is given without the prefix.
    ///
    /// # Errors
    /// `SettingError` with the reason and the correction.
    pub fn parse(name: &str, value: &str) -> Result<Self, SettingError> {
        let refuse = |reason: String| SettingError { name: name.to_owned(), reason };
        match name {
            "max_age" if value == "off" => Ok(Self::MaxAge(None)),
            "max_age" => parse_duration(value).map(|age| Self::MaxAge(Some(age))).map_err(refuse),
            "session" => {
                SessionId::new(value).map(Self::Session).map_err(|error| refuse(error.to_string()))
            }
            "request_key" if value.is_empty() => Ok(Self::RequestKey(None)),
            "request_key" if value.len() > MAX_REQUEST_KEY_BYTES => Err(refuse(format!(
                "the key has {} bytes; give at most {MAX_REQUEST_KEY_BYTES}",
                value.len()
            ))),
            "request_key" => Ok(Self::RequestKey(Some(Arc::from(value)))),
            "token" => Ok(Self::Token(Arc::from(value))),
            "timeout" => match parse_duration(value).map_err(refuse)? {
                timeout if timeout.is_zero() || timeout > MAX_TIMEOUT => {
                    Err(refuse("give a timeout between 1ms and 600s".to_owned()))
                }
                timeout => Ok(Self::Timeout(timeout)),
            },
            _ => Err(refuse(
                "no such setting; use max_age, session, request_key, token or timeout".to_owned(),
            )),
        }
    }
}

/// Parses a duration with its unit: `250ms`, `5s`, `2min`.
fn parse_duration(text: &str) -> Result<Duration, String> {
    let invalid = || format!("{text:?} is not a duration; write it with a unit: 250ms, 5s or 2min");
    let split = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(invalid)?;
    let (digits, unit) = text.split_at(split);
    let count: u64 = digits.parse().map_err(|_| invalid())?;
    let millis = match unit {
        "ms" => Some(count),
        "s" => count.checked_mul(1_000),
        "min" => count.checked_mul(60_000),
        _ => None,
    };
    millis.map(Duration::from_millis).ok_or_else(invalid)
}
