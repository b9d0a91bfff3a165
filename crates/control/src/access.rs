//! Access control: operator tokens, console sessions and the origin of requests.

use std::time::{Duration, Instant};

use axum::http::{HeaderMap, StatusCode, header};
use base::{Map, document};
use subtle::ConstantTimeEq;

use crate::{problem::Problem, settings::Operator};

/// Idle time after which a console session ends.
const SESSION_TIMEOUT: Duration = Duration::from_hours(1);
/// Limit of concurrent console sessions, to bound memory.
const MAX_SESSIONS: usize = 1_000;
/// Name of the cookie with the session id.
const COOKIE_NAME: &str = "goldcrestrail_session";

/// Finds the operator who owns `token`, comparing hashes in constant time.
#[must_use]
pub fn find_operator<'a>(operators: &'a [Operator], token: &str) -> Option<&'a str> {
    let hash = document::digest(token);
    let mut found = None;
    // Compare every operator, so that the duration does not reveal the position of a match.
    for operator in operators {
        if bool::from(operator.token.as_bytes().ct_eq(hash.as_bytes())) {
            found = Some(operator.name.as_str());
        }
    }
    found
}

/// Finds the operator whose token is in the `Authorization: Bearer` header.
///
/// # Errors
/// The header is missing or its token belongs to no operator.
pub fn authenticate_bearer<'a>(
    operators: &'a [Operator],
    headers: &HeaderMap,
) -> Result<&'a str, Problem> {
    let header = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let token = header.and_then(|value| {
        let (scheme, token) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
    });
    token
        .and_then(|token| find_operator(operators, token))
        .ok_or_else(|| {
            Problem::new(
                StatusCode::UNAUTHORIZED,
                "the token is missing or belongs to no operator",
                "send the header Authorization: Bearer TOKEN with an operator's token",
            )
        })
}

/// Refuses a request that a browser sends on behalf of another site.
///
/// # Errors
/// `Sec-Fetch-Site` or `Origin` names another site.
pub fn check_same_site(headers: &HeaderMap) -> Result<(), Problem> {
    let text = |name: &str| {
        headers
            .get(name)
            .map(|value| value.to_str().unwrap_or("invalid"))
    };
    let foreign_site =
        text("sec-fetch-site").is_some_and(|site| !matches!(site, "same-origin" | "none"));
    let host = text("host").unwrap_or_default();
    let foreign_origin = text("origin").is_some_and(|origin| {
        origin
            .strip_prefix("http://")
            .or_else(|| origin.strip_prefix("https://"))
            != Some(host)
    });
    if foreign_site || foreign_origin {
        return Err(Problem::new(
            StatusCode::FORBIDDEN,
            "the request comes from another site",
            "open the console of this host and send the form from there",
        ));
    }
    Ok(())
}

/// A console session.
#[derive(Debug, Clone)]
pub struct Session {
    /// Operator who logged in.
    pub operator: String,
    /// CSRF token that every form of this session carries.
    pub form: String,
    used: Instant,
}

/// In-memory store of console sessions.
#[derive(Debug, Default)]
pub struct Sessions {
    sessions: Map<String, Session>,
}

/// Returns 256 random bits in hexadecimal.
fn random_secret() -> String {
    format!(
        "{:032x}{:032x}",
        rand::random::<u128>(),
        rand::random::<u128>()
    )
}

impl Sessions {
    /// Opens a session and returns its `Set-Cookie` value.
    pub fn open(&mut self, now: Instant, operator: &str) -> String {
        self.sessions
            .retain(|_, session| now.duration_since(session.used) < SESSION_TIMEOUT);
        if self.sessions.len() >= MAX_SESSIONS {
            let oldest = self.sessions.iter().min_by_key(|(_, session)| session.used);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.sessions.remove(&id);
            }
        }
        let id = random_secret();
        let cookie = format!("{COOKIE_NAME}={id}; HttpOnly; SameSite=Strict; Path=/console");
        let session = Session {
            operator: operator.to_owned(),
            form: random_secret(),
            used: now,
        };
        self.sessions.insert(id, session);
        cookie
    }

    /// Finds the session of a request's cookie and restarts its idle time.
    pub fn find(&mut self, now: Instant, headers: &HeaderMap) -> Option<Session> {
        let session = self.sessions.get_mut(&session_id(headers)?)?;
        if now.duration_since(session.used) >= SESSION_TIMEOUT {
            return None;
        }
        session.used = now;
        Some(session.clone())
    }

    /// Ends the session of a request's cookie.
    pub fn close(&mut self, headers: &HeaderMap) {
        if let Some(id) = session_id(headers) {
            self.sessions.remove(&id);
        }
    }
}

fn session_id(headers: &HeaderMap) -> Option<String> {
    let values = headers
        .get_all(header::COOKIE)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let pairs = values
        .flat_map(|value| value.split(';'))
        .filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(name, _)| name.trim() == COOKIE_NAME);
    found.next().map(|(_, id)| id.trim().to_owned())
}

/// Checks that a posted form carries the CSRF token of the session.
///
/// # Errors
/// The token differs.
pub fn check_form_token(session: &Session, token: &str) -> Result<(), Problem> {
    if bool::from(session.form.as_bytes().ct_eq(token.as_bytes())) {
        return Ok(());
    }
    Err(Problem::new(
        StatusCode::FORBIDDEN,
        "the form does not belong to this session",
        "reload the page and send the form again",
    ))
}
