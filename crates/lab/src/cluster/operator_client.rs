use std::{net::SocketAddr, sync::Arc, time::Duration};

use hawthornstack_decisions::{control_state::Intent, directory::Announcement};
use hawthornstack_wire::operators::{
    ANNOUNCE_PATH, CONFIRM_PATH, ConfirmRequest, ConfirmResponse, PLAN_PATH, PlanRequest,
    PlanResponse, STATUS_PATH, StatusResponse,
};
use serde::{Serialize, de::DeserializeOwned};

use super::ClusterError;

/// Time between attempts while no daemon leads.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Attempts before an operator's request is given up.
const ATTEMPTS: usize = 200;

/// An operator that asks one daemon after the other until one answers.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    daemons: Vec<SocketAddr>,
}

impl OperatorClient {
    /// An operator that knows the daemons' operator addresses.
    pub fn new(daemons: Vec<SocketAddr>) -> Self {
        Self { daemons }
    }

    /// Makes a plan for an intent and confirms it.
    ///
    /// # Errors
    /// `ClusterError::Late` if no daemon leads.
    pub async fn carry_out(&self, intent: Intent) -> Result<ConfirmResponse, ClusterError> {
        let plan: PlanResponse = self.post(PLAN_PATH, &PlanRequest { intent }).await?;
        let request = ConfirmRequest {
            request: Arc::from(format!("lab-{:x}", rand::random::<u64>())),
            plan: plan.id,
            operator: Arc::from("lab"),
        };
        self.post(CONFIRM_PATH, &request).await
    }

    /// Announces a database to one daemon; true if the daemon took the word.
    pub async fn announce(daemon: SocketAddr, announcement: Announcement) -> bool {
        let url = format!("http://{daemon}{ANNOUNCE_PATH}");
        let sent = tokio::task::spawn_blocking(move || ureq::post(&url).send_json(&announcement));
        matches!(sent.await, Ok(Ok(_)))
    }

    /// The state of the system as one daemon sees it; `None` if it is silent.
    pub async fn status(daemon: SocketAddr) -> Option<StatusResponse> {
        let url = format!("http://{daemon}{STATUS_PATH}");
        let asked = tokio::task::spawn_blocking(move || {
            ureq::get(&url).call().ok()?.body_mut().read_json().ok()
        });
        asked.await.ok().flatten()
    }

    async fn post<Q, A>(&self, path: &str, question: &Q) -> Result<A, ClusterError>
    where
        Q: Serialize,
        A: DeserializeOwned + Send + 'static,
    {
        let body = serde_json::to_value(question)
            .map_err(|error| ClusterError::Invalid { text: error.to_string() })?;
        for attempt in 0..ATTEMPTS {
            let daemon = self.daemons[attempt % self.daemons.len()];
            let url = format!("http://{daemon}{path}");
            let body = body.clone();
            let asked = tokio::task::spawn_blocking(move || {
                ureq::post(&url).send_json(&body).ok()?.body_mut().read_json().ok()
            });
            if let Ok(Some(answer)) = asked.await {
                return Ok(answer);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(ClusterError::Late { what: format!("an answer to {path}") })
    }
}
