use std::{collections::BTreeMap, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{Declaration, ServiceDeclaration};
use crate::identity::{DatabaseName, HostId};

/// A change that an operator asks for; input of a [`Plan`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Intent {
    /// Make the services match a declaration.
    Declare(Declaration),
    /// Stop sending new work to a database, so that it can be removed.
    DrainDatabase(DatabaseName),
    /// Send work to a drained database again.
    RestoreDatabase(DatabaseName),
    /// Accept no new callers on a host, so that it can be removed.
    DrainHost(HostId),
    /// Accept callers on a drained host again.
    RestoreHost(HostId),
    /// Change the limit of waiting requests of one service.
    ChangeWaitingLimit {
        /// Name of the service.
        service: Arc<str>,
        /// Requests that may wait for one group on one host.
        max_waiting: u32,
    },
}

/// One change of a plan; its Debug text is hashed into plan ids and the audit
/// chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlannedChange {
    /// Adds a service.
    AddService(Arc<str>, ServiceDeclaration),
    /// Changes a service; holds the declarations before and after.
    ChangeService(Arc<str>, ServiceDeclaration, ServiceDeclaration),
    /// Removes a service.
    RemoveService(Arc<str>),
    /// Starts draining a database if true, else stops.
    SetDatabaseDraining(DatabaseName, bool),
    /// Starts draining a host if true, else stops.
    SetHostDraining(HostId, bool),
    /// Replaces the whole route table by the one of this version.
    ReplaceRoutes(u64),
}

impl fmt::Display for PlannedChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AddService(name, service) => write!(
                f,
                "add service {name}: {} instances of {} databases; every proxy accepts callers for it",
                service.instances, service.databases
            ),
            Self::ChangeService(name, before, after) => write!(
                f,
                "change service {name}: instances {} -> {}, databases {} -> {}, max_waiting {} -> {}",
                before.instances,
                after.instances,
                before.databases,
                after.databases,
                before.max_waiting,
                after.max_waiting
            ),
            Self::RemoveService(name) => {
                write!(f, "remove service {name}: every proxy refuses new requests for it")
            }
            Self::SetDatabaseDraining(name, true) => {
                write!(f, "drain database {name}: its homes send it no new work")
            }
            Self::SetDatabaseDraining(name, false) => {
                write!(f, "restore database {name}: its homes send it work again")
            }
            Self::ReplaceRoutes(version) => write!(f, "replace all routes by version {version}"),
            Self::SetHostDraining(host, true) => {
                write!(f, "drain host {host}: it takes no new callers and lets requests finish")
            }
            Self::SetHostDraining(host, false) => {
                write!(f, "restore host {host}: it takes callers again")
            }
        }
    }
}

/// The changes that an intent requires, computed for one configuration version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Start of the hash of the base version and the changes, in hexadecimal.
    pub id: Arc<str>,
    /// Configuration version for which the plan was computed.
    pub base_version: u64,
    /// Changes in order; empty if the intent is already met.
    pub changes: Vec<PlannedChange>,
}

impl Plan {
    /// Creates a plan. Its id depends only on the base version and the changes,
    /// so the same intent on the same version gives the same plan.
    pub fn new(base_version: u64, changes: Vec<PlannedChange>) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&base_version.to_be_bytes());
        for change in &changes {
            hasher.update(format!("{change:?}").as_bytes());
        }
        let id = hasher.finalize().to_hex()[..12].to_owned();
        Self { id: Arc::from(id), base_version, changes }
    }
}

/// Changes that turn the current services into the declared ones.
pub(super) fn diff_services(
    current: &BTreeMap<Arc<str>, ServiceDeclaration>,
    declared: &Declaration,
) -> Vec<PlannedChange> {
    let mut changes = Vec::new();
    for (name, after) in &declared.services {
        match current.get(name) {
            None => changes.push(PlannedChange::AddService(name.clone(), after.clone())),
            Some(before) if before != after => changes.push(PlannedChange::ChangeService(
                name.clone(),
                before.clone(),
                after.clone(),
            )),
            Some(_) => {}
        }
    }
    for name in current.keys().filter(|name| !declared.services.contains_key(*name)) {
        changes.push(PlannedChange::RemoveService(name.clone()));
    }
    changes
}
