//! Web console: HTML pages and forms for the operations of the administration API.

use std::{rc::Rc, time::Instant};

use askama::Template;
use axum::{
    Form, Router,
    extract::{Path, Query, rejection::FormRejection},
    http::{HeaderMap, HeaderValue, StatusCode, header},
    response::{Html, IntoResponse, Redirect, Response},
    routing::{get, post},
};
use base::document::Document;
use send_wrapper::SendWrapper;
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{
    access::{self, Session},
    admin::{Admin, ConfigRequest, MemberRequest, PrimaryRequest, send_wrapped},
    form::ServiceForm,
    log::Log,
    machine::HistoryEntry,
    problem::Problem,
};

/// Number of changes that the history page shows; the API returns all of them.
const MAX_HISTORY_ROWS: usize = 500;

#[derive(Template)]
#[template(path = "login.html")]
struct LoginPage {
    problem: Option<Problem>,
}

#[derive(Template)]
#[template(path = "status.html")]
struct StatusPage {
    session: Session,
    problem: Option<Problem>,
    host: String,
    leader: String,
    age_ms: u64,
    version: u64,
    digest: String,
    hosts: Vec<Row>,
    groups: Vec<GroupRow>,
    entries: Vec<Row>,
    change: String,
}

/// A table row.
struct Row {
    name: String,
    cells: Vec<String>,
}

struct GroupRow {
    group: String,
    primary: String,
    state: String,
    term: String,
    members: Vec<Row>,
    removed: Vec<String>,
}

#[derive(Template)]
#[template(path = "services.html")]
struct ServicesPage {
    session: Session,
    services: Vec<base::document::Service>,
}

#[derive(Template)]
#[template(path = "service.html")]
struct ServicePage {
    session: Session,
    problem: Option<Problem>,
    fields: ServiceForm,
}

#[derive(Template)]
#[template(path = "document.html")]
struct DocumentPage {
    session: Session,
    problem: Option<Problem>,
    version: u64,
    digest: String,
    text: String,
    edited: String,
    base: u64,
    change: String,
    reason: String,
}

#[derive(Template)]
#[template(path = "history.html")]
struct HistoryPage {
    session: Session,
    events: Vec<(String, HistoryEntry)>,
}

#[derive(Debug, Deserialize)]
struct LoginForm {
    token: String,
}

#[derive(Debug, Deserialize)]
struct DocumentForm {
    document: String,
    base: u64,
    change: String,
    reason: String,
    form: String,
}

#[derive(Debug, Deserialize)]
struct PrimaryForm {
    member: String,
    change: String,
    form: String,
}

#[derive(Debug, Deserialize)]
struct TokenForm {
    form: String,
}

#[derive(Debug, Deserialize)]
struct ServiceQuery {
    #[serde(default)]
    name: String,
}

type FormResult<T> = Result<Form<T>, FormRejection>;

/// Reason why a request gets another page than the requested one.
enum PageError {
    /// No operator is logged in.
    Login,
    /// The request failed.
    Problem(Problem),
}

impl From<Problem> for PageError {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem)
    }
}

impl IntoResponse for PageError {
    fn into_response(self) -> Response {
        match self {
            Self::Login => page(StatusCode::UNAUTHORIZED, &LoginPage { problem: None }),
            Self::Problem(problem) => page(
                problem.status,
                &LoginPage {
                    problem: Some(problem),
                },
            ),
        }
    }
}

fn page(status: StatusCode, template: &impl Template) -> Response {
    let body = match template.render() {
        Ok(body) => body,
        Err(cause) => {
            return (StatusCode::INTERNAL_SERVER_ERROR, cause.to_string()).into_response();
        }
    };
    let headers = [
        (header::CACHE_CONTROL, "no-store"),
        (header::X_FRAME_OPTIONS, "DENY"),
        (
            header::CONTENT_SECURITY_POLICY,
            "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; \
             frame-ancestors 'none'; base-uri 'none'",
        ),
    ];
    (status, headers, Html(body)).into_response()
}

/// Returns the routes of the console.
pub fn routes<L: Log>(admin: &Rc<Admin<L>>) -> Router {
    /// Builds the handler of a request without a body.
    macro_rules! get_page {
        ($method:ident) => {{
            let admin = send_wrapped(admin);
            get(move |headers: HeaderMap| std::future::ready(admin.$method(&headers)))
        }};
    }
    /// Builds the handler of a posted form.
    macro_rules! post_form {
        ($method:ident) => {{
            let admin = send_wrapped(admin);
            move |headers: HeaderMap, form: FormResult<_>| {
                let admin = admin.clone();
                SendWrapper::new(async move { admin.$method(&headers, form).await })
            }
        }};
    }
    /// Builds the handler of a posted form for the object named in the path.
    macro_rules! post_named {
        ($method:ident) => {{
            let admin = send_wrapped(admin);
            move |Path(name): Path<String>, headers: HeaderMap, form: FormResult<_>| {
                let admin = admin.clone();
                SendWrapper::new(async move { admin.$method(name, &headers, form).await })
            }
        }};
    }
    let service = send_wrapped(admin);
    let login = send_wrapped(admin);
    let logout = send_wrapped(admin);
    Router::new()
        .route("/console", get_page!(status_page))
        .route(
            "/console/login",
            post(move |headers: HeaderMap, form: FormResult<_>| {
                std::future::ready(login.login(&headers, form))
            }),
        )
        .route(
            "/console/logout",
            post(move |headers: HeaderMap, form: FormResult<_>| {
                std::future::ready(logout.logout(&headers, form))
            }),
        )
        .route("/console/services", get_page!(services_page))
        .route(
            "/console/service",
            get(
                move |headers: HeaderMap, Query(query): Query<ServiceQuery>| {
                    std::future::ready(service.service_page(&headers, &query))
                },
            )
            .post(post_form!(post_service)),
        )
        .route(
            "/console/document",
            get_page!(document_page).post(post_form!(post_document)),
        )
        .route("/console/history", get_page!(history_page))
        .route(
            "/console/groups/{group}/primary",
            post(post_named!(post_group)),
        )
        .route(
            "/console/groups/{group}/remove",
            post(post_named!(post_remove)),
        )
        .route(
            "/console/groups/{group}/allow",
            post(post_named!(post_allow)),
        )
        .route(
            "/console/entries/{entry}/drain",
            post(post_named!(post_entry)),
        )
}

/// Returns a random change id for a new form.
fn change_id() -> String {
    format!("console-{:032x}", rand::random::<u128>())
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn row(value: &Value, name: &str, cells: &[&str]) -> Row {
    Row {
        name: text(&value[name]),
        cells: cells.iter().map(|cell| text(&value[*cell])).collect(),
    }
}

fn rows(value: &Value, name: &str, cells: &[&str]) -> Vec<Row> {
    let items = value.as_array().into_iter().flatten();
    items.map(|item| row(item, name, cells)).collect()
}

impl<L: Log> Admin<L> {
    fn session(&self, headers: &HeaderMap) -> Result<Session, PageError> {
        self.sessions
            .borrow_mut()
            .find(Instant::now(), headers)
            .ok_or(PageError::Login)
    }

    /// Checks the origin, the session and the CSRF token of a posted form, and returns the session
    /// and the fields.
    fn check_form<T: DeserializeOwned>(
        &self,
        headers: &HeaderMap,
        form: FormResult<T>,
        token: impl Fn(&T) -> &str,
    ) -> Result<(Session, T), PageError> {
        access::check_same_site(headers)?;
        let session = self.session(headers)?;
        let form = form_fields(form)?;
        access::check_form_token(&session, token(&form))?;
        Ok((session, form))
    }

    fn login(
        &self,
        headers: &HeaderMap,
        form: FormResult<LoginForm>,
    ) -> Result<Response, PageError> {
        access::check_same_site(headers)?;
        let form = form_fields(form)?;
        let Some(operator) = access::find_operator(&self.operators, form.token.trim()) else {
            slog::warn!(self.host.logger, "console login refused");
            return Err(PageError::Problem(Problem::new(
                StatusCode::UNAUTHORIZED,
                "the token belongs to no operator",
                "use the token whose hash is in the settings",
            )));
        };
        let cookie = self.sessions.borrow_mut().open(Instant::now(), operator);
        slog::info!(self.host.logger, "console login"; "operator" => operator);
        let mut response = Redirect::to("/console").into_response();
        if let Ok(value) = HeaderValue::from_str(&cookie) {
            response.headers_mut().insert(header::SET_COOKIE, value);
        }
        Ok(response)
    }

    fn logout(
        &self,
        headers: &HeaderMap,
        form: FormResult<TokenForm>,
    ) -> Result<Response, PageError> {
        self.check_form(headers, form, |form| &form.form)?;
        self.sessions.borrow_mut().close(headers);
        Ok(Redirect::to("/console").into_response())
    }

    fn status_page(&self, headers: &HeaderMap) -> Result<Response, PageError> {
        let session = self.session(headers)?;
        Ok(self.render_status(session, None))
    }

    fn render_status(&self, session: Session, problem: Option<Problem>) -> Response {
        let status = self.status(Instant::now());
        let groups = status["groups"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|group| GroupRow {
                group: text(&group["group"]),
                primary: text(&group["primary"]),
                state: text(&group["state"]),
                term: text(&group["term"]),
                removed: group["removed"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .map(text)
                    .collect(),
                members: rows(
                    &group["members"],
                    "member",
                    &[
                        "zone",
                        "address",
                        "position",
                        "lag",
                        "reached_by",
                        "observers",
                    ],
                ),
            });
        let code = problem
            .as_ref()
            .map_or(StatusCode::OK, |problem| problem.status);
        let template = StatusPage {
            session,
            problem,
            host: text(&status["host"]),
            leader: text(&status["leader"]),
            age_ms: status["age_ms"].as_u64().unwrap_or_default(),
            version: status["config_version"].as_u64().unwrap_or_default(),
            digest: text(&status["config_digest"]),
            hosts: rows(&status["hosts"], "name", &["address", "leader"]),
            groups: groups.collect(),
            entries: rows(
                &status["entries"],
                "name",
                &[
                    "zone",
                    "config_version",
                    "record_version",
                    "age_ms",
                    "stopping",
                ],
            ),
            change: change_id(),
        };
        page(code, &template)
    }

    fn services_page(&self, headers: &HeaderMap) -> Result<Response, PageError> {
        let session = self.session(headers)?;
        let services = self.host.document().services.clone();
        Ok(page(StatusCode::OK, &ServicesPage { session, services }))
    }

    fn service_page(
        &self,
        headers: &HeaderMap,
        query: &ServiceQuery,
    ) -> Result<Response, PageError> {
        let session = self.session(headers)?;
        let document = self.host.document();
        let mut fields = match document.service(&query.name) {
            Some(service) => ServiceForm::from_service(service),
            None if query.name.is_empty() => ServiceForm::with_defaults(),
            None => {
                return Err(PageError::Problem(Problem::new(
                    StatusCode::NOT_FOUND,
                    "there is no such service",
                    "choose one from the list",
                )));
            }
        };
        fields.base = self.host.state.borrow().config.version.to_string();
        fields.change = change_id();
        Ok(page(
            StatusCode::OK,
            &ServicePage {
                session,
                problem: None,
                fields,
            },
        ))
    }

    async fn post_service(
        &self,
        headers: &HeaderMap,
        form: FormResult<ServiceForm>,
    ) -> Result<Response, PageError> {
        let (session, mut fields) = self.check_form(headers, form, |form| &form.form)?;
        let Err(problem) = self.change_service(&session, &fields).await else {
            return Ok(Redirect::to("/console/services").into_response());
        };
        // The invalid form was not submitted. With a new id, the corrected form is a new change.
        if problem.status != StatusCode::SERVICE_UNAVAILABLE {
            fields.change = change_id();
        }
        let status = problem.status;
        Ok(page(
            status,
            &ServicePage {
                session,
                problem: Some(problem),
                fields,
            },
        ))
    }

    async fn change_service(&self, session: &Session, form: &ServiceForm) -> Result<(), Problem> {
        let base = form
            .base
            .parse()
            .map_err(|_cause| Problem::for_field("base", "is no version", "reload the page"))?;
        let (version, text) = {
            let state = self.host.state.borrow();
            (state.config.version, state.config.document.clone())
        };
        let document = if version == base {
            form.apply_to(&Document::parse(&text)?)?
        } else {
            // The document of the base version is no longer available. The log answers a repeated
            // change with its first answer, and any other change with a conflict.
            text
        };
        let request = ConfigRequest {
            change: form.change.clone(),
            base,
            document,
            reason: form.reason.clone(),
        };
        self.submit_config(request, &session.operator)
            .await
            .map(drop)
    }

    fn document_page(&self, headers: &HeaderMap) -> Result<Response, PageError> {
        let session = self.session(headers)?;
        Ok(self.render_document(session, None, None))
    }

    fn render_document(
        &self,
        session: Session,
        problem: Option<Problem>,
        edited: Option<DocumentForm>,
    ) -> Response {
        let config = self.host.state.borrow().config.clone();
        let status = problem
            .as_ref()
            .map_or(StatusCode::OK, |problem| problem.status);
        let retry = status == StatusCode::SERVICE_UNAVAILABLE;
        let edited = edited.unwrap_or_else(|| DocumentForm {
            document: config.document.clone(),
            base: config.version,
            change: change_id(),
            reason: String::new(),
            form: String::new(),
        });
        let template = DocumentPage {
            session,
            problem,
            version: config.version,
            digest: config.digest,
            text: config.document,
            edited: edited.document,
            base: edited.base,
            change: if retry { edited.change } else { change_id() },
            reason: edited.reason,
        };
        page(status, &template)
    }

    async fn post_document(
        &self,
        headers: &HeaderMap,
        form: FormResult<DocumentForm>,
    ) -> Result<Response, PageError> {
        let (session, mut form) = self.check_form(headers, form, |form| &form.form)?;
        // Browsers submit the lines of a text area with CR LF.
        form.document = form.document.replace("\r\n", "\n");
        let request = ConfigRequest {
            change: form.change.clone(),
            base: form.base,
            document: form.document.clone(),
            reason: form.reason.clone(),
        };
        match self.submit_config(request, &session.operator).await {
            Ok(_) => Ok(Redirect::to("/console/document").into_response()),
            Err(problem) => Ok(self.render_document(session, Some(problem), Some(form))),
        }
    }

    fn history_page(&self, headers: &HeaderMap) -> Result<Response, PageError> {
        let session = self.session(headers)?;
        let state = self.host.state.borrow();
        let latest = state.history.iter().rev().take(MAX_HISTORY_ROWS);
        let events = latest
            .map(|event| (utc(event.time), event.clone()))
            .collect();
        Ok(page(StatusCode::OK, &HistoryPage { session, events }))
    }

    async fn post_group(
        &self,
        group: String,
        headers: &HeaderMap,
        form: FormResult<PrimaryForm>,
    ) -> Result<Response, PageError> {
        let (session, form) = self.check_form(headers, form, |form| &form.form)?;
        let member = Some(form.member).filter(|member| !member.is_empty());
        let request = PrimaryRequest {
            change: form.change,
            member,
        };
        Ok(
            match self
                .plan_primary_change(group, request, &session.operator)
                .await
            {
                Ok(_) => Redirect::to("/console").into_response(),
                Err(problem) => self.render_status(session, Some(problem)),
            },
        )
    }

    async fn post_remove(
        &self,
        group: String,
        headers: &HeaderMap,
        form: FormResult<PrimaryForm>,
    ) -> Result<Response, PageError> {
        self.change_member(group, true, headers, form).await
    }

    async fn post_allow(
        &self,
        group: String,
        headers: &HeaderMap,
        form: FormResult<PrimaryForm>,
    ) -> Result<Response, PageError> {
        self.change_member(group, false, headers, form).await
    }

    async fn change_member(
        &self,
        group: String,
        remove: bool,
        headers: &HeaderMap,
        form: FormResult<PrimaryForm>,
    ) -> Result<Response, PageError> {
        let (session, form) = self.check_form(headers, form, |form| &form.form)?;
        let request = MemberRequest {
            change: form.change,
            member: form.member,
        };
        let changed = self.change_membership(group, remove, request, &session.operator);
        Ok(match changed.await {
            Ok(_) => Redirect::to("/console").into_response(),
            Err(problem) => self.render_status(session, Some(problem)),
        })
    }

    async fn post_entry(
        &self,
        entry: String,
        headers: &HeaderMap,
        form: FormResult<TokenForm>,
    ) -> Result<Response, PageError> {
        let (session, _form) = self.check_form(headers, form, |form| &form.form)?;
        Ok(match self.drain(&entry, &session.operator).await {
            Ok(()) => Redirect::to("/console").into_response(),
            Err(problem) => self.render_status(session, Some(problem)),
        })
    }
}

/// Formats seconds since 1970 as a date and time in UTC, by the Gregorian calendar.
#[must_use]
pub fn utc(seconds: u64) -> String {
    let (days, second) = (seconds / 86_400, seconds % 86_400);
    // Count years from March, so that a leap day is the last day of its year.
    let days = days + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let shifted = (5 * day + 2) / 153;
    let date = day - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 {
        shifted + 3
    } else {
        shifted - 9
    };
    let year = era * 400 + year + u64::from(month <= 2);
    let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{date:02}T{hour:02}:{minute:02}:{second:02}Z")
}

fn form_fields<T>(form: FormResult<T>) -> Result<T, Problem> {
    form.map(|Form(form)| form).map_err(|cause| Problem {
        field: Some("form".to_owned()),
        ..Problem::new(
            cause.status(),
            &cause.body_text(),
            "reload the page and send it again",
        )
    })
}
