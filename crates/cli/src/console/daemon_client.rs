use std::time::Duration;

use hawthornstack_wire::operators::ErrorResponse;
use serde::{Serialize, de::DeserializeOwned};
use ureq::Agent;

use super::ConsoleError;

/// Time for one daemon to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Asks the first daemon that answers.
pub struct DaemonClient {
    agent: Agent,
    hosts: Vec<String>,
}

impl DaemonClient {
    /// A client of daemons, as `ADDRESS:PORT` separated by commas.
    pub fn new(hosts: &str) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(ANSWER_TIMEOUT))
            .http_status_as_error(false)
            .build();
        let hosts = hosts.split(',').map(|host| host.trim().to_owned()).collect();
        Self { agent: Agent::new_with_config(config), hosts }
    }

    /// Reads a page.
    ///
    /// # Errors
    /// `ConsoleError` if no daemon answers or the answer is a refusal.
    pub fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, ConsoleError> {
        self.first(|host| self.agent.get(format!("http://{host}{path}")).call())
    }

    /// Sends a question.
    ///
    /// # Errors
    /// `ConsoleError` if no daemon answers or the answer is a refusal.
    pub fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<A, ConsoleError> {
        self.first(|host| self.agent.post(format!("http://{host}{path}")).send_json(question))
    }

    fn first<A, F>(&self, ask: F) -> Result<A, ConsoleError>
    where
        A: DeserializeOwned,
        F: Fn(&str) -> Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    {
        let mut refused = None;
        for host in &self.hosts {
            let Ok(mut response) = ask(host) else {
                continue;
            };
            let Ok(text) = response.body_mut().read_to_string() else {
                continue;
            };
            if let Ok(answer) = serde_json::from_str::<A>(&text) {
                return Ok(answer);
            }
            if let Ok(error) = serde_json::from_str::<ErrorResponse>(&text) {
                let ErrorResponse { code, text, mend, .. } = error;
                refused = Some(ConsoleError::Refused { code, text, mend });
            }
        }
        let hosts = self.hosts.join(", ");
        Err(refused.unwrap_or(ConsoleError::Unreachable { hosts }))
    }
}
