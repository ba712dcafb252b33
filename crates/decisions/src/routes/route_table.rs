use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{RouteRule, ServiceRule, TrafficLimits};

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
}

/// A complete configuration with a version that the operator assigns; the highest
/// version is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version that the operator assigned.
    pub version: u64,
    /// Routes, at most one for each database and path.
    pub routes: Vec<RouteRule>,
    /// Services that the routes may name.
    pub services: Vec<ServiceRule>,
    /// Limits that apply to all callers.
    pub limits: TrafficLimits,
    /// The configuration as the operator sent it, for reading back.
    pub source: Arc<str>,
}

impl RouteTable {
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
        Ok(())
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
