use std::{collections::BTreeMap, sync::Arc};

use super::{PreparedStatement, SessionState};

/// Prepared statements kept on one connection before it is cleared.
const MAX_PREPARED: usize = 256;

/// A statement that restores a session on a shared connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RestoreStep {
    /// Clears session values and prepared statements.
    Reset,
    /// Sets a session value.
    SetValue {
        /// Name of the value.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Prepares a statement.
    Prepare {
        /// Its name on this connection.
        name: Arc<str>,
        /// Statement to prepare.
        prepared: PreparedStatement,
    },
}

/// Session values and prepared statements that a shared connection holds. The
/// connection assigns its own names to prepared statements, so that callers'
/// names do not collide.
#[derive(Debug, Default)]
pub struct ConnectionState {
    values: BTreeMap<Arc<str>, Arc<str>>,
    prepared: BTreeMap<PreparedStatement, Arc<str>>,
}

impl ConnectionState {
    /// Returns the statements to send so that the connection holds exactly the
    /// session's values. The state is updated before they are sent, so a
    /// connection on which a step fails must be closed.
    pub fn restore_values(&mut self, session: &SessionState) -> Vec<RestoreStep> {
        let mut steps = Vec::new();
        let has_extra = self.values.keys().any(|name| !session.values.contains_key(name));
        if has_extra || self.prepared.len() > MAX_PREPARED {
            steps.push(RestoreStep::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in &session.values {
            if self.values.get(name) != Some(value) {
                self.values.insert(name.clone(), value.clone());
                let (name, value) = (name.clone(), value.clone());
                steps.push(RestoreStep::SetValue { name, value });
            }
        }
        steps
    }

    /// The longest name that a connection gives a prepared statement.
    pub fn longest_name() -> Arc<str> {
        name_of(MAX_PREPARED)
    }

    /// The connection's name for a prepared statement, and the step that
    /// prepares it if it is new.
    pub fn prepared_name(
        &mut self,
        prepared: &PreparedStatement,
    ) -> (Arc<str>, Option<RestoreStep>) {
        if let Some(name) = self.prepared.get(prepared) {
            return (name.clone(), None);
        }
        let name = name_of(self.prepared.len());
        self.prepared.insert(prepared.clone(), name.clone());
        let step = RestoreStep::Prepare { name: name.clone(), prepared: prepared.clone() };
        (name, Some(step))
    }
}

/// Name of the prepared statement with this number on a connection.
fn name_of(number: usize) -> Arc<str> {
    Arc::from(format!("p{number}"))
}
