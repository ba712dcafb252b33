use std::time::Duration;

use hawthornstack_wire::operators::ErrorResponse;
use serde::{Serialize, de::DeserializeOwned};
use ureq::Agent;

use super::ConsoleError;

/// Time limit for one daemon to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP client that queries the daemons in order until one accepts the request.
pub struct DaemonClient {
    agent: Agent,
    hosts: Vec<String>,
}

impl DaemonClient {
    /// Creates a client for operator addresses, as `ADDRESS:PORT` separated by
    /// commas.
    pub fn new(hosts: &str) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(ANSWER_TIMEOUT))
            .http_status_as_error(false)
            .build();
        let hosts = hosts.split(',').map(|host| host.trim().to_owned()).collect();
        Self { agent: Agent::new_with_config(config), hosts }
    }

    /// Sends a GET request and decodes the answer.
    ///
    /// # Errors
    /// `ConsoleError::Refused` if a daemon refuses the request and none accepts
    /// it, `ConsoleError::Unreachable` if none answers.
    pub fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, ConsoleError> {
        self.query_daemons(|host| self.agent.get(format!("http://{host}{path}")).call())
    }

    /// Sends a POST request with a JSON body and decodes the answer.
    ///
    /// # Errors
    /// `ConsoleError::Refused` if a daemon refuses the request and none accepts
    /// it, `ConsoleError::Unreachable` if none answers.
    pub fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<A, ConsoleError> {
        self.query_daemons(|host| self.agent.post(format!("http://{host}{path}")).send_json(body))
    }

    /// Returns the first answer that is not a refusal. If there is none, the error
    /// is the last refusal, or `Unreachable` without one.
    fn query_daemons<A, F>(&self, send: F) -> Result<A, ConsoleError>
    where
        A: DeserializeOwned,
        F: Fn(&str) -> Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    {
        let mut refusal = None;
        for host in &self.hosts {
            let Ok(mut response) = send(host) else {
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
                refusal = Some(ConsoleError::Refused { code, text, remedy: mend });
            }
        }
        let hosts = self.hosts.join(", ");
        Err(refusal.unwrap_or(ConsoleError::Unreachable { hosts }))
    }
}
