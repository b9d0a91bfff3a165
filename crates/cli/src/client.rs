//! HTTP client of the administration API.

use std::{env, fs, net::SocketAddr, path::Path, time::Duration};

use serde_json::Value;
use ureq::{Agent, Body, http::Response};

use crate::failure::Failure;

/// Timeout of a connection attempt. A control host in another region answers one in 60 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a whole request. The control hosts abandon a change after about 4 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a response. Histories and dumps are the largest ones.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Client with the addresses of the control hosts and the operator's token.
pub struct Client {
    agent: Agent,
    control: Vec<SocketAddr>,
    token: Option<String>,
}

/// Method of a request, with its body.
pub enum Method<'a> {
    /// `GET`
    Get,
    /// `POST` without a body.
    Post,
    /// `POST` of a document.
    PostDocument(&'a [u8]),
    /// `POST` of JSON with a change id, by which the control hosts detect a repetition.
    PostChange(&'a Value),
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(REQUEST_TIMEOUT))
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
    /// Creates a client and reads the operator's token.
    pub fn new(control: Vec<SocketAddr>, token_file: Option<&Path>) -> Result<Self, Failure> {
        Ok(Self {
            agent: agent(),
            control,
            token: read_token(token_file)?,
        })
    }

    /// Sends a request to the control hosts in turn until one answers. An error status is an answer
    /// too, except for 502 and 503: another host may reach what this one cannot reach.
    ///
    /// After a lost response the request goes to the next host as well, because repeating it has no
    /// further effect.
    pub fn call(&self, path: &str, method: &Method<'_>) -> Result<String, Failure> {
        if self.control.is_empty() {
            return Err(Failure::usage(
                "no control host is given",
                "give the HTTP address of one or more with --control IP:PORT",
            ));
        }
        if !matches!(method, Method::Get) && self.token.is_none() {
            return Err(Failure::usage(
                "no token is given",
                "give --token-file FILE or set GOLDCRESTRAIL_TOKEN",
            ));
        }
        let mut errors = Vec::new();
        let mut sent = false;
        for host in &self.control {
            match self.request(*host, path, method) {
                Ok(response) if [502, 503].contains(&response.status().as_u16()) => {
                    sent = true;
                    let failure = error_response(response);
                    errors.push(format!("{host}: {}", failure.cause));
                }
                Ok(response) if response.status().is_success() => {
                    return read_response(response, *host);
                }
                Ok(response) => return Err(error_response(response)),
                Err(cause) => {
                    sent |= !is_unsent(&cause);
                    errors.push(format!("{host}: {cause}"));
                }
            }
        }
        let mut cause = format!("no control host answered ({})", errors.join("; "));
        if sent && !matches!(method, Method::Get) {
            cause.push_str("; the outcome is unknown: the request may have been carried out");
        }
        Err(Failure::failed(cause, self.suggest_fix(method, sent)))
    }

    /// Suggests what to do after no control host answered.
    fn suggest_fix(&self, method: &Method<'_>, sent: bool) -> String {
        match method {
            Method::PostChange(body) if sent => format!(
                "run the same command again with --change {}; it is carried out at most once",
                body["change"].as_str().unwrap_or_default()
            ),
            Method::Post if sent => {
                "run the same command again; repeating it has no further effect".into()
            }
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
        method: &Method<'_>,
    ) -> Result<Response<Body>, ureq::Error> {
        let uri = format!("http://{host}{path}");
        let bearer = self.token.as_ref().map(|token| format!("Bearer {token}"));
        if matches!(method, Method::Get) {
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
        match method {
            Method::PostDocument(bytes) => request.content_type("application/toml").send(*bytes),
            Method::PostChange(value) => request
                .content_type("application/json")
                .send(value.to_string()),
            Method::Get | Method::Post => request.send_empty(),
        }
    }
}

/// Reads `/dump` of any process. The token is not sent, because only control hosts may receive it.
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
        read_response(response, address)
    } else {
        Err(error_response(response))
    }
}

/// Returns whether a request failed before it was sent.
fn is_unsent(cause: &ureq::Error) -> bool {
    match cause {
        ureq::Error::Io(cause) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(stage) => *stage == ureq::Timeout::Connect,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        _ => false,
    }
}

fn read_body(response: Response<Body>) -> Result<String, ureq::Error> {
    response
        .into_body()
        .into_with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_string()
}

fn read_response(response: Response<Body>, host: SocketAddr) -> Result<String, Failure> {
    read_body(response).map_err(|cause| {
        Failure::failed(
            format!("the answer of {host} is incomplete: {cause}"),
            "run the same command again, a change with --change and its id",
        )
    })
}

/// Converts an error response into a failure. A server that is not a control host may answer with
/// any body.
fn error_response(response: Response<Body>) -> Failure {
    let status = response.status();
    let text = read_body(response).unwrap_or_default();
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
