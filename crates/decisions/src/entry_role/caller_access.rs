use std::{collections::HashMap, sync::Arc};

use crate::{identity::CallerKey, routes::WorkspaceRule};

/// Whether a caller may use a route now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAccess {
    /// It may, without a workspace.
    Open,
    /// It may, as a member of this workspace.
    Member(Arc<str>),
    /// Not now: this host has no lease, so it cannot prove that its configuration
    /// still allows the key.
    Unproven,
    /// Not here: the lease has expired and no control host answers.
    CutOff,
    /// No workspace has the key.
    Refused,
}

impl CallerAccess {
    /// The access of a session that was admitted to a workspace: a key that moved to
    /// another one since is refused like a removed key.
    pub fn of_member(self, admitted: Option<&Arc<str>>) -> Self {
        match (self, admitted) {
            (Self::Member(current), Some(admitted)) if current != *admitted => Self::Refused,
            (access, _) => access,
        }
    }
}

/// Workspaces by the keys of their callers.
#[derive(Debug, Default)]
pub struct KeyTable {
    workspaces: HashMap<CallerKey, Arc<str>>,
}

impl KeyTable {
    /// The table of a valid configuration, in which no key occurs twice.
    pub fn new(rules: &[WorkspaceRule]) -> Self {
        let pairs = rules
            .iter()
            .flat_map(|rule| rule.keys.iter().map(|key| (key.clone(), rule.name.clone())));
        Self { workspaces: pairs.collect() }
    }

    /// The workspace to which a key belongs.
    pub fn workspace(&self, key: &CallerKey) -> Option<&Arc<str>> {
        self.workspaces.get(key)
    }
}
