use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    RouteRule, RouteTable, ServiceRule, TrafficLimits, WorkspaceRule,
    list_edit::{ListEdit, apply_edits, edits_between},
};

/// A configuration as a change of an earlier one, without the operator's text.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct RouteChange {
    version: u64,
    routes: Vec<ListEdit<RouteRule>>,
    services: Vec<ServiceRule>,
    limits: TrafficLimits,
    workspaces: Option<Vec<ListEdit<WorkspaceRule>>>,
    /// Hash of the configuration that results: hosts must not serve by another one.
    hash: u64,
}

impl RouteChange {
    /// The change from `old` to `new`.
    pub(super) fn between(old: &RouteTable, new: &RouteTable) -> Self {
        let old_workspaces = old.workspaces.as_deref().unwrap_or_default();
        let workspaces = new.workspaces.as_deref();
        Self {
            version: new.version,
            routes: edits_between(&old.routes, &new.routes),
            services: new.services.clone(),
            limits: new.limits,
            workspaces: workspaces.map(|new| edits_between(old_workspaces, new)),
            hash: hash_of(new),
        }
    }

    /// The configuration that the change makes of `old`; `None` if it was made for another.
    pub(super) fn apply(self, old: &RouteTable) -> Option<RouteTable> {
        let old_workspaces = old.workspaces.as_deref().unwrap_or_default();
        let workspaces = match self.workspaces {
            Some(edits) => Some(apply_edits(old_workspaces, edits)?),
            None => None,
        };
        let table = RouteTable {
            version: self.version,
            routes: apply_edits(&old.routes, self.routes)?,
            services: self.services,
            limits: self.limits,
            workspaces,
            source: Arc::from(""),
        };
        (hash_of(&table) == self.hash).then_some(table)
    }
}

/// Hash of a configuration without the operator's text.
fn hash_of(table: &RouteTable) -> u64 {
    let mut bytes = Vec::new();
    let parts = (table.version, &table.routes, &table.services, &table.limits, &table.workspaces);
    // Encoding into memory cannot fail.
    let _ = ciborium::into_writer(&parts, &mut bytes);
    xxh3_64(&bytes)
}
