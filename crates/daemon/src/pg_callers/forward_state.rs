use std::{sync::Arc, time::Duration};

use hawthornstack_decisions::{identity::SessionId, positions::LogPosition};
use serde::{Deserialize, Serialize};

use super::caller_state::CallerState;

/// Name of the setting by which a host hands a session's state to a home,
/// accepted only on connections between hosts.
pub(super) const FORWARD_SETTING: &str = "hawthornstack.forward_state";

/// What a home must know of a session to run its next statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ForwardedState {
    session: SessionId,
    named: bool,
    user: Arc<str>,
    mark: LogPosition,
    max_age: Option<Duration>,
    request_key: Option<Arc<str>>,
    timeout: Duration,
}

impl ForwardedState {
    /// The state of a session, with the key of its next write.
    pub(super) fn of(state: &CallerState, request_key: Option<Arc<str>>) -> Self {
        Self {
            session: state.session.clone(),
            named: state.named,
            user: state.user.clone(),
            mark: state.mark,
            max_age: state.max_age,
            request_key,
            timeout: state.timeout,
        }
    }

    /// The statement that hands the state over.
    pub(super) fn statement(&self) -> String {
        let text = serde_json::to_string(self).unwrap_or_default().replace('\'', "''");
        format!("SET {FORWARD_SETTING} = '{text}'")
    }

    /// Reads the value of the setting.
    pub(super) fn read(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Replaces a session's state on the home.
    pub(super) fn apply(self, state: &mut CallerState) {
        state.session = self.session;
        state.named = self.named;
        state.user = self.user;
        state.mark = self.mark;
        state.max_age = self.max_age;
        state.request_key = self.request_key;
        state.timeout = self.timeout;
    }
}
