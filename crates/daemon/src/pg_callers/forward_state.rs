use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::{identity::SessionId, positions::LogPosition};
use serde::{Deserialize, Serialize};

use super::caller_state::CallerState;

/// Setting by which a host sends a session's state to a gateway; accepted only on
/// connections between hosts.
pub(super) const FORWARD_SETTING: &str = "hawthornstack.forward_state";

/// State of a session that a gateway needs to run its next statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ForwardedState {
    session: SessionId,
    named: bool,
    user: Arc<str>,
    #[serde(rename = "mark")]
    session_position: LogPosition,
    max_age: Option<Duration>,
    request_key: Option<Arc<str>>,
    timeout: Duration,
}

impl ForwardedState {
    /// Copies the state of a session, with the request key of its next write.
    pub(super) fn from_session(state: &CallerState, request_key: Option<Arc<str>>) -> Self {
        Self {
            session: state.session.clone(),
            named: state.named,
            user: state.user.clone(),
            session_position: state.session_position,
            max_age: state.max_age,
            request_key,
            timeout: state.timeout,
        }
    }

    /// The `SET` statement that sends the state to a gateway.
    pub(super) fn to_statement(&self) -> String {
        let text = serde_json::to_string(self).unwrap_or_default().replace('\'', "''");
        format!("SET {FORWARD_SETTING} = '{text}'")
    }

    /// Parses the value of the setting.
    pub(super) fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Replaces a session's state on the gateway.
    pub(super) fn apply_to(self, state: &mut CallerState) {
        state.session = self.session;
        state.named = self.named;
        state.user = self.user;
        state.session_position = self.session_position;
        state.max_age = self.max_age;
        state.request_key = self.request_key;
        state.timeout = self.timeout;
    }
}
