use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{RouteRule, ServiceRule, TrafficLimits, WorkspaceRule};
use crate::{identity::CallerKey, packing::encoded_len};

/// Largest encoded configuration, in bytes. Control hosts send each other a log entry, or
/// a snapshot of the state with up to 10,000 audit records, in one frame of at most
/// 16 MiB; an entry that fits into no frame would never be committed, nor any after it.
const MAX_ENCODED_BYTES: usize = 10 * 1024 * 1024;
/// Length of the operator's text, in bytes, up to which the encoded configuration is
/// certainly smaller than the limit.
const SHORT_SOURCE_BYTES: usize = 128 * 1024;

/// Why a configuration was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RouteError {
    /// A route names a service that is not declared.
    #[snafu(display("route {route} names the unknown service {service}; declare it or change it"))]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service it names.
        service: Arc<str>,
    },
    /// Two routes serve the same database and path.
    #[snafu(display("two routes serve database {database} at {path}; remove one"))]
    DuplicatePath {
        /// The database.
        database: Arc<str>,
        /// The path.
        path: Arc<str>,
    },
    /// The timeout of a route is zero.
    #[snafu(display("route {route} has a timeout of 0; give at least 1 ms"))]
    ZeroTimeout {
        /// The route.
        route: Arc<str>,
    },
    /// A name or key of a workspace is empty or holds a blank or control character.
    #[snafu(display(
        "workspace {workspace:?} has a name or key that is empty or holds blanks or control \
         characters; give it another"
    ))]
    MalformedWorkspace {
        /// The workspace.
        workspace: Arc<str>,
    },
    /// The configuration is too large to be sent between control hosts.
    #[snafu(display(
        "the configuration takes {bytes} bytes between hosts, and may take {MAX_ENCODED_BYTES}; \
         leave out routes"
    ))]
    TooLarge {
        /// Its encoded size in bytes.
        bytes: usize,
    },
    /// Two workspaces have the same name.
    #[snafu(display("two workspaces have the name {workspace}; rename one"))]
    DuplicateWorkspace {
        /// The name.
        workspace: Arc<str>,
    },
    /// A key is declared twice.
    #[snafu(display(
        "a key of workspace {workspace} is declared twice (digest {key}); remove one"
    ))]
    DuplicateKey {
        /// The workspace of the second declaration.
        workspace: Arc<str>,
        /// The key.
        key: CallerKey,
    },
}

/// A complete configuration with a version that the operator assigns; the highest
/// version is in force.
///
/// `Debug` leaves out the operator's text, which holds the keys of callers.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version that the operator assigned.
    pub version: u64,
    /// Routes, at most one for each database and path.
    pub routes: Vec<RouteRule>,
    /// Services that the routes may name.
    pub services: Vec<ServiceRule>,
    /// Limits that apply to all callers.
    pub limits: TrafficLimits,
    /// Workspaces to one of which each caller must belong; `None` if callers need no
    /// key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspaces: Option<Vec<WorkspaceRule>>,
    /// The configuration as the operator sent it, for reading back.
    pub source: Arc<str>,
}

impl fmt::Debug for RouteTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RouteTable")
            .field("version", &self.version)
            .field("routes", &self.routes)
            .field("services", &self.services)
            .field("limits", &self.limits)
            .field("workspaces", &self.workspaces)
            .field("source_bytes", &self.source.len())
            .finish()
    }
}

impl RouteTable {
    /// About the size of the configuration in a message, in bytes: the operator's text and
    /// what was read from it are about as long.
    pub fn approximate_bytes(&self) -> usize {
        2 * self.source.len()
    }

    /// The most urgent priority of each service whose routes have several priorities.
    pub fn urgent_priorities(&self) -> BTreeMap<Arc<str>, u32> {
        let mut priorities: BTreeMap<Arc<str>, BTreeSet<u32>> = BTreeMap::new();
        for route in &self.routes {
            priorities.entry(route.service.clone()).or_default().insert(route.priority);
        }
        priorities.retain(|_, priorities| priorities.len() > 1);
        priorities.into_iter().filter_map(|(service, all)| Some((service, *all.first()?))).collect()
    }

    /// Checks that every route can be served.
    ///
    /// # Errors
    /// `RouteError` names the first route that cannot be served and the correction.
    pub fn check(&self) -> Result<(), RouteError> {
        let services: BTreeSet<&str> = self.services.iter().map(|rule| &*rule.name).collect();
        let mut seen_paths = BTreeSet::new();
        for route in &self.routes {
            if !services.contains(&*route.service) {
                let (route, service) = (route.name.clone(), route.service.clone());
                return Err(RouteError::UnknownService { route, service });
            }
            if route.timeout.is_zero() {
                return Err(RouteError::ZeroTimeout { route: route.name.clone() });
            }
            if !seen_paths.insert((&route.database, &route.path)) {
                let (database, path) = (route.database.clone(), route.path.clone());
                return Err(RouteError::DuplicatePath { database, path });
            }
        }
        check_workspaces(self.workspaces.as_deref().unwrap_or_default())?;
        self.check_size()
    }

    /// Checks that control hosts can send each other the configuration.
    fn check_size(&self) -> Result<(), RouteError> {
        if self.source.len() <= SHORT_SOURCE_BYTES {
            return Ok(());
        }
        match encoded_len(self).unwrap_or(usize::MAX) {
            0..=MAX_ENCODED_BYTES => Ok(()),
            bytes => Err(RouteError::TooLarge { bytes }),
        }
    }

    /// The route of a database name.
    pub fn route_of(&self, database: &str) -> Option<&RouteRule> {
        self.routes.iter().find(|route| &*route.database == database)
    }

    /// The declaration of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.iter().find(|service| &*service.name == name)
    }
}

/// Checks that every key leads to one workspace.
fn check_workspaces(workspaces: &[WorkspaceRule]) -> Result<(), RouteError> {
    let (mut seen_names, mut seen_keys) = (BTreeSet::new(), BTreeSet::new());
    for rule in workspaces {
        let workspace = rule.name.clone();
        let names = CallerKey::new(&rule.name);
        if !names.is_well_formed() || !rule.keys.iter().all(CallerKey::is_well_formed) {
            return Err(RouteError::MalformedWorkspace { workspace });
        }
        if !seen_names.insert(&rule.name) {
            return Err(RouteError::DuplicateWorkspace { workspace });
        }
        if let Some(key) = rule.keys.iter().find(|key| !seen_keys.insert(*key)) {
            return Err(RouteError::DuplicateKey { workspace, key: key.clone() });
        }
    }
    Ok(())
}
