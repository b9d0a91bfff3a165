//! Calls to the administration API.

use std::{env, fs, net::SocketAddr, path::Path, time::Duration};

use serde_json::Value;
use ureq::{Agent, Body, http::Response};

use crate::failure::Failure;

/// A control host in another region answers a connection attempt in 60 ms.
const CONNECT: Duration = Duration::from_secs(2);
/// A change is given up by the control hosts after about 4 s.
const TOTAL: Duration = Duration::from_secs(10);
/// The largest answer, a history or a dump.
const ANSWER_BYTES: u64 = 64 << 20;

/// Control hosts and the operator's token.
pub struct Client {
    agent: Agent,
    control: Vec<SocketAddr>,
    token: Option<String>,
}

/// Body of a request.
pub enum Content<'a> {
    /// `GET`
    Nothing,
    /// `POST` without a body.
    Empty,
    /// `POST` of a document.
    Document(&'a [u8]),
    /// `POST` of JSON. Sent again to the next host after a lost answer, because it has a change id.
    Change(&'a Value),
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(CONNECT))
        .timeout_global(Some(TOTAL))
        .user_agent(concat!("goldcrestrail/", env!("CARGO_PKG_VERSION")))
        .build()
        .new_agent()
}

fn read_token(file: Option<&Path>) -> Result<Option<String>, Failure> {
    let token = match file {
        Some(file) => Some(fs::read_to_string(file).map_err(|cause| {
            Failure::usage(
                format!("cannot read the token file {}: {cause}", file.display()),
                "correct --token-file or the permissions of the file",
            )
        })?),
        None => env::var("GOLDCRESTRAIL_TOKEN").ok(),
    };
    let token = token
        .map(|token| token.trim().to_owned())
        .filter(|token| !token.is_empty());
    if token
        .as_ref()
        .is_some_and(|token| !token.bytes().all(|byte| byte.is_ascii_graphic()))
    {
        return Err(Failure::usage(
            "the token contains spaces or characters outside ASCII",
            "put the token alone into the file or GOLDCRESTRAIL_TOKEN",
        ));
    }
    Ok(token)
}

impl Client {
    /// Reads the token.
    pub fn new(control: Vec<SocketAddr>, token_file: Option<&Path>) -> Result<Self, Failure> {
        Ok(Self {
            agent: agent(),
            control,
            token: read_token(token_file)?,
        })
    }

    /// Asks the control hosts in turn until one answers. A refusal is an answer, but for 502
    /// and 503: another host may reach what this one does not.
    pub fn call(&self, path: &str, content: &Content<'_>) -> Result<String, Failure> {
        if self.control.is_empty() {
            return Err(Failure::usage(
                "no control host is given",
                "give the HTTP address of one or more with --control IP:PORT",
            ));
        }
        if !matches!(content, Content::Nothing) && self.token.is_none() {
            return Err(Failure::usage(
                "no token is given",
                "give --token-file FILE or set GOLDCRESTRAIL_TOKEN",
            ));
        }
        let mut tried = Vec::new();
        let mut sent = false;
        for host in &self.control {
            match self.request(*host, path, content) {
                Ok(response) if [502, 503].contains(&response.status().as_u16()) => {
                    sent = true;
                    let failure = refusal(response);
                    tried.push(format!("{host}: {}", failure.cause));
                }
                Ok(response) if response.status().is_success() => return read(response, *host),
                Ok(response) => return Err(refusal(response)),
                Err(cause) => {
                    sent |= !is_unsent(&cause);
                    tried.push(format!("{host}: {cause}"));
                }
            }
        }
        let mut cause = format!("no control host answered ({})", tried.join("; "));
        if sent && !matches!(content, Content::Nothing) {
            cause.push_str("; the outcome is unknown: it may be carried out");
        }
        Err(Failure::failed(cause, self.advice(content, sent)))
    }

    fn advice(&self, content: &Content<'_>, sent: bool) -> String {
        match content {
            Content::Change(body) if sent => format!(
                "run the same command again with --change {}; it is carried out at most once",
                body["change"].as_str().unwrap_or_default()
            ),
            Content::Empty if sent => "run the same command again; that does no harm".into(),
            _ if self.control.len() == 1 => {
                "give the other control hosts as well with further --control, or try again".into()
            }
            _ => "check the addresses and the network, and try again".into(),
        }
    }

    fn request(
        &self,
        host: SocketAddr,
        path: &str,
        content: &Content<'_>,
    ) -> Result<Response<Body>, ureq::Error> {
        let uri = format!("http://{host}{path}");
        let bearer = self.token.as_ref().map(|token| format!("Bearer {token}"));
        if matches!(content, Content::Nothing) {
            let mut request = self.agent.get(uri);
            if let Some(bearer) = bearer {
                request = request.header("authorization", bearer);
            }
            return request.call();
        }
        let mut request = self.agent.post(uri);
        if let Some(bearer) = bearer {
            request = request.header("authorization", bearer);
        }
        match content {
            Content::Document(bytes) => request.content_type("application/toml").send(*bytes),
            Content::Change(value) => request
                .content_type("application/json")
                .send(value.to_string()),
            Content::Nothing | Content::Empty => request.send_empty(),
        }
    }
}

/// Reads `/dump` of any process. The token is not sent: it is for control hosts only.
pub fn dump(address: SocketAddr) -> Result<String, Failure> {
    let response = agent()
        .get(format!("http://{address}/dump"))
        .call()
        .map_err(|cause| {
            Failure::failed(
                format!("cannot read the state of {address}: {cause}"),
                "check that it is the `http` address of a running process",
            )
        })?;
    if response.status().is_success() {
        read(response, address)
    } else {
        Err(refusal(response))
    }
}

fn is_unsent(cause: &ureq::Error) -> bool {
    match cause {
        ureq::Error::Io(cause) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(stage) => *stage == ureq::Timeout::Connect,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        _ => false,
    }
}

fn body(response: Response<Body>) -> Result<String, ureq::Error> {
    response
        .into_body()
        .into_with_config()
        .limit(ANSWER_BYTES)
        .read_to_string()
}

fn read(response: Response<Body>, host: SocketAddr) -> Result<String, Failure> {
    body(response).map_err(|cause| {
        Failure::failed(
            format!("the answer of {host} is incomplete: {cause}"),
            "run the same command again, a change with --change and its id",
        )
    })
}

/// Reads an error of the API; other servers may answer anything.
fn refusal(response: Response<Body>) -> Failure {
    let status = response.status();
    let text = body(response).unwrap_or_default();
    let error: Value = serde_json::from_str(&text).unwrap_or_default();
    let mut cause = error["cause"]
        .as_str()
        .map_or_else(|| format!("the server answered {status}"), str::to_owned);
    if let Some(field) = error["field"].as_str().filter(|field| !field.is_empty()) {
        cause = format!("{field}: {cause}");
    }
    let fix = error["mend"].as_str().map_or_else(
        || match status.as_u16() {
            401 => "give the token of an operator with --token-file or GOLDCRESTRAIL_TOKEN".into(),
            404 => {
                "check the name and that --control is the `http` address of a control host".into()
            }
            409 => "compare with `config show` and submit against the new version".into(),
            _ => "see the log of the server".into(),
        },
        str::to_owned,
    );
    Failure::failed(cause, fix)
}
