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

/// Timeout of a statement unless the caller sets another.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// PostgreSQL settings that callers may set without effect: they are accepted
/// and change nothing on the databases.
const IGNORED_SETTINGS: [&str; 9] = [
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

/// Statement that the caller prepared.
#[derive(Debug, Clone)]
pub(super) struct PreparedStatement {
    pub(super) query: Arc<str>,
    pub(super) type_oids: Vec<u32>,
    pub(super) class: StatementClass,
    /// Name under which it is prepared on connections to databases; empty for
    /// the unnamed statement.
    pub(super) key: Box<str>,
}

/// State of a caller's session: settings, session position and prepared statements.
#[derive(Debug)]
pub(super) struct CallerState {
    pub(super) group: GroupName,
    pub(super) session: SessionId,
    /// The caller named its session, so other proxies may serve it too.
    pub(super) named: bool,
    /// Waiting requests of different users take turns.
    pub(super) user: Arc<str>,
    /// Log position that the session's next read must see.
    pub(super) session_position: LogPosition,
    pub(super) max_age: Option<Duration>,
    pub(super) request_key: Option<Arc<str>>,
    pub(super) timeout: Duration,
    /// The caller is another host that forwards requests.
    pub(super) forwarded: bool,
    /// That host has sent no state, or the last one was refused: its statements must not
    /// run with an earlier one.
    pub(super) lacks_forwarded: bool,
    pub(super) prepared: HashMap<String, PreparedStatement>,
}

/// Error for a setting that is refused.
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
            session_position: LogPosition::default(),
            max_age: None,
            request_key: None,
            timeout: DEFAULT_TIMEOUT,
            forwarded: false,
            lacks_forwarded: false,
            prepared: HashMap::new(),
        }
    }

    /// Sets whether the caller is another host, which sends the state of its sessions.
    pub(super) fn expect_forwarded(&mut self, forwarded: bool) {
        self.forwarded = forwarded;
        self.lacks_forwarded = forwarded;
    }

    /// Changes one setting for the rest of the session; a refused setting
    /// changes nothing.
    pub(super) fn set(&mut self, name: &str, value: &str, key: &TokenKey) -> Result<(), Refusal> {
        if name == FORWARD_SETTING {
            return self.apply_forwarded_state(value);
        }
        let Some(setting_name) = name.strip_prefix(SETTING_PREFIX) else {
            if IGNORED_SETTINGS.contains(&name) {
                return Ok(());
            }
            let text = format!(
                "setting {name} would stay on a shared connection; use SET LOCAL in a transaction"
            );
            return Err(Refusal { code: ResultCode::NotSupported, text });
        };
        let setting = CallerSetting::parse(setting_name, value)
            .map_err(|error| Refusal { code: ResultCode::BadSetting, text: error.to_string() })?;
        self.apply(setting, key)
    }

    /// Applies a setting that is already parsed.
    pub(super) fn apply(&mut self, setting: CallerSetting, key: &TokenKey) -> Result<(), Refusal> {
        match setting {
            CallerSetting::MaxAge(age) => self.max_age = age,
            CallerSetting::Session(session) => {
                if session != self.session {
                    self.session_position = LogPosition::default();
                }
                self.session = session;
                self.named = true;
            }
            CallerSetting::RequestKey(request_key) => self.request_key = request_key,
            CallerSetting::Token(text) => self.apply_token(&text, key)?,
            CallerSetting::Timeout(timeout) => self.timeout = timeout,
        }
        Ok(())
    }

    fn apply_token(&mut self, text: &str, key: &TokenKey) -> Result<(), Refusal> {
        let token = SessionToken::decode(text, key, &self.group)
            .map_err(|error| Refusal { code: ResultCode::BadToken, text: error.to_string() })?;
        if token.session == self.session {
            self.session_position = self.session_position.max(token.position);
        } else {
            self.session = token.session;
            self.session_position = token.position;
            self.named = true;
        }
        Ok(())
    }

    /// Advances the session position to that of a token that a gateway issued
    /// for this session; an invalid token is ignored.
    pub(super) fn apply_forwarded_token(&mut self, token: Option<String>, key: &TokenKey) {
        let decoded = token.and_then(|text| SessionToken::decode(&text, key, &self.group).ok());
        if let Some(token) = decoded {
            self.session_position = self.session_position.max(token.position);
        }
    }

    /// Value of a setting as text, for `SHOW`.
    pub(super) fn show_setting(&self, name: &str, key: &TokenKey) -> Option<String> {
        let value = match name.strip_prefix(SETTING_PREFIX)? {
            "max_age" => match self.max_age {
                Some(age) => format!("{}ms", age.as_millis()),
                None => "off".to_owned(),
            },
            "session" => self.session.to_string(),
            "request_key" => self.request_key.as_deref().unwrap_or_default().to_owned(),
            "token" => self.encode_token(key),
            "timeout" => format!("{}ms", self.timeout.as_millis()),
            _ => return None,
        };
        Some(value)
    }

    /// Token with the current session position.
    pub(super) fn encode_token(&self, key: &TokenKey) -> String {
        let token = SessionToken {
            session: self.session.clone(),
            group: self.group.clone(),
            position: self.session_position,
        };
        token.encode(key)
    }

    /// Replaces the session state by one that another host sent.
    fn apply_forwarded_state(&mut self, value: &str) -> Result<(), Refusal> {
        let forwarded = ForwardedState::parse(value).filter(|_| self.forwarded);
        self.lacks_forwarded = self.forwarded && forwarded.is_none();
        let forwarded = forwarded.ok_or_else(|| Refusal {
            code: ResultCode::BadSetting,
            text: format!("{FORWARD_SETTING} is accepted only on connections between hosts"),
        })?;
        forwarded.apply_to(self);
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

    /// Source of the position that the session's next read must see.
    pub(super) fn position_source(&self) -> PositionSource {
        match self.named {
            true => PositionSource::PositionHosts(self.session_position),
            false => PositionSource::Known(self.session_position),
        }
    }
}
