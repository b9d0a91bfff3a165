//! Sessions forwarded to another entry process.
//!
//! In a deployment with more entry processes than connections to a database, only some processes
//! hold connections. The others forward requests to them, one at a time. If the serving process is
//! lost, the forwarding process sends the final reply in its place.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Map, document::Route, organisation::KeyDigest};
use bstr::BString;
use compio::time::sleep;
use entry::{dialect::Dialect, near::NearEntry};
use futures_util::future::{Either, select};
use slog::{info, warn};

use crate::{
    caller::{Caller, Input},
    command::{Command, Request, StatementKind},
    request_log::RequestContext,
    session::{MAX_NAMES, outcome_label, reply_in_failed_transaction},
    shared::Shared,
    single::into_reply,
    statement::{Code, Failure, Reply, Response, Statement, StatementClient, TransactionState},
    stop::{Phase, STOPPING, stopping_failure},
};

/// The serving process is probed after it sent no response to any session for this long, so that
/// the callers of a lost process get a reply well within their latency objective.
const PROBE_AFTER: Duration = Duration::from_millis(250);
/// Extra wait for a response beyond the route's deadline: the serving process counts the deadline
/// from its own, slightly later, receipt of the request.
const RESPONSE_MARGIN: Duration = Duration::from_millis(250);
/// Interval of the probes to a lost process.
const REPROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Name of a nonexistent route. Any response to a login on it shows that a process is alive.
const PROBE_ROUTE: &str = "-";

/// The session of one caller, forwarded to another entry process.
#[derive(Debug)]
pub(crate) struct ForwardedSession<C, D: Dialect> {
    shared: Rc<Shared<D>>,
    caller: C,
    route_name: String,
    /// Digest of the caller's key.
    key: Option<KeyDigest>,
    /// Entry process that serves the route.
    peer: Rc<NearEntry>,
    /// Connection to the serving process; `None` once it is lost.
    client: Option<D::Client>,
    state: TransactionState,
    /// Kinds of the prepared statements by name.
    prepared_kinds: Map<BString, StatementKind>,
}

/// Possible effect of a request that got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnansweredEffect {
    /// None: it did not run, or its effects are rolled back.
    Discarded,
    /// None, as the request only reads.
    ReadOnly,
    /// Its changes may have been committed.
    Unknown,
}

/// Determines the possible effect of a request that was forwarded and got no response. `kind` is
/// the kind of the statement, if known.
///
/// ```
/// use session::{
///     Command, StatementKind,
///     forward::{UnansweredEffect, classify_unanswered},
///     statement::TransactionState,
/// };
///
/// let read = Command::Run(StatementKind::Read);
/// let kind = Some(StatementKind::Read);
/// let effect = classify_unanswered(&read, kind, TransactionState::Idle);
/// assert_eq!(effect, UnansweredEffect::ReadOnly);
/// let effect = classify_unanswered(&Command::Commit, None, TransactionState::Open);
/// assert_eq!(effect, UnansweredEffect::Unknown);
/// ```
#[must_use]
pub const fn classify_unanswered(
    command: &Command,
    kind: Option<StatementKind>,
    state: TransactionState,
) -> UnansweredEffect {
    match (command, state) {
        (Command::Commit, TransactionState::Open) => UnansweredEffect::Unknown,
        (Command::Run(_) | Command::Execute { .. }, TransactionState::Idle) => match kind {
            Some(StatementKind::Read) => UnansweredEffect::ReadOnly,
            Some(StatementKind::Write) | None => UnansweredEffect::Unknown,
        },
        // The serving process rolls back the open transaction when its session ends.
        _ => UnansweredEffect::Discarded,
    }
}

impl<C: Caller, D: Dialect> ForwardedSession<C, D>
where
    D::Client: StatementClient,
{
    /// Connects to the process that serves a route, skipping processes that do not respond. Returns
    /// the caller if this process has to serve it.
    pub(crate) async fn open(
        caller: C,
        shared: &Rc<Shared<D>>,
        route: &Rc<Route>,
        key: Option<KeyDigest>,
    ) -> Result<Self, C> {
        let network = &shared.network;
        // A key that is not valid is refused by the process that serves the session.
        let organisation = network
            .identify(Some(route), key.as_ref(), base::clock::now())
            .ok()
            .flatten();
        let owner = organisation.as_ref().map(|known| known.name.as_str());
        while let Some(service) = network.find_service(&route.service)
            && let Some(peer) = network.forward_target(&service, owner)
        {
            match network.forward(&peer, &route.name, key.as_ref()).await {
                Ok(client) => {
                    peer.record_answer(Instant::now());
                    return Ok(Self {
                        shared: Rc::clone(shared),
                        caller,
                        route_name: route.name.clone(),
                        key,
                        peer,
                        client: Some(client),
                        state: TransactionState::Idle,
                        prepared_kinds: Map::default(),
                    });
                }
                Err(None) => mark_lost(shared, &peer),
                Err(Some(cause)) => {
                    // The other process may not have received the latest configuration yet.
                    warn!(network.log, "near entry process refuses a session";
                        "near" => &peer.name, "route" => &route.name, "cause" => ?cause);
                    break;
                }
            }
        }
        Err(caller)
    }

    /// Serves the caller until it disconnects, this process shuts down, or the serving process is
    /// lost.
    pub(crate) async fn run(mut self) {
        while self.client.is_some() || self.state != TransactionState::Idle {
            if !self.wait().await {
                break;
            }
            let next = self.caller.next();
            let next = self.shared.until_phase(Phase::AbortingTransactions, next);
            let Some(input) = next.await else { break };
            let Input::Request(request) = input else {
                return;
            };
            let start = Instant::now();
            let reply = self.handle(&request, start).await;
            self.state = reply.state;
            if self.caller.reply(&reply).await.is_err() {
                return;
            }
        }
        if self.shared.refuses_requests() {
            self.refuse_received().await;
        }
    }

    /// Refuses the requests that were received and that the shutdown lets no more run. The serving
    /// process rolls back the transaction when its connection closes.
    async fn refuse_received(&mut self) {
        self.client = None;
        let mut unreported = (self.state == TransactionState::Open).then(|| STOPPING.to_owned());
        while let Some(Input::Request(request)) = self.caller.next_buffered() {
            let reply = if self.state == TransactionState::Idle {
                Reply::failed(stopping_failure(), TransactionState::Idle)
            } else {
                reply_in_failed_transaction(&request.command, unreported.take())
            };
            self.state = reply.state;
            if self.caller.reply(&reply).await.is_err() {
                return;
            }
        }
    }

    /// Waits for a request; returns false if the session should close.
    async fn wait(&self) -> bool {
        if self.shared.refuses_requests() {
            // Without this check, a caller that sends requests without a pause would keep the
            // session open.
            return false;
        }
        let input = pin!(self.caller.readable());
        let closing = pin!(self.shared.wait_to_close(
            self.state != TransactionState::Idle,
            self.peer.wait_unavailable()
        ));
        let disconnected = pin!(async {
            match &self.client {
                Some(client) if self.state == TransactionState::Idle => client.readable().await,
                _ => std::future::pending().await,
            }
        });
        let ended = select(closing, disconnected);
        matches!(select(input, ended).await, Either::Left(_))
    }

    async fn handle(&mut self, request: &Request, start: Instant) -> Reply {
        let Some(route) = self.shared.network.find_route(&self.route_name) else {
            if self.state == TransactionState::Idle {
                let failure = Failure::new(Code::NoRoute, self.route_name.as_str());
                return Reply::failed(failure, TransactionState::Idle);
            }
            return self.forward(request, start, Duration::ZERO).await;
        };
        if self.state == TransactionState::Idle
            && let Err(cause) =
                self.shared
                    .network
                    .identify(Some(&route), self.key.as_ref(), base::clock::now())
        {
            return Reply::failed(cause.into(), TransactionState::Idle);
        }
        let limit = Duration::from_millis(route.deadline_ms);
        self.forward(request, start, limit).await
    }

    async fn forward(&mut self, request: &Request, start: Instant, limit: Duration) -> Reply {
        let Some(client) = &mut self.client else {
            return reply_in_failed_transaction(&request.command, None);
        };
        let deadline = start + limit + RESPONSE_MARGIN;
        let exchange = exchange(client, &self.shared, &self.peer, request, deadline);
        let exchanged = self.shared.until_phase(Phase::Ending, exchange).await;
        match exchanged.unwrap_or_else(|| Err(STOPPING.to_owned())) {
            Ok(response) => {
                self.record_prepared(request, &response);
                self.shared.requests.with_label_values(&["forwarded"]).inc();
                let state = response.state;
                into_reply(response, state)
            }
            Err(cause) => {
                self.client = None;
                self.reply_unanswered(request, &cause, start)
            }
        }
    }

    /// Records the kind of a statement that was prepared.
    fn record_prepared(&mut self, request: &Request, response: &Response) {
        if let Command::Prepare { name, kind, .. } = &request.command
            && response.outcome.is_ok()
            && self.prepared_kinds.len() < MAX_NAMES
            && self.caller.keep(name.len())
            && self.prepared_kinds.insert(name.clone(), *kind).is_some()
        {
            self.caller.forget(name.len());
        }
    }

    /// Final reply to a request to which the serving process did not respond.
    fn reply_unanswered(&self, request: &Request, cause: &str, start: Instant) -> Reply {
        let kind = match &request.command {
            Command::Run(kind) => Some(*kind),
            Command::Execute { name, .. } => self.prepared_kinds.get(name).copied(),
            _ => None,
        };
        let message = format!("{} has no answer: {cause}", self.peer.name);
        let (code, state) = match classify_unanswered(&request.command, kind, self.state) {
            UnansweredEffect::Discarded if self.state == TransactionState::Idle => {
                (Code::Busy, TransactionState::Idle)
            }
            UnansweredEffect::Discarded => (Code::Aborted, TransactionState::Failed),
            UnansweredEffect::ReadOnly => (Code::Failed, TransactionState::Idle),
            UnansweredEffect::Unknown => (Code::InDoubt, TransactionState::Idle),
        };
        let outcome = outcome_label(&code);
        self.shared.requests.with_label_values(&[outcome]).inc();
        let context = RequestContext {
            route: self.route_name.clone(),
            member: self.peer.name.clone(),
            config: self.shared.network.config_version(),
            attempts: 1,
            ..RequestContext::default()
        };
        let now = Instant::now();
        let request_log = &self.shared.request_log;
        request_log.request_ended(request, outcome, &message, &context, start, now);
        Reply::failed(Failure::new(code, message), state)
    }
}

/// Forwards a request and waits for the response, for as long as the serving process is alive.
async fn exchange<D: Dialect>(
    client: &mut D::Client,
    shared: &Rc<Shared<D>>,
    peer: &Rc<NearEntry>,
    request: &Request,
    deadline: Instant,
) -> Result<Response, String>
where
    D::Client: StatementClient,
{
    let statement = Statement::Forward {
        id: request.id.as_ref(),
        min_position: None,
        text: request.text.as_ref(),
    };
    let mut response = pin!(client.run(&statement));
    loop {
        let now = Instant::now();
        if now >= deadline {
            return Err("none before the deadline".to_owned());
        }
        let wait = PROBE_AFTER.min(deadline.saturating_duration_since(now));
        let liveness = pin!(async {
            sleep(wait).await;
            peer.answered_within(PROBE_AFTER, Instant::now()) || is_alive(shared, peer).await
        });
        match select(response.as_mut(), liveness).await {
            Either::Left((Ok(response), _)) => {
                peer.record_answer(Instant::now());
                return Ok(response);
            }
            Either::Left((Err(error), _)) => return Err(error.0),
            Either::Right((true, _)) => {}
            Either::Right((false, _)) => return Err("the process is lost".to_owned()),
        }
    }
}

/// Probes a process, unless it is already known to be lost. One that is stopping still answers its
/// requests.
async fn is_alive<D: Dialect>(shared: &Rc<Shared<D>>, peer: &Rc<NearEntry>) -> bool
where
    D::Client: StatementClient,
{
    if peer.is_unresponsive() {
        return false;
    }
    if let Err(None) = shared.network.forward(peer, PROBE_ROUTE, None).await {
        mark_lost(shared, peer);
        return false;
    }
    peer.record_answer(Instant::now());
    true
}

/// Marks a process as lost, so that no session is forwarded to it, and probes it in the background
/// until it responds.
fn mark_lost<D: Dialect>(shared: &Rc<Shared<D>>, peer: &Rc<NearEntry>)
where
    D::Client: StatementClient,
{
    if !peer.mark_unresponsive() {
        return;
    }
    warn!(shared.network.log, "near entry process does not answer"; "near" => &peer.name);
    let (shared, peer) = (Rc::clone(shared), Rc::clone(peer));
    compio::runtime::spawn(async move {
        while !peer.is_unlisted() {
            sleep(REPROBE_INTERVAL).await;
            if !matches!(
                shared.network.forward(&peer, PROBE_ROUTE, None).await,
                Err(None)
            ) {
                peer.record_answer(Instant::now());
                info!(shared.network.log, "near entry process answers again"; "near" => &peer.name);
                return;
            }
        }
    })
    .detach();
}
