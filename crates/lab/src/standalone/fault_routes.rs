use std::{sync::Arc, time::Duration};

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    routing::{get, post},
};
use hawthornstack_decisions::identity::DatabaseName;
use serde::{Deserialize, Serialize};

use crate::upstreams::{Fault, StandInDatabase};

/// Body of `POST /faults`: the fault to set on one database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// Name of the database that gets the fault.
    pub database: DatabaseName,
    /// `none`, `stopped`, `frozen`, `cut_from_hosts`, `cut_from_group`,
    /// `isolated` or `slow`.
    pub fault: String,
    /// Milliseconds that `slow` adds to each statement; other faults ignore it.
    #[serde(default)]
    pub delay_ms: u64,
}

/// State of a database, as listed by `GET /databases`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct DatabaseEntry {
    database: DatabaseName,
    address: std::net::SocketAddr,
    role: String,
    term: u64,
    position: String,
    fault: String,
}

type Databases = Arc<Vec<Arc<StandInDatabase>>>;

impl FaultRequest {
    /// `None` if no fault has this name.
    fn parse_fault(&self) -> Option<Fault> {
        Some(match self.fault.as_str() {
            "none" => Fault::None,
            "stopped" => Fault::Stopped,
            "frozen" => Fault::Frozen,
            "cut_from_hosts" => Fault::CutFromHosts,
            "cut_from_group" => Fault::CutFromGroup,
            "isolated" => Fault::Isolated,
            "slow" => Fault::Slow(Duration::from_millis(self.delay_ms)),
            _ => return None,
        })
    }
}

/// Routes of the fault port: `GET /databases` lists the databases with their
/// faults, `POST /faults` sets the fault of one.
pub fn fault_routes(databases: Vec<Arc<StandInDatabase>>) -> Router {
    Router::new()
        .route("/databases", get(list_databases))
        .route("/faults", post(set_fault))
        .with_state(Arc::new(databases))
}

async fn list_databases(State(databases): State<Databases>) -> Json<Vec<DatabaseEntry>> {
    let entry = |database: &Arc<StandInDatabase>| {
        let status = database.core().status();
        DatabaseEntry {
            database: database.settings.database.clone(),
            address: database.address,
            role: format!("{:?}", status.role).to_lowercase(),
            term: status.term,
            position: status.position.to_string(),
            fault: format!("{:?}", database.faults.current()),
        }
    };
    Json(databases.iter().map(entry).collect())
}

async fn set_fault(
    State(databases): State<Databases>,
    Json(request): Json<FaultRequest>,
) -> (StatusCode, &'static str) {
    let database = databases.iter().find(|d| d.settings.database == request.database);
    match (database, request.parse_fault()) {
        (Some(database), Some(fault)) => {
            database.faults.set(fault);
            (StatusCode::OK, "done\n")
        }
        (None, _) => (StatusCode::NOT_FOUND, "no such database; see GET /databases\n"),
        (_, None) => (StatusCode::BAD_REQUEST, "no such fault; see docs/OPERATING.md\n"),
    }
}
