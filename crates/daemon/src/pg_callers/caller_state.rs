use std::{collections::HashMap, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    identity::{GroupName, SessionId},
    outcomes::ResultCode,
    positions::LogPosition,
    requests::{PositionSource, RequestKind},
    sessions::{SessionToken, TokenKey},
    statements::{CallerSetting, SETTING_PREFIX, StatementClass},
};

use super::forward_state::{FORWARD_SETTING, ForwardedState};

/// Time within which a statement must be answered, unless the caller says
/// otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of PostgreSQL that callers may set; they change nothing on the
/// databases and are accepted as they are.
const HARMLESS_SETTINGS: [&str; 9] = [
    "application_name",
    "bytea_output",
    "client_encoding",
    "client_min_messages",
    "datestyle",
    "extra_float_digits",
    "intervalstyle",
    "standard_conforming_strings",
    "timezone",
];

/// A statement that the caller prepared.
#[derive(Debug, Clone)]
pub(super) struct PreparedStatement {
    pub(super) query: Arc<str>,
    pub(super) types: Vec<u32>,
    pub(super) class: StatementClass,
    /// Name under which it is prepared on connections to databases.
    pub(super) key: Box<str>,
}

/// A caller's session: its settings, its mark and its prepared statements.
#[derive(Debug)]
pub(super) struct CallerState {
    pub(super) group: GroupName,
    pub(super) session: SessionId,
    /// The caller named its session, so that other proxies may serve it too.
    pub(super) named: bool,
    /// Name under which the caller's requests take turns.
    pub(super) user: Arc<str>,
    pub(super) mark: LogPosition,
    pub(super) max_age: Option<Duration>,
    pub(super) request_key: Option<Arc<str>>,
    pub(super) timeout: Duration,
    /// The caller is another host that forwards requests.
    pub(super) forwarded: bool,
    pub(super) prepared: HashMap<String, PreparedStatement>,
}

/// A refused setting.
#[derive(Debug)]
pub(super) struct Refusal {
    pub(super) code: ResultCode,
    pub(super) text: String,
}

impl CallerState {
    pub(super) fn new(group: GroupName, session: SessionId, user: &str) -> Self {
        Self {
            group,
            session,
            named: false,
            user: Arc::from(user),
            mark: LogPosition::default(),
            max_age: None,
            request_key: None,
            timeout: DEFAULT_TIMEOUT,
            forwarded: false,
            prepared: HashMap::new(),
        }
    }

    /// Changes one setting for the rest of the session; nothing changes if it
    /// is refused.
    pub(super) fn set(&mut self, name: &str, value: &str, key: &TokenKey) -> Result<(), Refusal> {
        if name == FORWARD_SETTING {
            return self.take_forwarded_state(value);
        }
        let Some(own) = name.strip_prefix(SETTING_PREFIX) else {
            if HARMLESS_SETTINGS.contains(&name) {
                return Ok(());
            }
            let text = format!(
                "setting {name} would stay on a shared connection; use SET LOCAL in a transaction"
            );
            return Err(Refusal { code: ResultCode::NotSupported, text });
        };
        let setting = CallerSetting::parse(own, value)
            .map_err(|error| Refusal { code: ResultCode::BadSetting, text: error.to_string() })?;
        self.apply(setting, key)
    }

    /// Applies a checked setting.
    pub(super) fn apply(&mut self, setting: CallerSetting, key: &TokenKey) -> Result<(), Refusal> {
        match setting {
            CallerSetting::MaxAge(age) => self.max_age = age,
            CallerSetting::Session(session) => {
                if session != self.session {
                    self.mark = LogPosition::default();
                }
                self.session = session;
                self.named = true;
            }
            CallerSetting::RequestKey(request_key) => self.request_key = request_key,
            CallerSetting::Token(text) => self.take_token(&text, key)?,
            CallerSetting::Timeout(timeout) => self.timeout = timeout,
        }
        Ok(())
    }

    fn take_token(&mut self, text: &str, key: &TokenKey) -> Result<(), Refusal> {
        let token = SessionToken::decode(text, key, &self.group)
            .map_err(|error| Refusal { code: ResultCode::BadToken, text: error.to_string() })?;
        if token.session == self.session {
            self.mark = self.mark.max(token.position);
        } else {
            self.session = token.session;
            self.mark = token.position;
            self.named = true;
        }
        Ok(())
    }

    /// Takes the mark of a token that a home handed out for this session.
    pub(super) fn take_forwarded_token(&mut self, token: Option<String>, key: &TokenKey) {
        let read = token.and_then(|text| SessionToken::decode(&text, key, &self.group).ok());
        if let Some(token) = read {
            self.mark = self.mark.max(token.position);
        }
    }

    /// The text of a setting, for `SHOW`.
    pub(super) fn show(&self, name: &str, key: &TokenKey) -> Option<String> {
        let value = match name.strip_prefix(SETTING_PREFIX)? {
            "max_age" => match self.max_age {
                Some(age) => format!("{}ms", age.as_millis()),
                None => "off".to_owned(),
            },
            "session" => self.session.to_string(),
            "request_key" => self.request_key.as_deref().unwrap_or_default().to_owned(),
            "token" => self.token(key),
            "timeout" => format!("{}ms", self.timeout.as_millis()),
            _ => return None,
        };
        Some(value)
    }

    /// The session's token as it stands.
    pub(super) fn token(&self, key: &TokenKey) -> String {
        let token = SessionToken {
            session: self.session.clone(),
            group: self.group.clone(),
            position: self.mark,
        };
        token.encode(key)
    }

    /// Takes the whole state that another host handed over.
    fn take_forwarded_state(&mut self, value: &str) -> Result<(), Refusal> {
        let forwarded = ForwardedState::read(value).filter(|_| self.forwarded);
        let forwarded = forwarded.ok_or_else(|| Refusal {
            code: ResultCode::BadSetting,
            text: format!("{FORWARD_SETTING} is for hosts of the system only"),
        })?;
        forwarded.apply(self);
        Ok(())
    }

    /// Which databases may serve a statement of this session.
    pub(super) fn request_kind(&self, writes: bool) -> RequestKind {
        match (writes, self.max_age) {
            (true, _) => RequestKind::Write,
            (false, Some(age)) => RequestKind::BoundedStaleness(age),
            (false, None) => RequestKind::SessionRead,
        }
    }

    /// Where the mark of this session's next read comes from.
    pub(super) fn mark_source(&self) -> PositionSource {
        match self.named {
            true => PositionSource::PositionHosts(self.mark),
            false => PositionSource::Known(self.mark),
        }
    }
}
