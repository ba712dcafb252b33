use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Consistency that is guaranteed to the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// Every statement runs at the primary.
    Primary,
    /// Reads accept data up to the given age.
    BoundedStaleness {
        /// Maximum age of the data that a read sees.
        max_age: Duration,
    },
    /// Reads accept data up to the given age, and see the session's writes.
    ReadYourWrites {
        /// Maximum age of the data that a read sees.
        max_age: Duration,
    },
}

impl RouteKind {
    /// Maximum age of the data that reads see; `None` if they see every commit.
    pub const fn max_age(self) -> Option<Duration> {
        match self {
            Self::Primary => None,
            Self::BoundedStaleness { max_age } | Self::ReadYourWrites { max_age } => Some(max_age),
        }
    }

    /// The kind's name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::BoundedStaleness { .. } => "bounded staleness",
            Self::ReadYourWrites { .. } => "read your writes",
        }
    }
}

/// How the requests for one database name are served.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Database name that callers give.
    pub database: Arc<str>,
    /// Path prefix from the configuration; database callers send no path.
    pub path: Arc<str>,
    /// Consistency of the route.
    pub kind: RouteKind,
    /// Time limit for one statement.
    pub timeout: Duration,
    /// Target time for the answer to a whole operation.
    pub objective: Duration,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Service that runs the requests.
    pub service: Arc<str>,
    /// Callers need no key, also where workspaces are configured.
    #[serde(default, skip_serializing_if = "is_false")]
    pub anonymous: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// The operator's declaration of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections that each of its databases accepts, over all hosts together.
    pub max_connections: u32,
    /// Replicas that must hold a commit before the primary acknowledges it.
    pub sync_replicas: u32,
}

/// Limits that apply to all callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficLimits {
    /// Time after which a transaction without a statement may be ended.
    pub transaction_idle: Duration,
}
