use std::{collections::BTreeMap, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{Declaration, ServiceDeclaration};
use crate::identity::{DatabaseName, HostId};

/// What an operator wants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Intent {
    /// The services are to be as declared.
    Declare(Declaration),
    /// A database gets no new work, so that it can be taken away.
    DrainDatabase(DatabaseName),
    /// A drained database takes work again.
    RestoreDatabase(DatabaseName),
    /// A host takes no new callers, so that it can be taken away.
    DrainHost(HostId),
    /// A drained host takes callers again.
    RestoreHost(HostId),
    /// A limit of one service changes.
    ChangeWaitingLimit {
        /// The service.
        service: Arc<str>,
        /// Requests that may wait for one group on one host.
        max_waiting: u32,
    },
}

/// One step of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlannedChange {
    /// A service appears.
    AddService(Arc<str>, ServiceDeclaration),
    /// A service changes, from the first to the second.
    ChangeService(Arc<str>, ServiceDeclaration, ServiceDeclaration),
    /// A service goes.
    RemoveService(Arc<str>),
    /// A database starts or stops draining.
    SetDatabaseDraining(DatabaseName, bool),
    /// A host starts or stops draining.
    SetHostDraining(HostId, bool),
    /// A whole configuration with this version is in force.
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

/// Changes that follow from an intent on a stated version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Identity, from the base version and the changes.
    pub id: Arc<str>,
    /// The configuration version that it was made on.
    pub base_version: u64,
    /// The steps; empty if nothing differs.
    pub changes: Vec<PlannedChange>,
}

impl Plan {
    /// Builds a plan; its id depends on the base and the changes alone, so the
    /// same intent on the same version gives the same plan.
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

/// Steps from the services in force to the declared ones.
pub(super) fn service_changes(
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
