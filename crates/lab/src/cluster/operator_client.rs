use std::{net::SocketAddr, sync::Arc, time::Duration};

use hawthornstack_decisions::{control_state::Intent, directory::Announcement};
use hawthornstack_wire::operators::{
    ANNOUNCE_PATH, CONFIRM_PATH, ConfirmRequest, ConfirmResponse, PLAN_PATH, PlanRequest,
    PlanResponse, STATUS_PATH, StatusResponse,
};
use serde::{Serialize, de::DeserializeOwned};

use super::ClusterError;

/// Time between attempts while no daemon leads.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts, over all daemons, before a request fails.
const MAX_ATTEMPTS: usize = 200;

/// HTTP statuses of answers that a repeat would not change: done, and a refused
/// confirmation, whose body has the result code.
const FINAL_STATUSES: [u16; 2] = [200, 409];

/// Client of the operators' interface that tries one daemon after another until
/// one answers.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    daemons: Vec<SocketAddr>,
}

impl OperatorClient {
    /// Creates a client for the operators' addresses of the daemons.
    pub fn new(daemons: Vec<SocketAddr>) -> Self {
        Self { daemons }
    }

    /// Plans a change of the configuration and confirms the plan. The response has
    /// the result code, also of a refusal.
    ///
    /// # Errors
    /// `ClusterError::Timeout` if no daemon answers, for example without a leader, or
    /// if none makes a plan for the intent.
    pub async fn execute_intent(&self, intent: Intent) -> Result<ConfirmResponse, ClusterError> {
        let plan: PlanResponse = self.post(PLAN_PATH, &PlanRequest { intent }).await?;
        let request = ConfirmRequest {
            request: Arc::from(format!("lab-{:x}", rand::random::<u64>())),
            plan: plan.id,
            operator: Arc::from("lab"),
        };
        self.post(CONFIRM_PATH, &request).await
    }

    /// Announces a database to one daemon; true if the daemon accepted the request.
    pub async fn announce(daemon: SocketAddr, announcement: Announcement) -> bool {
        let url = format!("http://{daemon}{ANNOUNCE_PATH}");
        let response =
            tokio::task::spawn_blocking(move || ureq::post(&url).send_json(&announcement));
        matches!(response.await, Ok(Ok(_)))
    }

    /// Fetches the status of the system as one daemon sees it; `None` if the daemon
    /// does not answer.
    pub async fn status(daemon: SocketAddr) -> Option<StatusResponse> {
        let url = format!("http://{daemon}{STATUS_PATH}");
        let response = tokio::task::spawn_blocking(move || {
            ureq::get(&url).call().ok()?.body_mut().read_json().ok()
        });
        response.await.ok().flatten()
    }

    async fn post<Q, A>(&self, path: &str, request: &Q) -> Result<A, ClusterError>
    where
        Q: Serialize,
        A: DeserializeOwned + Send + 'static,
    {
        let body = serde_json::to_value(request)
            .map_err(|error| ClusterError::Invalid { text: error.to_string() })?;
        for attempt in 0..MAX_ATTEMPTS {
            let daemon = self.daemons[attempt % self.daemons.len()];
            let url = format!("http://{daemon}{path}");
            let body = body.clone();
            let response = tokio::task::spawn_blocking(move || {
                let request = ureq::post(&url).config().http_status_as_error(false).build();
                let mut response = request.send_json(&body).ok()?;
                let is_final = FINAL_STATUSES.contains(&response.status().as_u16());
                is_final.then(|| response.body_mut().read_json().ok()).flatten()
            });
            if let Ok(Some(answer)) = response.await {
                return Ok(answer);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(ClusterError::Timeout { what: format!("an answer to {path}") })
    }
}
