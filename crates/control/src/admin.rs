//! HTTP administration API.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Path, rejection::BytesRejection},
    http::{HeaderMap, StatusCode, header},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use base::{document, document::Document};
use compio::time::{sleep, timeout};
use send_wrapper::SendWrapper;
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Value, json};

use crate::{
    access::{self, Sessions},
    failover,
    host::{Host, millis},
    leases::Holder,
    log::Log,
    machine::{Answer, Command, ConfigChange, MembershipChange, PlannedChange},
    problem::Problem,
    settings::Operator,
    sighting::Health,
};

/// Timeout for an entry process to confirm a drain request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a drain request checks whether the entry process is stopping.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum length of a change id or reason, in bytes; both are kept in the history.
const MAX_TEXT_BYTES: usize = 1_024;

/// Administration interface of one control host.
#[derive(Debug)]
pub struct Admin<L> {
    /// Host that is administered.
    pub host: Rc<Host<L>>,
    /// Operators that are allowed to make changes.
    pub operators: Vec<Operator>,
    /// Console sessions.
    pub sessions: RefCell<Sessions>,
}

/// Request to change the configuration.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigRequest {
    /// Id chosen by the sender.
    pub change: String,
    /// Configuration version that the change is based on.
    pub base: u64,
    /// Text of the new document.
    pub document: String,
    /// Reason for the change.
    pub reason: String,
}

/// Request for a planned change of primary.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PrimaryRequest {
    /// Id chosen by the sender.
    pub change: String,
    /// New primary; any replica if absent.
    #[serde(default)]
    pub member: Option<String>,
}

/// Request to remove a member from a group, or to allow it again.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRequest {
    /// Id chosen by the sender.
    pub change: String,
    /// Member.
    pub member: String,
}

type Body = Result<Bytes, BytesRejection>;

/// Returns the routes of the administration API.
pub fn routes<L: Log>(admin: &Rc<Admin<L>>) -> Router {
    let config = send_wrapped(admin);
    let change = send_wrapped(admin);
    let text = send_wrapped(admin);
    let history = send_wrapped(admin);
    let check = send_wrapped(admin);
    let status = send_wrapped(admin);
    let primary = send_wrapped(admin);
    let remove = send_wrapped(admin);
    let allow = send_wrapped(admin);
    let drain = send_wrapped(admin);
    Router::new()
        .route(
            "/v1/config",
            get(move || std::future::ready(config.config())).post(
                move |headers: HeaderMap, body: Body| {
                    let admin = change.clone();
                    SendWrapper::new(async move { admin.post_config(&headers, body).await })
                },
            ),
        )
        .route(
            "/v1/config/document",
            get(move || std::future::ready(text.document())),
        )
        .route(
            "/v1/config/history",
            get(move || std::future::ready(history.history())),
        )
        .route(
            "/v1/config/check",
            post(move |headers: HeaderMap, body: Body| {
                std::future::ready(check.post_check(&headers, body))
            }),
        )
        .route(
            "/v1/status",
            get(move || std::future::ready(Json(status.status(Instant::now())))),
        )
        .route(
            "/v1/groups/{group}/primary",
            post(
                move |Path(group): Path<String>, headers: HeaderMap, body: Body| {
                    let admin = primary.clone();
                    SendWrapper::new(async move { admin.post_primary(group, &headers, body).await })
                },
            ),
        )
        .route(
            "/v1/groups/{group}/remove",
            post(
                move |Path(group): Path<String>, headers: HeaderMap, body: Body| {
                    let admin = remove.clone();
                    SendWrapper::new(
                        async move { admin.post_member(group, true, &headers, body).await },
                    )
                },
            ),
        )
        .route(
            "/v1/groups/{group}/allow",
            post(
                move |Path(group): Path<String>, headers: HeaderMap, body: Body| {
                    let admin = allow.clone();
                    SendWrapper::new(async move {
                        admin.post_member(group, false, &headers, body).await
                    })
                },
            ),
        )
        .route(
            "/v1/entries/{entry}/drain",
            post(move |Path(entry): Path<String>, headers: HeaderMap| {
                let admin = drain.clone();
                SendWrapper::new(async move { admin.post_drain(&entry, &headers).await })
            }),
        )
}

/// Wraps `admin` for a handler: axum requires handlers that are `Send`, while this process serves on
/// one thread only.
pub(crate) fn send_wrapped<L: Log>(admin: &Rc<Admin<L>>) -> SendWrapper<Rc<Admin<L>>> {
    SendWrapper::new(Rc::clone(admin))
}

fn body_bytes(body: Body) -> Result<Bytes, Problem> {
    body.map_err(|cause| {
        Problem::new(
            cause.status(),
            &cause.body_text(),
            "send a body of less than 2 MB",
        )
    })
}

fn parse<T: DeserializeOwned>(body: Body) -> Result<T, Problem> {
    serde_json::from_slice(&body_bytes(body)?).map_err(|cause| {
        Problem::for_field(
            "body",
            &cause.to_string(),
            "send the JSON that the API describes",
        )
    })
}

/// Checks that a text is neither empty nor too long.
fn check_text(field: &str, text: &str) -> Result<(), Problem> {
    if text.trim().is_empty() {
        return Err(Problem::for_field(field, "is empty", "fill it in"));
    }
    if text.len() > MAX_TEXT_BYTES {
        return Err(Problem::for_field(
            field,
            "is longer than 1,024 bytes",
            "shorten it",
        ));
    }
    Ok(())
}

impl<L: Log> Admin<L> {
    fn config(&self) -> Response {
        Json(&self.host.state.borrow().config).into_response()
    }

    fn document(&self) -> Response {
        let state = self.host.state.borrow();
        let headers = [
            (
                header::CONTENT_TYPE,
                "application/toml; charset=utf-8".to_owned(),
            ),
            (
                header::CONTENT_DISPOSITION,
                format!(
                    "attachment; filename=\"goldcrestrail-{}.toml\"",
                    state.config.version
                ),
            ),
            (header::ETAG, format!("\"{}\"", state.config.digest)),
        ];
        (headers, state.config.document.clone()).into_response()
    }

    fn history(&self) -> Response {
        Json(&self.host.state.borrow().history).into_response()
    }

    /// Returns the operator who sent the request.
    fn authorise(&self, headers: &HeaderMap) -> Result<&str, Problem> {
        access::check_same_site(headers)?;
        access::authenticate_bearer(&self.operators, headers)
    }

    fn post_check(&self, headers: &HeaderMap, body: Body) -> Result<Response, Problem> {
        self.authorise(headers)?;
        let body = body_bytes(body)?;
        let text = std::str::from_utf8(&body).map_err(|cause| {
            Problem::for_field("document", &cause.to_string(), "send the document as UTF-8")
        })?;
        let parsed = Document::parse(text)?;
        let answer = json!({ "digest": document::digest(text), "services": parsed.services.len() });
        Ok(Json(answer).into_response())
    }

    async fn post_config(&self, headers: &HeaderMap, body: Body) -> Result<Response, Problem> {
        let author = self.authorise(headers)?.to_owned();
        let request: ConfigRequest = parse(body)?;
        let (version, digest) = self.submit_config(request, &author).await?;
        Ok(Json(json!({ "version": version, "digest": digest })).into_response())
    }

    /// Validates a new configuration, puts it in force, and returns its version and digest.
    ///
    /// # Errors
    /// A field is invalid, another change replaced the base version, or no majority answers.
    pub async fn submit_config(
        &self,
        request: ConfigRequest,
        author: &str,
    ) -> Result<(u64, String), Problem> {
        check_text("change", &request.change)?;
        check_text("reason", &request.reason)?;
        let parsed = Document::parse(&request.document)?;
        let services = parsed.services.iter();
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let change = ConfigChange {
            change: request.change,
            base: request.base,
            document: request.document,
            author: author.to_owned(),
            reason: request.reason,
            time: since.as_secs(),
            confirmations: services
                .map(|s| (s.group.clone(), s.confirmations))
                .collect(),
        };
        slog::info!(self.host.logger, "configuration change"; "author" => author,
            "change" => &change.change, "base" => change.base, "reason" => &change.reason);
        match self.propose(Command::Configure(change)).await? {
            Answer::Done { version, digest } => Ok((version, digest)),
            other => Err(problem_from_answer(other)),
        }
    }

    async fn post_primary(
        &self,
        group: String,
        headers: &HeaderMap,
        body: Body,
    ) -> Result<Response, Problem> {
        let author = self.authorise(headers)?.to_owned();
        let version = self
            .plan_primary_change(group, parse(body)?, &author)
            .await?;
        Ok(Json(json!({ "version": version })).into_response())
    }

    /// Starts a planned change of primary and returns the record version.
    ///
    /// # Errors
    /// The group or the member is unknown, the member is leaving or was not heard from, another
    /// change is in progress, or no majority answers.
    pub async fn plan_primary_change(
        &self,
        group: String,
        request: PrimaryRequest,
        author: &str,
    ) -> Result<u64, Problem> {
        check_text("change", &request.change)?;
        if let Some(member) = &request.member {
            let directory = self.host.directory.borrow();
            let received = directory.member(member);
            let recorded = self.host.record(&group);
            let recorded = recorded.is_some_and(|record| record.member(member).is_some());
            let present = directory.present_members(Instant::now(), &group);
            if recorded && received.is_some() && !present.iter().any(|a| a.member == *member) {
                return Err(Problem {
                    status: StatusCode::CONFLICT,
                    ..Problem::for_field(
                        "member",
                        "is leaving, or was not heard from for 3 s",
                        "choose another member, or wait until it is back",
                    )
                });
            }
        }
        slog::info!(self.host.logger, "planned change of primary"; "author" => author,
            "change" => &request.change, "group" => &group, "member" => &request.member);
        let planned = PlannedChange {
            change: request.change,
            member: request.member,
        };
        match self.propose(Command::Plan { group, planned }).await? {
            Answer::Done { version, .. } => Ok(version),
            other => Err(problem_from_answer(other)),
        }
    }

    async fn post_member(
        &self,
        group: String,
        remove: bool,
        headers: &HeaderMap,
        body: Body,
    ) -> Result<Response, Problem> {
        let author = self.authorise(headers)?.to_owned();
        let version = self
            .change_membership(group, remove, parse(body)?, &author)
            .await?;
        Ok(Json(json!({ "version": version })).into_response())
    }

    /// Removes a member from a group, or allows a removed one to be added again, and returns the
    /// record version.
    ///
    /// # Errors
    /// The group or the member is unknown, the member is the primary, too few members would be
    /// left, a change of primary is in progress, or no majority answers.
    pub async fn change_membership(
        &self,
        group: String,
        remove: bool,
        request: MemberRequest,
        author: &str,
    ) -> Result<u64, Problem> {
        check_text("change", &request.change)?;
        check_text("member", &request.member)?;
        let confirmations = self
            .host
            .document()
            .service_of_group(&group)
            .map_or(0, |service| service.confirmations);
        let order = MembershipChange {
            group,
            member: request.member,
            change: request.change,
            remove,
            confirmations,
            config: self.host.state.borrow().config.version,
        };
        slog::info!(self.host.logger, "change of group members"; "author" => author,
            "change" => &order.change, "group" => &order.group, "member" => &order.member,
            "remove" => remove);
        match self.propose(Command::Membership(order)).await? {
            Answer::Done { version, .. } => Ok(version),
            other => Err(problem_from_answer(other)),
        }
    }

    /// Sends a command to the leader of the log and returns its answer.
    async fn propose(&self, command: Command) -> Result<Answer, Problem> {
        if self.host.stopping.get() {
            return Err(Problem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "this host is stopping; the change was not made",
                "send the change to another control host",
            ));
        }
        self.host
            .pending_changes
            .set(self.host.pending_changes.get() + 1);
        fail::fail_point!("change-forward");
        let answer = self.host.log.forward(command.encode()).await;
        fail::fail_point!("change-reply");
        self.host
            .pending_changes
            .set(self.host.pending_changes.get() - 1);
        Ok(Answer::decode(&answer?.1))
    }

    async fn post_drain(&self, entry: &str, headers: &HeaderMap) -> Result<Response, Problem> {
        let author = self.authorise(headers)?.to_owned();
        self.drain(entry, &author).await?;
        Ok((StatusCode::ACCEPTED, Json(json!({ "entry": entry }))).into_response())
    }

    /// Asks an entry process to stop gracefully, and waits until it is stopping.
    ///
    /// # Errors
    /// The entry process is unknown or does not answer.
    pub async fn drain(&self, entry: &str, author: &str) -> Result<(), Problem> {
        let run = {
            let directory = self.host.directory.borrow();
            directory.entries().get(entry).map(|entry| entry.run)
        };
        let run = run.ok_or_else(|| Problem {
            field: Some("entry".to_owned()),
            ..Problem::new(
                StatusCode::NOT_FOUND,
                "no such entry process was heard from lately",
                "see /v1/status for entries",
            )
        })?;
        slog::info!(self.host.logger, "drain of an entry process requested"; "author" => author,
            "entry" => entry);
        let holder = (entry.to_owned(), run);
        // The answer to the next renewal carries the request to the entry process.
        self.host.drain_requests.borrow_mut().insert(holder.clone());
        let stopped = timeout(DRAIN_TIMEOUT, async {
            while !self.is_stopping(&holder) {
                sleep(POLL_INTERVAL).await;
            }
        });
        let answered = stopped.await.is_ok();
        self.host.drain_requests.borrow_mut().remove(&holder);
        if answered {
            return Ok(());
        }
        Err(Problem::new(
            StatusCode::BAD_GATEWAY,
            &format!(
                "{entry} does not answer within {} s",
                DRAIN_TIMEOUT.as_secs()
            ),
            "check that it runs, or send its process SIGTERM",
        ))
    }

    /// Whether a run of an entry process has reported that it is stopping, or has ended.
    fn is_stopping(&self, (entry, run): &Holder) -> bool {
        let directory = self.host.directory.borrow();
        directory
            .entries()
            .get(entry)
            .is_none_or(|known| known.stopping || known.run != *run)
    }

    /// Returns the control hosts, groups and entry processes as this host knows them.
    #[must_use]
    pub fn status(&self, now: Instant) -> Value {
        let host = &self.host;
        let leader = host.log.leader();
        let hosts = host.identity.peers.iter().map(|(name, address)| {
            json!({
                "name": name,
                "address": address,
                "leader": leader.as_ref() == Some(name),
                "self": *name == host.identity.name,
            })
        });
        let state = host.state.borrow();
        json!({
            "host": host.identity.name,
            "age_ms": millis(host.log.time_since_leader(base::clock::now())),
            "leader": leader,
            "config_version": state.config.version,
            "config_digest": state.config.digest,
            "record_version": state.version,
            "hosts": hosts.collect::<Value>(),
            "groups": state.records.keys().map(|group| self.group(now, group)).collect::<Value>(),
            "members": host.members_json(now),
            "entries": host.entries_json(now),
        })
    }

    /// Returns the record of a group with the positions that entry processes reported.
    fn group(&self, now: Instant, group: &str) -> Value {
        let Some(record) = self.host.record(group) else {
            return Value::Null;
        };
        let sightings = self.host.sightings.borrow();
        let observers: Vec<_> = sightings
            .observers(group)
            .into_iter()
            .flat_map(|observers| observers.values())
            .filter(|o| now.saturating_duration_since(o.reported_at) < failover::REPORT_MAX_AGE)
            .collect();
        let position = |member: &str| {
            let seen = observers.iter().filter_map(|o| o.members.get(member));
            seen.map(|seen| seen.position).max()
        };
        let primary_position = position(&record.primary);
        let members = record.members.iter().map(|member| {
            let seen = observers
                .iter()
                .filter_map(|o| o.members.get(&member.member));
            let reached = seen.filter(|seen| seen.health == Health::Ok).count();
            let position = position(&member.member);
            let lag = primary_position
                .zip(position)
                .map(|(primary, own)| primary.offset.saturating_sub(own.offset));
            json!({
                "member": member.member,
                "store": member.store,
                "address": self.host.member_address(member),
                "zone": member.zone,
                "region": member.region,
                "primary": member.member == record.primary,
                "position": position,
                "lag": lag,
                "reached_by": reached,
                "observers": observers.len(),
            })
        });
        json!({
            "group": record.group,
            "term": record.term,
            "state": record.state,
            "next": record.next,
            "primary": record.primary,
            "version": record.version,
            "members": members.collect::<Value>(),
            "removed": record.removed,
        })
    }
}

/// Converts an answer other than `Done` to an error.
fn problem_from_answer(answer: Answer) -> Problem {
    Problem::from_answer(answer).unwrap_or_else(|| {
        Problem::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "unexpected answer",
            "see the log",
        )
    })
}
