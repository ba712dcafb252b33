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

/// Sets the fault of one database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// The database.
    pub database: DatabaseName,
    /// `none`, `stopped`, `frozen`, `cut_from_hosts`, `cut_from_group`,
    /// `isolated` or `slow`.
    pub fault: String,
    /// For `slow`: what each statement takes longer, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// What a database reports on the fault port.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct DatabasePage {
    database: DatabaseName,
    address: std::net::SocketAddr,
    role: String,
    term: u64,
    position: String,
    fault: String,
}

type Databases = Arc<Vec<Arc<StandInDatabase>>>;

impl FaultRequest {
    fn fault(&self) -> Option<Fault> {
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

/// `GET /databases` lists them, `POST /faults` sets a fault.
pub fn fault_routes(databases: Vec<Arc<StandInDatabase>>) -> Router {
    Router::new()
        .route("/databases", get(list))
        .route("/faults", post(set))
        .with_state(Arc::new(databases))
}

async fn list(State(databases): State<Databases>) -> Json<Vec<DatabasePage>> {
    let page = |database: &Arc<StandInDatabase>| {
        let status = database.core().status();
        DatabasePage {
            database: database.settings.database.clone(),
            address: database.address,
            role: format!("{:?}", status.role).to_lowercase(),
            term: status.term,
            position: status.position.to_string(),
            fault: format!("{:?}", database.faults.current()),
        }
    };
    Json(databases.iter().map(page).collect())
}

async fn set(
    State(databases): State<Databases>,
    Json(request): Json<FaultRequest>,
) -> (StatusCode, &'static str) {
    let database = databases.iter().find(|d| d.settings.database == request.database);
    match (database, request.fault()) {
        (Some(database), Some(fault)) => {
            database.faults.set(fault);
            (StatusCode::OK, "done\n")
        }
        (None, _) => (StatusCode::NOT_FOUND, "no such database; see GET /databases\n"),
        (_, None) => (StatusCode::BAD_REQUEST, "no such fault; see docs/OPERATING.md\n"),
    }
}
