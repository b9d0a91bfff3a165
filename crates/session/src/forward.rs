//! A session that another entry process answers.
//!
//! In a deployment with more entry processes than connections to a database, only some of them hold
//! any. The others pass each request on, one at a time, and answer in place of the process that
//! serves the group when it is lost.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Map, document::Route};
use compio::time::sleep;
use entry::{dialect::Dialect, near::NearEntry};
use futures_util::future::{Either, select};
use slog::{info, warn};

use crate::{
    caller::{Caller, Input},
    command::{Command, Request, Verb},
    events::Inputs,
    session::{NAMES_MAX, in_failed, label},
    shared::{Phase, Shared},
    single::passed,
    statement::{Answer, Code, Failure, Reply, State, Statement, Statements},
};

/// The other process is asked whether it lives when it answered nobody for this long, so that callers
/// of a lost one have an answer well within their objective.
const QUIET: Duration = Duration::from_millis(250);
/// Time beyond a route's deadline that the answer of the other process gets: it counts the deadline
/// from the arrival of the request, a moment later.
const MARGIN: Duration = Duration::from_millis(250);
/// Pause between two questions to a process that does not answer.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// Route that does not exist: asking for it shows whether a process answers.
const NO_ROUTE: &str = "-";

/// The session of one caller, answered by another process.
#[derive(Debug)]
pub(crate) struct Forwarded<C, D: Dialect> {
    shared: Rc<Shared<D>>,
    caller: C,
    name: String,
    near: Rc<NearEntry>,
    /// Connection to the other process; `None` once it is lost.
    client: Option<D::Client>,
    state: State,
    /// What the named shapes do.
    verbs: Map<String, Verb>,
}

/// What is known about a request whose answer did not come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unanswered {
    /// Nothing of it is kept.
    NotKept,
    /// It may have run, and changes nothing.
    Read,
    /// It may be in force.
    Unknown,
}

/// Judges a request that another process was sent and did not answer. `verb` is what a statement
/// does, if that is known.
///
/// ```
/// use session::{Command, Verb, forward::{Unanswered, unanswered}, statement::State};
///
/// let read = Command::Run(Verb::Read);
/// assert_eq!(unanswered(&read, Some(Verb::Read), State::Idle), Unanswered::Read);
/// assert_eq!(unanswered(&Command::Commit, None, State::Open), Unanswered::Unknown);
/// ```
#[must_use]
pub const fn unanswered(command: &Command, verb: Option<Verb>, state: State) -> Unanswered {
    match (command, state) {
        (Command::Commit, State::Open) => Unanswered::Unknown,
        (Command::Run(_) | Command::Execute { .. }, State::Idle) => match verb {
            Some(Verb::Read) => Unanswered::Read,
            Some(Verb::Write) | None => Unanswered::Unknown,
        },
        // The other process ends the transaction of a session that is gone.
        _ => Unanswered::NotKept,
    }
}

impl<C: Caller, D: Dialect> Forwarded<C, D>
where
    D::Client: Statements,
{
    /// Connects to the process that serves a route, and passes over those that don't answer. Gives
    /// the caller back when this process has to serve it.
    pub(crate) async fn open(
        caller: C,
        shared: &Rc<Shared<D>>,
        route: &Rc<Route>,
    ) -> Result<Self, C> {
        let network = &shared.network;
        while let Some(service) = network.find_service(&route.service)
            && let Some(near) = network.forward_target(&service)
        {
            match network.forward(&near, &route.name).await {
                Ok(client) => {
                    near.record_answer(Instant::now());
                    return Ok(Self {
                        shared: Rc::clone(shared),
                        caller,
                        name: route.name.clone(),
                        near,
                        client: Some(client),
                        state: State::Idle,
                        verbs: Map::default(),
                    });
                }
                Err(None) => lose(shared, &near),
                Err(Some(cause)) => {
                    // It may not have the configuration of this process yet.
                    warn!(network.log, "near entry process refuses a session";
                        "near" => &near.name, "route" => &route.name, "cause" => ?cause);
                    break;
                }
            }
        }
        Err(caller)
    }

    /// Answers the caller until it leaves, the process stops, or the other process is lost.
    pub(crate) async fn run(mut self) {
        while self.client.is_some() || self.state != State::Idle {
            if !self.wake().await {
                return;
            }
            let Input::Request(request) = self.caller.next().await else {
                return;
            };
            let start = Instant::now();
            let reply = self.answer(&request, start).await;
            self.state = reply.state;
            if self.caller.reply(&reply).await.is_err() {
                return;
            }
        }
    }

    /// Waits for a request; false when the session is to end.
    async fn wake(&self) -> bool {
        if self.shared.phase() >= Phase::Ending {
            // A caller that never rests would have its last request cut off.
            return false;
        }
        let input = pin!(self.caller.readable());
        let leaving = pin!(
            self.shared
                .leave(self.state != State::Idle, self.near.wait_unavailable())
        );
        let closed = pin!(async {
            match &self.client {
                Some(client) if self.state == State::Idle => client.readable().await,
                _ => std::future::pending().await,
            }
        });
        let ending = select(leaving, closed);
        matches!(select(input, ending).await, Either::Left(_))
    }

    async fn answer(&mut self, request: &Request, start: Instant) -> Reply {
        let Some(route) = self.shared.network.find_route(&self.name) else {
            if self.state == State::Idle {
                let failure = Failure::new(Code::NoRoute, self.name.as_str());
                return Reply::failed(failure, State::Idle);
            }
            return self.pass_on(request, start, Duration::ZERO).await;
        };
        let limit = Duration::from_millis(route.deadline_ms);
        self.pass_on(request, start, limit).await
    }

    async fn pass_on(&mut self, request: &Request, start: Instant, limit: Duration) -> Reply {
        let Some(client) = &mut self.client else {
            return in_failed(&request.command, None);
        };
        let deadline = start + limit + MARGIN;
        match exchange(client, &self.shared, &self.near, request, deadline).await {
            Ok(answer) => {
                self.learn(request, &answer);
                self.shared.requests.with_label_values(&["forwarded"]).inc();
                let state = answer.state;
                passed(answer, state)
            }
            Err(cause) => {
                self.client = None;
                self.give_up(request, &cause, start)
            }
        }
    }

    /// Notes what a named shape does.
    fn learn(&mut self, request: &Request, answer: &Answer) {
        if let Command::Prepare { name, verb, .. } = &request.command
            && answer.outcome.is_ok()
            && self.verbs.len() < NAMES_MAX
        {
            self.verbs.insert(name.clone(), *verb);
        }
    }

    /// Final answer to a request that the other process did not answer.
    fn give_up(&self, request: &Request, cause: &str, start: Instant) -> Reply {
        let verb = match &request.command {
            Command::Run(verb) => Some(*verb),
            Command::Execute { name, .. } => self.verbs.get(name).copied(),
            _ => None,
        };
        let text = format!("{} has no answer: {cause}", self.near.name);
        let (code, state) = match unanswered(&request.command, verb, self.state) {
            Unanswered::NotKept if self.state == State::Idle => (Code::Busy, State::Idle),
            Unanswered::NotKept => (Code::Aborted, State::Failed),
            Unanswered::Read => (Code::Failed, State::Idle),
            Unanswered::Unknown => (Code::InDoubt, State::Idle),
        };
        let outcome = label(&code);
        self.shared.requests.with_label_values(&[outcome]).inc();
        let inputs = Inputs {
            route: self.name.clone(),
            member: self.near.name.clone(),
            config: self.shared.network.config_version(),
            attempts: 1,
            ..Inputs::default()
        };
        let now = Instant::now();
        let events = &self.shared.events;
        events.ended(request, outcome, &text, &inputs, start, now);
        Reply::failed(Failure::new(code, text), state)
    }
}

/// Sends a request and waits for its answer, for as long as the other process shows that it lives.
async fn exchange<D: Dialect>(
    client: &mut D::Client,
    shared: &Rc<Shared<D>>,
    near: &Rc<NearEntry>,
    request: &Request,
    deadline: Instant,
) -> Result<Answer, String>
where
    D::Client: Statements,
{
    let statement = [Statement::Forward {
        id: &request.id,
        after: None,
        text: &request.text,
    }];
    let mut answers = pin!(client.exchange(&statement));
    loop {
        let now = Instant::now();
        if now >= deadline {
            return Err("none before the deadline".to_owned());
        }
        let wait = QUIET.min(deadline.saturating_duration_since(now));
        let living = pin!(async {
            sleep(wait).await;
            near.answered_within(QUIET, Instant::now()) || lives(shared, near).await
        });
        match select(answers.as_mut(), living).await {
            Either::Left((Ok(mut answers), _)) => {
                near.record_answer(Instant::now());
                return answers.pop().ok_or_else(|| "no answer".to_owned());
            }
            Either::Left((Err(broken), _)) => return Err(broken.0),
            Either::Right((true, _)) => {}
            Either::Right((false, _)) => return Err("the process is lost".to_owned()),
        }
    }
}

/// Whether a process answers at all.
async fn lives<D: Dialect>(shared: &Rc<Shared<D>>, near: &Rc<NearEntry>) -> bool
where
    D::Client: Statements,
{
    if near.is_unavailable() {
        return false;
    }
    if let Err(None) = shared.network.forward(near, NO_ROUTE).await {
        lose(shared, near);
        return false;
    }
    near.record_answer(Instant::now());
    true
}

/// Notes that a process does not answer, and asks it from time to time until it does, so that no
/// caller has to wait for it.
fn lose<D: Dialect>(shared: &Rc<Shared<D>>, near: &Rc<NearEntry>)
where
    D::Client: Statements,
{
    if !near.mark_unresponsive() {
        return;
    }
    warn!(shared.network.log, "near entry process does not answer"; "near" => &near.name);
    let (shared, near) = (Rc::clone(shared), Rc::clone(near));
    compio::runtime::spawn(async move {
        while !near.is_unlisted() {
            sleep(ASK_AGAIN).await;
            if !matches!(shared.network.forward(&near, NO_ROUTE).await, Err(None)) {
                near.record_answer(Instant::now());
                info!(shared.network.log, "near entry process answers again"; "near" => &near.name);
                return;
            }
        }
    })
    .detach();
}
