//! The session of one caller.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Map, Position};
use compio::time::timeout;
use entry::{dialect::Dialect, network::Network};
use futures_util::future::{Either, select};

use crate::{
    caller::{Caller, Input},
    command::{Command, Request, Verb},
    events::Inputs,
    forward::Forwarded,
    kept::{Shape, Values},
    shared::{Phase, Place, Shared},
    statement::{Code, Failure, Reply, State, Statement, Statements},
    transaction::Transaction,
};

/// Time that a first message and a configuration may take: callers give up after 2 s.
const LOGIN: Duration = Duration::from_millis(1_500);
/// Pause between looks for the first configuration.
const LOOK: Duration = Duration::from_millis(20);
/// Most named shapes and values of one session, which are held in memory.
pub(crate) const NAMES_MAX: usize = 1_000;

/// The session of one caller.
#[derive(Debug)]
pub struct Session<C, D: Dialect> {
    pub(crate) shared: Rc<Shared<D>>,
    caller: C,
    /// Route that the caller asked for.
    name: String,
    /// Whether another entry process is to answer when it serves the route.
    forwards: bool,
    pub(crate) values: Values,
    shapes: Map<String, Rc<Shape>>,
    /// Position of the last write that was acknowledged to the caller.
    pub(crate) token: Option<Position>,
    pub(crate) transaction: Option<Transaction<D>>,
    /// What decided about the request that is answered.
    pub(crate) inputs: Inputs,
}

/// A statement of a caller that is sent to a database.
pub(crate) struct Work<'a> {
    pub(crate) request: &'a Request,
    pub(crate) verb: Verb,
    /// Shape and rest of the text, for a named shape.
    pub(crate) shape: Option<(Rc<Shape>, &'a str)>,
}

impl Work<'_> {
    pub(crate) fn shape(&self) -> Option<&Shape> {
        self.shape.as_ref().map(|(shape, _)| &**shape)
    }

    /// Statement for a database that holds `after`.
    pub(crate) fn statement(&self, after: Option<Position>) -> Statement<'_> {
        match &self.shape {
            None => Statement::Forward {
                id: &self.request.id,
                after,
                text: &self.request.text,
            },
            Some((shape, arguments)) => Statement::Execute {
                id: &self.request.id,
                after,
                name: &shape.name,
                arguments,
            },
        }
    }
}

/// What a session waits for between two requests.
enum Wake {
    Input,
    Stop,
    Idle,
}

impl<C: Caller, D: Dialect> Session<C, D>
where
    D::Client: Statements,
{
    /// Answers a caller until it leaves or the process stops. With `forwards`, another entry process
    /// answers in its place when that one serves the route.
    pub async fn serve(mut caller: C, shared: Rc<Shared<D>>, forwards: bool) {
        let _counted = shared.enter();
        let Ok(Some(login)) = timeout(LOGIN, caller.login()).await else {
            return;
        };
        let start = Instant::now();
        let ready =
            |network: &Network<D>| network.config_version() > 0 && network.is_assignment_known();
        while !ready(&shared.network) && start.elapsed() < LOGIN {
            compio::time::sleep(LOOK).await;
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
        if caller.accept().await.is_err() {
            return;
        }
        if forwards {
            caller = match Forwarded::open(caller, &shared, &route).await {
                Ok(session) => return session.run().await,
                Err(caller) => caller,
            };
        }
        let session = Self {
            shared,
            caller,
            name: login.route,
            forwards,
            values: Values::new(),
            shapes: Map::default(),
            token: None,
            transaction: None,
            inputs: Inputs::default(),
        };
        session.run().await;
    }

    async fn run(mut self) {
        loop {
            match self.wake().await {
                Wake::Input => {}
                Wake::Idle => {
                    if let Some(transaction) = &mut self.transaction {
                        transaction.abort("it was idle for too long");
                    }
                    continue;
                }
                Wake::Stop => break,
            }
            let Input::Request(request) = self.caller.next().await else {
                break;
            };
            let start = Instant::now();
            let reply = self.answer(&request, start).await;
            self.note(&request, &reply, start);
            if self.caller.reply(&reply).await.is_err() {
                break;
            }
        }
        if let Some(mut transaction) = self.transaction.take() {
            transaction.abort("its caller left");
        }
    }

    /// Waits for the caller, the end of the process, or the end of an idle transaction.
    async fn wake(&self) -> Wake {
        if self.shared.phase() >= Phase::Ending {
            // A caller that never rests would have its last request cut off.
            return Wake::Stop;
        }
        let input = pin!(self.caller.readable());
        let open = self.transaction.as_ref().is_some_and(Transaction::is_open);
        let stop = self.shared.leave(open, self.moved());
        let stop = pin!(stop);
        let idle = async {
            match self.transaction.as_ref().and_then(Transaction::idle) {
                Some(limit) => compio::time::sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        let idle = pin!(idle);
        match select(input, select(stop, idle)).await {
            Either::Left(_) => Wake::Input,
            Either::Right((Either::Left(_), _)) => Wake::Stop,
            Either::Right((Either::Right(_), _)) => Wake::Idle,
        }
    }

    /// Waits until another entry process serves the route.
    async fn moved(&self) {
        let network = &self.shared.network;
        loop {
            let moves = network.reassigned();
            let route = network.find_route(&self.name);
            let service = route.and_then(|route| network.find_service(&route.service));
            if let Some(service) = service
                && self.forwards
                && network.forward_target(&service).is_some()
            {
                return;
            }
            moves.await;
        }
    }

    fn state(&self) -> State {
        match &self.transaction {
            None => State::Idle,
            Some(transaction) if transaction.failed() => State::Failed,
            Some(_) => State::Open,
        }
    }

    async fn answer(&mut self, request: &Request, start: Instant) -> Reply {
        self.inputs = Inputs {
            config: self.shared.network.config_version(),
            ..Inputs::default()
        };
        if self.transaction.as_ref().is_some_and(Transaction::failed) {
            return self.answer_failed(request);
        }
        match &request.command {
            Command::Set { name, value } => {
                if self.values.len() >= NAMES_MAX {
                    return self.malformed("too many values are set");
                }
                self.values.insert(name.clone(), value.clone());
                Reply::done(self.state())
            }
            Command::Prepare { name, verb, shape } => {
                if self.shapes.len() >= NAMES_MAX {
                    return self.malformed("too many names are prepared");
                }
                let shape = Rc::new(Shape::new(*verb, shape.clone()));
                self.shapes.insert(name.clone(), shape);
                Reply::done(self.state())
            }
            Command::Deallocate { name } => {
                self.shapes.remove(name);
                Reply::done(self.state())
            }
            Command::Malformed => self.malformed("the text is no statement"),
            Command::Begin { .. } if self.transaction.is_some() => {
                self.malformed("a transaction is open already")
            }
            Command::Begin { reads } => match self.place() {
                Ok(place) => {
                    self.transaction = Some(Transaction::new(place, &request.id, *reads));
                    Reply::done(State::Open)
                }
                Err(failure) => Reply::failed(failure, State::Idle),
            },
            Command::Commit => self.commit(request, start).await,
            Command::Rollback => {
                if let Some(mut transaction) = self.transaction.take() {
                    transaction.end();
                }
                Reply::done(State::Idle)
            }
            Command::Run(verb) => {
                let work = Work {
                    request,
                    verb: *verb,
                    shape: None,
                };
                self.work(work, start).await
            }
            Command::Execute { name, arguments } => {
                let Some(shape) = self.shapes.get(name).cloned() else {
                    let failure = Failure::new(Code::UnknownShape, name.as_str());
                    return self.fail(failure);
                };
                let work = Work {
                    request,
                    verb: shape.verb,
                    shape: Some((shape, arguments)),
                };
                self.work(work, start).await
            }
        }
    }

    async fn work(&mut self, work: Work<'_>, start: Instant) -> Reply {
        if self.transaction.is_some() {
            return self.within(&work, start).await;
        }
        match self.place() {
            Ok(place) => self.single(&place, &work, start).await,
            Err(failure) => Reply::failed(failure, State::Idle),
        }
    }

    /// Route with its service and group, as the configuration in force has them.
    fn place(&mut self) -> Result<Place<D>, Failure> {
        let network = &self.shared.network;
        self.inputs.route.clone_from(&self.name);
        let unknown = || Failure::new(Code::NoRoute, self.name.as_str());
        let route = network.find_route(&self.name).ok_or_else(unknown)?;
        let service = network.find_service(&route.service).ok_or_else(unknown)?;
        let group = network.use_group(&service, Instant::now());
        if let Some(record) = group.current() {
            self.inputs.term = record.term;
            self.inputs.record = record.version;
        }
        Ok(Place {
            route,
            service,
            group,
            shared: Rc::clone(&self.shared),
        })
    }

    /// Answers a request in a transaction that failed.
    fn answer_failed(&mut self, request: &Request) -> Reply {
        let told = self.transaction.as_mut().and_then(Transaction::tell);
        let reply = in_failed(&request.command, told);
        if reply.state == State::Idle {
            self.transaction = None;
        }
        reply
    }

    fn malformed(&mut self, cause: &str) -> Reply {
        self.fail(Failure::new(Code::Malformed, cause))
    }

    /// Fails a request, and with it the transaction if there is one.
    pub(crate) fn fail(&mut self, failure: Failure) -> Reply {
        if let Some(transaction) = &mut self.transaction {
            transaction.fail();
        }
        Reply::failed(failure, self.state())
    }

    /// Counts a request, and tells about one that failed or was late.
    fn note(&self, request: &Request, reply: &Reply, start: Instant) {
        let now = Instant::now();
        let took = now.saturating_duration_since(start);
        let outcome = match &reply.outcome {
            Ok(_) => "done",
            Err(failure) => label(&failure.code),
        };
        self.shared.requests.with_label_values(&[outcome]).inc();
        self.shared.seconds.observe(took.as_secs_f64());
        let objective = self
            .shared
            .network
            .find_route(&self.name)
            .map(|route| Duration::from_millis(route.objective_ms));
        let late = objective.is_some_and(|objective| took > objective);
        match &reply.outcome {
            Err(failure) => {
                let events = &self.shared.events;
                events.ended(request, outcome, &failure.text, &self.inputs, start, now);
            }
            Ok(_) if late => {
                let events = &self.shared.events;
                events.ended(request, "late", "", &self.inputs, start, now);
            }
            Ok(_) => {}
        }
    }
}

/// Answer in a transaction that failed: only its end makes sense. `told` is why it failed, unless the
/// caller was told before.
pub(crate) fn in_failed(command: &Command, told: Option<String>) -> Reply {
    match (command, told) {
        (Command::Rollback, _) => Reply::done(State::Idle),
        (Command::Commit, told) => {
            let cause = told.unwrap_or_else(|| "the transaction failed before".to_owned());
            Reply::failed(Failure::new(Code::Aborted, cause), State::Idle)
        }
        (_, Some(cause)) => Reply::failed(Failure::new(Code::Aborted, cause), State::Failed),
        (_, None) => {
            let failure = Failure::new(Code::Malformed, "the transaction failed; end it");
            Reply::failed(failure, State::Failed)
        }
    }
}

/// Name of an outcome in metrics and logs.
pub(crate) const fn label(code: &Code) -> &'static str {
    match code {
        Code::Busy => "busy",
        Code::Aborted => "aborted",
        Code::Lagging => "lagging",
        Code::ReadOnly => "read_only",
        Code::Misdirected => "misdirected",
        Code::Connections => "connections",
        Code::UnknownShape => "unknown_shape",
        Code::Failed => "failed",
        Code::Timeout => "timeout",
        Code::InDoubt => "in_doubt",
        Code::Malformed => "malformed",
        Code::NoRoute => "no_route",
        Code::Other(_) => "other",
    }
}
