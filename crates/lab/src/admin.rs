//! Client of the administration API.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use ureq::Agent;

use crate::error::LabError;

/// Operator's token of every experiment.
pub const TOKEN: &str = "lab-token";

/// Limit of one call.
const CALL: Duration = Duration::from_secs(3);

/// Client of the administration API of one deployment.
#[derive(Debug, Clone)]
pub struct Admin {
    hosts: Vec<SocketAddr>,
}

fn agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(CALL))
        .http_status_as_error(false)
        .build()
        .into()
}

/// Status code of a GET, or `None` when there is no answer.
#[must_use]
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let answer = agent().get(format!("http://{address}{path}")).call().ok()?;
    Some(answer.status().as_u16())
}

/// Text of a GET.
///
/// # Errors
/// There is no answer.
pub fn get_text(address: SocketAddr, path: &str) -> Result<String, LabError> {
    agent()
        .get(format!("http://{address}{path}"))
        .call()
        .and_then(|mut answer| answer.body_mut().read_to_string())
        .map_err(|cause| LabError::Admin(format!("{address}{path}: {cause}")))
}

/// JSON of a GET.
///
/// # Errors
/// There is no answer, or it is not JSON.
pub fn get_json(address: SocketAddr, path: &str) -> Result<Value, LabError> {
    agent()
        .get(format!("http://{address}{path}"))
        .header("Authorization", format!("Bearer {TOKEN}"))
        .call()
        .and_then(|mut answer| answer.body_mut().read_json())
        .map_err(|cause| LabError::Admin(format!("{address}{path}: {cause}")))
}

/// Posts JSON and returns status code and answer.
///
/// # Errors
/// There is no answer.
pub fn post_json(address: SocketAddr, path: &str, body: &Value) -> Result<(u16, Value), LabError> {
    let mut answer = agent()
        .post(format!("http://{address}{path}"))
        .header("Authorization", format!("Bearer {TOKEN}"))
        .send_json(body)
        .map_err(|cause| LabError::Admin(format!("{address}{path}: {cause}")))?;
    let status = answer.status().as_u16();
    Ok((status, answer.body_mut().read_json().unwrap_or(Value::Null)))
}

impl Admin {
    /// Talks to the first of `hosts` that answers.
    #[must_use]
    pub const fn new(hosts: Vec<SocketAddr>) -> Self {
        Self { hosts }
    }

    /// State of the deployment as control sees it.
    ///
    /// # Errors
    /// No host answers.
    pub fn status(&self) -> Result<Value, LabError> {
        let mut last = LabError::Admin("no control host".into());
        for &host in &self.hosts {
            match get_json(host, "/v1/status") {
                Ok(status) if status["groups"].is_array() => return Ok(status),
                Ok(other) => last = LabError::Admin(other.to_string()),
                Err(cause) => last = cause,
            }
        }
        Err(last)
    }

    /// Version of the configuration in force.
    ///
    /// # Errors
    /// No host answers.
    pub fn version(&self) -> Result<u64, LabError> {
        let mut last = LabError::Admin("no control host".into());
        for &host in &self.hosts {
            match get_json(host, "/v1/config") {
                Ok(config) => return Ok(config["version"].as_u64().unwrap_or(0)),
                Err(cause) => last = cause,
            }
        }
        Err(last)
    }

    /// Submits a document, resending the same change until it has an answer.
    ///
    /// # Errors
    /// It is refused, or there is no answer before the end of `limit`.
    pub fn submit(&self, document: &str, limit: Duration) -> Result<u64, LabError> {
        let end = Instant::now() + limit;
        let change = format!("lab-{:016x}", rand::random::<u64>());
        let base = loop {
            match self.version() {
                Ok(version) => break version,
                Err(cause) if Instant::now() > end => return Err(cause),
                Err(_) => std::thread::sleep(Duration::from_millis(50)),
            }
        };
        let body =
            json!({"change": change, "base": base, "document": document, "reason": "experiment"});
        loop {
            for &host in &self.hosts {
                match post_json(host, "/v1/config", &body) {
                    Ok((200, answer)) => return Ok(answer["version"].as_u64().unwrap_or(0)),
                    Ok((status @ (400..500), answer)) => {
                        return Err(LabError::Admin(format!("{status}: {answer}")));
                    }
                    Ok(_) | Err(_) => {}
                }
            }
            if Instant::now() > end {
                return Err(LabError::Admin("no answer to the configuration".into()));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Orders a planned change of primary.
    ///
    /// # Errors
    /// No host accepts it.
    pub fn change_primary(&self, group: &str) -> Result<(), LabError> {
        let change = format!("lab-{:016x}", rand::random::<u64>());
        let body = json!({"change": change});
        let mut last = LabError::Admin("no control host".into());
        for &host in &self.hosts {
            match post_json(host, &format!("/v1/groups/{group}/primary"), &body) {
                Ok((200..300, _)) => return Ok(()),
                Ok((status, answer)) => last = LabError::Admin(format!("{status}: {answer}")),
                Err(cause) => last = cause,
            }
        }
        Err(last)
    }
}
