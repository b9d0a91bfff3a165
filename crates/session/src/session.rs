//! The session of one caller.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Map, Position, organisation::KeyDigest};
use bstr::{BStr, BString};
use compio::time::timeout;
use entry::{dialect::Dialect, network::Network};
use futures_util::future::{Either, select};

use crate::{
    caller::{Caller, Input, Peer},
    command::{Command, Request, StatementKind},
    connection_state::{PreparedStatement, SessionState, SessionVariables},
    forward::ForwardedSession,
    request_log::RequestContext,
    shared::{ResolvedRoute, SessionGuard, Shared},
    statement::{Code, Failure, Reply, Statement, StatementClient, TransactionState},
    stop::{Phase, STOPPING, stopping_failure},
    transaction::Transaction,
};

/// Limit on the wait for the login, and again on the wait for the first configuration. Callers give
/// up after 2 s.
const LOGIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval of the check for the first configuration.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Most session variables and most prepared statements of one session. They are held in memory.
pub(crate) const MAX_NAMES: usize = 1_000;

/// The session of one caller.
#[derive(Debug)]
pub struct Session<C, D: Dialect> {
    pub(crate) shared: Rc<Shared<D>>,
    caller: C,
    /// Name of the route that the caller requested.
    route_name: String,
    /// Digest of the caller's key.
    key: Option<KeyDigest>,
    /// Whether the session may move to another entry process that serves the route.
    may_forward: bool,
    variables: Rc<SessionVariables>,
    /// Prepared statements by the name that the caller chose.
    prepared: Map<BString, Rc<PreparedStatement>>,
    /// Position of the last write acknowledged to the caller.
    pub(crate) last_write: Option<Position>,
    pub(crate) transaction: Option<Transaction<D>>,
    /// How the current request was routed, for its log line.
    pub(crate) context: RequestContext,
}

/// A caller's statement that is to be run on a database.
pub(crate) struct PendingStatement<'a> {
    pub(crate) request: &'a Request,
    pub(crate) kind: StatementKind,
    /// Prepared statement and its arguments; `None` for a statement sent as text.
    pub(crate) prepared: Option<(Rc<PreparedStatement>, Option<&'a BStr>)>,
}

impl PendingStatement<'_> {
    pub(crate) fn prepared(&self) -> Option<&Rc<PreparedStatement>> {
        self.prepared.as_ref().map(|(prepared, _)| prepared)
    }

    /// Statement to send to a database that must have reached `min_position`.
    pub(crate) fn statement(&self, min_position: Option<Position>) -> Statement<'_> {
        match &self.prepared {
            None => Statement::Forward {
                id: self.request.id.as_ref(),
                min_position,
                text: self.request.text.as_ref(),
            },
            Some((prepared, arguments)) => Statement::Execute {
                id: self.request.id.as_ref(),
                min_position,
                name: prepared.name.as_ref(),
                arguments: *arguments,
            },
        }
    }
}

/// Event that ends the wait between two requests.
enum Wake {
    /// The caller sent something or disconnected.
    Input,
    /// The session should close.
    Close,
    /// The open transaction exceeded its idle limit.
    IdleTimeout,
}

impl<C: Caller, D: Dialect> Session<C, D>
where
    D::Client: StatementClient,
{
    /// Serves a caller until it disconnects or the process shuts down. A session that no entry process
    /// forwarded here is forwarded to another one if that one serves the route.
    pub async fn serve(mut caller: C, shared: Rc<Shared<D>>, peer: Peer, _guard: SessionGuard<D>) {
        let Ok(Some(login)) = timeout(LOGIN_TIMEOUT, caller.login()).await else {
            return;
        };
        let start = Instant::now();
        let ready =
            |network: &Network<D>| network.config_version() > 0 && network.is_assignment_known();
        while !ready(&shared.network) && start.elapsed() < LOGIN_TIMEOUT {
            compio::time::sleep(CONFIG_POLL_INTERVAL).await;
        }
        if !shared.network.is_assignment_known() {
            let failure = Failure::new(Code::Busy, "it is not known which host serves");
            let _left = caller.refuse(&failure).await;
            return;
        }
        let Some(route) = shared.network.find_route(&login.route) else {
            let failure = if shared.network.config_version() == 0 {
                Failure::new(Code::Busy, "there is no configuration yet")
            } else {
                Failure::new(Code::NoRoute, login.route.as_str())
            };
            let _left = caller.refuse(&failure).await;
            return;
        };
        let (key, now) = (login.key.as_ref(), base::clock::now());
        if let Err(cause) = shared.network.identify(Some(&route), key, now) {
            let _left = caller.refuse(&cause.into()).await;
            return;
        }
        if caller.accept().await.is_err() {
            return;
        }
        let may_forward = peer == Peer::Caller;
        if may_forward {
            caller = match ForwardedSession::open(caller, &shared, &route, login.key).await {
                Ok(session) => return session.run().await,
                Err(caller) => caller,
            };
        }
        let session = Self {
            shared,
            caller,
            route_name: login.route,
            key: login.key,
            may_forward,
            variables: Rc::default(),
            prepared: Map::default(),
            last_write: None,
            transaction: None,
            context: RequestContext::default(),
        };
        session.run().await;
    }

    async fn run(mut self) {
        loop {
            match self.wait().await {
                Wake::Input => {}
                Wake::IdleTimeout => {
                    if let Some(transaction) = &mut self.transaction {
                        transaction.abort("it was idle for too long");
                    }
                    continue;
                }
                Wake::Close => break,
            }
            let next = self.caller.next();
            let next = self.shared.until_phase(Phase::AbortingTransactions, next);
            let Some(input) = next.await else { break };
            let Input::Request(request) = input else {
                return self.leave();
            };
            let start = Instant::now();
            let reply = self.handle(&request, start).await;
            self.record_outcome(&request, &reply, start);
            if self.caller.reply(&reply).await.is_err() {
                return self.leave();
            }
        }
        if self.shared.refuses_requests() {
            self.refuse_received().await;
        }
        self.leave();
    }

    /// Rolls back the transaction of a caller that left.
    fn leave(&mut self) {
        if let Some(mut transaction) = self.transaction.take() {
            transaction.abort("its caller left");
        }
    }

    /// Refuses the requests that were received and that the shutdown lets no more run.
    async fn refuse_received(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            transaction.abort(STOPPING);
        }
        // Nothing more is read: a request that arrives while the session closes would get no answer.
        while let Some(Input::Request(request)) = self.caller.next_buffered() {
            let start = Instant::now();
            self.context = RequestContext {
                route: self.route_name.clone(),
                ..RequestContext::default()
            };
            let reply = if self.transaction.is_some() {
                self.handle_in_failed_transaction(&request)
            } else {
                Reply::failed(stopping_failure(), TransactionState::Idle)
            };
            self.record_outcome(&request, &reply, start);
            if self.caller.reply(&reply).await.is_err() {
                return;
            }
        }
    }

    /// Waits for input, for the session to close, or for the idle limit of a transaction.
    async fn wait(&self) -> Wake {
        if self.shared.refuses_requests() {
            // Without this check, a caller that sends requests without a pause would keep the
            // session open.
            return Wake::Close;
        }
        let input = pin!(self.caller.readable());
        let in_transaction = self.transaction.as_ref().is_some_and(Transaction::is_open);
        let close = self
            .shared
            .wait_to_close(in_transaction, self.wait_until_moved());
        let close = pin!(close);
        let idle = async {
            match self.transaction.as_ref().and_then(Transaction::idle_limit) {
                Some(limit) => compio::time::sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        let idle = pin!(idle);
        match select(input, select(close, idle)).await {
            Either::Left(_) => Wake::Input,
            Either::Right((Either::Left(_), _)) => Wake::Close,
            Either::Right((Either::Right(_), _)) => Wake::IdleTimeout,
        }
    }

    /// Waits until another entry process serves the route.
    async fn wait_until_moved(&self) {
        let network = &self.shared.network;
        loop {
            let reassigned = network.reassigned();
            let route = network.find_route(&self.route_name);
            if self.may_forward
                && let Some(route) = route
                && let Some(service) = network.find_service(&route.service)
            {
                let organisation = network
                    .identify(Some(&route), self.key.as_ref(), base::clock::now())
                    .ok()
                    .flatten();
                let owner = organisation.as_ref().map(|known| known.name.as_str());
                if network.forward_target(&service, owner).is_some() {
                    return;
                }
            }
            reassigned.await;
        }
    }

    /// State that a statement needs on its connection.
    pub(crate) fn session_state(
        &self,
        prepared: Option<&Rc<PreparedStatement>>,
        in_transaction: bool,
    ) -> Rc<SessionState> {
        Rc::new(SessionState {
            in_transaction,
            variables: Rc::clone(&self.variables),
            prepared: prepared.cloned(),
        })
    }

    fn state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(transaction) if transaction.is_failed() => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }

    async fn handle(&mut self, request: &Request, start: Instant) -> Reply {
        self.context = RequestContext {
            config: self.shared.network.config_version(),
            ..RequestContext::default()
        };
        if self
            .transaction
            .as_ref()
            .is_some_and(Transaction::is_failed)
        {
            return self.handle_in_failed_transaction(request);
        }
        match &request.command {
            Command::Set { name, value } => {
                if self.variables.len() >= MAX_NAMES {
                    return self.malformed("too many values are set");
                }
                if !self.caller.keep(name.len() + value.len()) {
                    return self.fail(too_much_kept());
                }
                let variables = Rc::make_mut(&mut self.variables);
                if let Some(old) = variables.insert(name.clone(), value.clone()) {
                    self.caller.forget(name.len() + old.len());
                }
                Reply::done(self.state())
            }
            Command::Prepare {
                name,
                kind,
                template,
            } => {
                if self.prepared.len() >= MAX_NAMES {
                    return self.malformed("too many names are prepared");
                }
                if !self.caller.keep(name.len() + template.len()) {
                    return self.fail(too_much_kept());
                }
                let prepared = Rc::new(PreparedStatement::new(*kind, template.clone()));
                if let Some(old) = self.prepared.insert(name.clone(), prepared) {
                    self.caller.forget(name.len() + old.template.len());
                }
                Reply::done(self.state())
            }
            Command::Deallocate { name } => {
                if let Some(old) = self.prepared.remove(name) {
                    self.caller.forget(name.len() + old.template.len());
                }
                Reply::done(self.state())
            }
            Command::Malformed => self.malformed("the text is no statement"),
            Command::Begin { .. } if self.transaction.is_some() => {
                self.malformed("a transaction is open already")
            }
            Command::Begin { read_only } => match self.resolve_route() {
                Ok(target) => {
                    self.transaction = Some(Transaction::new(target, *read_only));
                    Reply::done(TransactionState::Open)
                }
                Err(failure) => Reply::failed(failure, TransactionState::Idle),
            },
            Command::Commit => self.commit(request, start).await,
            Command::Rollback => {
                if let Some(mut transaction) = self.transaction.take() {
                    transaction.roll_back();
                }
                Reply::done(TransactionState::Idle)
            }
            Command::Run(kind) => {
                let pending = PendingStatement {
                    request,
                    kind: *kind,
                    prepared: None,
                };
                self.run_statement(pending, start).await
            }
            Command::Execute { name, arguments } => {
                let Some(prepared) = self.prepared.get(name).cloned() else {
                    let failure = Failure::new(Code::UnknownStatement, name.clone());
                    return self.fail(failure);
                };
                let pending = PendingStatement {
                    request,
                    kind: prepared.kind,
                    prepared: Some((prepared, arguments.as_ref().map(AsRef::as_ref))),
                };
                self.run_statement(pending, start).await
            }
        }
    }

    async fn run_statement(&mut self, pending: PendingStatement<'_>, start: Instant) -> Reply {
        if self.transaction.is_some() {
            return self.run_in_transaction(&pending, start).await;
        }
        match self.resolve_route() {
            Ok(target) => self.run_single(&target, &pending, start).await,
            Err(failure) => Reply::failed(failure, TransactionState::Idle),
        }
    }

    /// Resolves the route to its service and group in the configuration in force.
    fn resolve_route(&mut self) -> Result<ResolvedRoute<D>, Failure> {
        let network = &self.shared.network;
        self.context.route.clone_from(&self.route_name);
        let unknown = || Failure::new(Code::NoRoute, self.route_name.as_str());
        let route = network.find_route(&self.route_name).ok_or_else(unknown)?;
        let service = network.find_service(&route.service).ok_or_else(unknown)?;
        let organisation = network.identify(Some(&route), self.key.as_ref(), base::clock::now())?;
        let group = network.use_group(&service, Instant::now());
        if let Some(record) = group.current() {
            self.context.term = record.term;
            self.context.record = record.version;
        }
        let target = ResolvedRoute {
            route,
            service,
            group,
            shared: Rc::clone(&self.shared),
            organisation,
            key: self.key,
        };
        target
            .owner()
            .unwrap_or_default()
            .clone_into(&mut self.context.organisation);
        Ok(target)
    }

    /// Handles a request while the transaction is failed.
    fn handle_in_failed_transaction(&mut self, request: &Request) -> Reply {
        let cause = self
            .transaction
            .as_mut()
            .and_then(Transaction::take_abort_cause);
        let reply = reply_in_failed_transaction(&request.command, cause);
        if reply.state == TransactionState::Idle {
            self.transaction = None;
        }
        reply
    }

    fn malformed(&mut self, cause: &str) -> Reply {
        self.fail(Failure::new(Code::Malformed, cause))
    }

    /// Fails a request, and the transaction if there is one.
    pub(crate) fn fail(&mut self, failure: Failure) -> Reply {
        if let Some(transaction) = &mut self.transaction {
            transaction.fail();
        }
        Reply::failed(failure, self.state())
    }

    /// Counts a request, and logs it if it failed or exceeded the route's latency objective.
    fn record_outcome(&self, request: &Request, reply: &Reply, start: Instant) {
        let now = Instant::now();
        let took = now.saturating_duration_since(start);
        let outcome = match &reply.outcome {
            Ok(_) => "done",
            Err(failure) => outcome_label(&failure.code),
        };
        self.shared.requests.with_label_values(&[outcome]).inc();
        self.shared.request_seconds.observe(took.as_secs_f64());
        let objective = self
            .shared
            .network
            .find_route(&self.route_name)
            .map(|route| Duration::from_millis(route.objective_ms));
        let missed_objective = objective.is_some_and(|objective| took > objective);
        match &reply.outcome {
            Err(failure) => {
                let request_log = &self.shared.request_log;
                request_log.request_ended(
                    request,
                    outcome,
                    &failure.message.to_string(),
                    &self.context,
                    start,
                    now,
                );
            }
            Ok(_) if missed_objective => {
                let request_log = &self.shared.request_log;
                request_log.request_ended(request, "late", "", &self.context, start, now);
            }
            Ok(_) => {}
        }
    }
}

/// Failure of a request to keep more than there is memory for.
pub(crate) fn too_much_kept() -> Failure {
    let cause = "no memory for further values of sessions; set fewer or smaller ones";
    Failure::new(Code::Busy, cause)
}

/// Reply to a request while the transaction is failed, when only its end is valid. `unreported` is
/// the cause of the failure if the caller was not told yet.
pub(crate) fn reply_in_failed_transaction(command: &Command, unreported: Option<String>) -> Reply {
    match (command, unreported) {
        (Command::Rollback, _) => Reply::done(TransactionState::Idle),
        (Command::Commit, unreported) => {
            let cause = unreported.unwrap_or_else(|| "the transaction failed before".to_owned());
            Reply::failed(Failure::new(Code::Aborted, cause), TransactionState::Idle)
        }
        (_, Some(cause)) => {
            Reply::failed(Failure::new(Code::Aborted, cause), TransactionState::Failed)
        }
        (_, None) => {
            let failure = Failure::new(Code::Malformed, "the transaction failed; end it");
            Reply::failed(failure, TransactionState::Failed)
        }
    }
}

/// Label of an error code in metrics and logs.
pub(crate) const fn outcome_label(code: &Code) -> &'static str {
    match code {
        Code::Busy => "busy",
        Code::Aborted => "aborted",
        Code::Lagging => "lagging",
        Code::ReadOnly => "read_only",
        Code::Misdirected => "misdirected",
        Code::TooManyConnections => "connections",
        Code::UnknownStatement => "unknown_shape",
        Code::Failed => "failed",
        Code::Timeout => "timeout",
        Code::InDoubt => "in_doubt",
        Code::Malformed => "malformed",
        Code::NoRoute => "no_route",
        Code::UnknownKey => "unknown_key",
        Code::Other(_) => "other",
    }
}
