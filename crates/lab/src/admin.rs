//! Client of the administration API.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use ureq::Agent;

use crate::error::LabError;

/// Operator token of every deployment.
pub const TOKEN: &str = "lab-token";

/// Timeout of a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether a process answers an HTTP request within `limit`.
#[must_use]
pub fn answers(address: SocketAddr, limit: Duration) -> bool {
    let agent: Agent = Agent::config_builder()
        .timeout_global(Some(limit))
        .http_status_as_error(false)
        .build()
        .into();
    agent.get(format!("http://{address}/ready")).call().is_ok()
}

/// Sets the actions of a fault point in a running process.
///
/// # Errors
/// There is no answer, the actions are invalid, or the program was built without fault points.
pub fn set_point(address: SocketAddr, point: &str, actions: &str) -> Result<(), LabError> {
    let failed = |cause: &dyn std::fmt::Display| {
        LabError::Admin(format!(
            "{address}: fault point {point} not set: {cause}; build the programs with \
             `cargo build --workspace --bins --all-features`"
        ))
    };
    let answer = agent()
        .post(format!("http://{address}/failpoint"))
        .send(format!("{point}={actions}"))
        .map_err(|cause| failed(&cause))?;
    if answer.status().is_success() {
        Ok(())
    } else {
        Err(failed(&answer.status()))
    }
}

/// Client of the administration API of one deployment.
#[derive(Debug, Clone)]
pub struct Admin {
    hosts: Vec<SocketAddr>,
}

fn agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(CALL_TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into()
}

/// Sends a GET request and returns the status code, or `None` when there is no answer.
#[must_use]
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let answer = agent().get(format!("http://{address}{path}")).call().ok()?;
    Some(answer.status().as_u16())
}

/// Sends a GET request and returns the body as text.
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

/// Sends an authorized GET request and returns the body as JSON.
///
/// # Errors
/// There is no answer, or it isn't JSON.
pub fn get_json(address: SocketAddr, path: &str) -> Result<Value, LabError> {
    agent()
        .get(format!("http://{address}{path}"))
        .header("Authorization", format!("Bearer {TOKEN}"))
        .call()
        .and_then(|mut answer| answer.body_mut().read_json())
        .map_err(|cause| LabError::Admin(format!("{address}{path}: {cause}")))
}

/// Sends an authorized POST request with a JSON body, and returns the status code and JSON answer.
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
    /// Creates a client for the HTTP addresses of the control hosts.
    ///
    /// Most requests go to each host in turn until one answers.
    #[must_use]
    pub const fn new(hosts: Vec<SocketAddr>) -> Self {
        Self { hosts }
    }

    /// Status of the deployment according to control.
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

    /// Highest configuration version that is in force at any control host.
    ///
    /// # Errors
    /// No host answers.
    pub fn version(&self) -> Result<u64, LabError> {
        let answers = self.hosts.iter().map(|&host| get_json(host, "/v1/config"));
        let mut last = LabError::Admin("no control host".into());
        let mut highest = None;
        for answer in answers {
            match answer {
                Ok(config) => highest = highest.max(config["version"].as_u64()),
                Err(cause) => last = cause,
            }
        }
        highest.ok_or(last)
    }

    /// Submits a document, repeating the same change until it is answered, and returns its version.
    ///
    /// # Errors
    /// It is refused, or not answered within `limit`.
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

    /// Submits two documents concurrently on the same base version, each to a different control
    /// host, and returns the status codes.
    ///
    /// While the outcome is unknown (no answer, or 5xx as during an election), the request is sent
    /// again with the same change ID, until `limit` has passed.
    ///
    /// # Errors
    /// The version can't be read.
    pub fn race(
        &self,
        documents: [&str; 2],
        limit: Duration,
    ) -> Result<[Option<u16>; 2], LabError> {
        let base = self.version()?;
        let end = Instant::now() + limit;
        let submit = |i: usize| {
            let change = format!("race-{i}-{:016x}", rand::random::<u64>());
            let body =
                json!({"change": change, "base": base, "document": documents[i], "reason": "race"});
            loop {
                let answer = post_json(self.hosts[i], "/v1/config", &body).ok();
                let status = answer.map(|(status, _)| status);
                if status.is_some_and(|status| status < 500) || Instant::now() > end {
                    return status;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        };
        Ok(std::thread::scope(|scope| {
            let second = scope.spawn(|| submit(1));
            [submit(0), second.join().unwrap_or(None)]
        }))
    }

    /// Submits a change twice with one change ID, the second time to another host, and returns the
    /// version in force before and the versions in both answers; `None` for an answer that was
    /// lost.
    ///
    /// # Errors
    /// The version can't be read, or the second request is not accepted within `limit`.
    pub fn resend(
        &self,
        document: &str,
        limit: Duration,
    ) -> Result<(u64, Option<u64>, u64), LabError> {
        let base = self.version()?;
        let change = format!("resend-{:016x}", rand::random::<u64>());
        let body =
            json!({"change": change, "base": base, "document": document, "reason": "resend"});
        let version = |answer: (u16, Value)| match answer {
            (200, answer) => answer["version"].as_u64(),
            _ => None,
        };
        let first = post_json(self.hosts[0], "/v1/config", &body)
            .ok()
            .and_then(version);
        let end = Instant::now() + limit;
        loop {
            for &host in self.hosts[1..].iter().chain(&self.hosts[..1]) {
                if let Some(second) = post_json(host, "/v1/config", &body).ok().and_then(version) {
                    return Ok((base, first, second));
                }
            }
            if Instant::now() > end {
                return Err(LabError::Admin("no answer to a resent change".into()));
            }
        }
    }

    /// Requests a planned change of primary.
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
