//! What all sessions of a process share.

use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Map, MemberName, Position, Term, document::Route, document::Service};
use entry::{dialect::Dialect, group::Group, member::Member, network::Network, pool::PooledConn};
use event_listener::Event;
use futures_util::future::select;
use prometheus::{Histogram, HistogramOpts, IntCounterVec, Opts};
use rand::RngExt as _;
use route::placing::Load;

use crate::{
    events::Events,
    kept::{Shape, Values},
    statement::{Answer, Broken, Code, Failure, Statement, Statements},
};

/// Pause before a statement that a database had no room for is tried again: about the time of one
/// statement, with jitter from half to one and a half.
const PAUSE: Duration = Duration::from_millis(10);

/// A session whose caller sent nothing for this long may be closed: most callers send their next
/// request well before.
const RESTING: Duration = Duration::from_millis(300);

/// What all sessions of a process share.
#[derive(Debug)]
pub struct Shared<D: Dialect> {
    /// Services, members and connections.
    pub network: Rc<Network<D>>,
    /// Lines about requests.
    pub events: Events,
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Time until a request was answered.
    pub seconds: Histogram,
    /// Where this process runs.
    place: route::Place,
    loads: RefCell<Map<MemberName, Load>>,
    sessions: Cell<usize>,
    phase: Cell<Phase>,
    changed: Event,
}

/// Which sessions are closed between two requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process serves.
    Serving,
    /// The process is cut off: callers are better served by another one, where balancers send them
    /// when they connect again.
    Shedding,
    /// Sessions without a transaction are closed.
    Closing,
    /// Transactions are ended too.
    Ending,
}

/// A service's group with the record in force.
#[derive(Debug)]
pub(crate) struct Place<D: Dialect> {
    pub(crate) route: Rc<Route>,
    pub(crate) service: Rc<Service>,
    pub(crate) group: Rc<Group>,
    pub(crate) shared: Rc<Shared<D>>,
}

/// Counts a session while it lasts.
#[derive(Debug)]
pub struct Counted<D: Dialect>(Rc<Shared<D>>);

impl<D: Dialect> Drop for Counted<D> {
    fn drop(&mut self) {
        self.0.sessions.set(self.0.sessions.get() - 1);
    }
}

impl<D: Dialect> Shared<D>
where
    D::Client: Statements,
{
    /// Starts without sessions.
    ///
    /// # Panics
    /// Never: the names of the metrics are valid and distinct.
    #[must_use]
    pub fn new(network: Rc<Network<D>>) -> Rc<Self> {
        let opts = Opts::new("goldcrestrail_requests_total", "Requests by outcome.");
        let requests = IntCounterVec::new(opts, &["outcome"]).expect("the name is valid");
        let opts = HistogramOpts::new("goldcrestrail_request_seconds", "Time to answer a request.");
        let seconds = Histogram::with_opts(opts).expect("the name is valid");
        let registry = &network.metrics.registry;
        let registered = registry
            .register(Box::new(requests.clone()))
            .and_then(|()| registry.register(Box::new(seconds.clone())));
        registered.expect("the names are distinct");
        Rc::new(Self {
            events: Events::new(network.log.clone()),
            place: network.place(),
            network,
            requests,
            seconds,
            loads: RefCell::default(),
            sessions: Cell::new(0),
            phase: Cell::new(Phase::Serving),
            changed: Event::new(),
        })
    }

    /// Counts a session in.
    pub fn enter(self: &Rc<Self>) -> Counted<D> {
        self.sessions.set(self.sessions.get() + 1);
        Counted(Rc::clone(self))
    }

    /// Sessions that are open.
    #[must_use]
    pub const fn sessions(&self) -> usize {
        self.sessions.get()
    }

    /// Goes on with a planned stop.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.changed.notify(usize::MAX);
    }

    /// How far a planned stop is.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Waits until a planned stop has come to `phase`.
    pub async fn until(&self, phase: Phase) {
        loop {
            let changed = self.changed.listen();
            if self.phase.get() >= phase {
                return;
            }
            changed.await;
        }
    }

    /// Waits until a session between two requests is to end: one in an open transaction late in a
    /// planned stop, another one when the process stops or is cut off, or when `moved` tells that
    /// another process serves it.
    pub(crate) async fn leave(&self, open: bool, moved: impl Future<Output = ()>) {
        if open {
            return self.until(Phase::Ending).await;
        }
        select(pin!(self.until(Phase::Shedding)), pin!(moved)).await;
        // A caller that has just connected or got an answer is about to send a request.
        compio::time::sleep(RESTING).await;
    }

    /// Expected time of a statement that is sent to a member now.
    pub(crate) fn expected(&self, member: &Member<D>, slots: u32, now: Instant) -> Duration {
        let nearness = self.place.nearness(&member.place);
        let loads = self.loads.borrow();
        let load = loads.get(&member.name).copied().unwrap_or_default();
        load.expected(nearness, slots, now)
    }

    /// Brings the connection to the values of the session, and runs one statement on it.
    pub(crate) async fn run(
        &self,
        lease: &mut PooledConn<D>,
        values: &Values,
        shape: Option<&Shape>,
        last: Statement<'_>,
        deadline: Instant,
    ) -> Result<Answer, Broken> {
        let start = Instant::now();
        let name = lease.member().clone();
        self.load(&name, Load::begin);
        let result = exchange(lease, values, shape, last, deadline).await;
        let now = Instant::now();
        let took = now.saturating_duration_since(start);
        self.load(&name, |load| load.end(result.is_ok().then_some(took), now));
        let crowded = |failure: &Failure| failure.code == Code::Busy;
        if let Ok(answer) = &result
            && answer.outcome.as_ref().is_err_and(crowded)
        {
            lease.record_overload(now);
        }
        if let Ok(answer) = &result
            && let Some(member) = self.network.member(&name)
        {
            member.record_response(answer.position, now);
        }
        result
    }

    fn load(&self, member: &str, change: impl FnOnce(&mut Load)) {
        let mut loads = self.loads.borrow_mut();
        if let Some(load) = loads.get_mut(member) {
            change(load);
        } else {
            let mut load = Load::default();
            change(&mut load);
            loads.insert(member.to_owned(), load);
        }
    }

    /// Waits a moment before another attempt.
    pub(crate) async fn pause(&self, deadline: Instant) {
        let jitter = rand::rng().random_range(0.5..1.5);
        let until = Instant::now() + PAUSE.mul_f64(jitter);
        compio::time::sleep_until(until.min(deadline)).await;
    }
}

async fn exchange<D: Dialect>(
    lease: &mut PooledConn<D>,
    values: &Values,
    shape: Option<&Shape>,
    last: Statement<'_>,
    deadline: Instant,
) -> Result<Answer, Broken>
where
    D::Client: Statements,
{
    let client = lease.client();
    let mut batch = client.kept().prelude(values, shape);
    let prelude = batch.len();
    batch.push(last);
    let exchange = compio::time::timeout_at(deadline, client.exchange(&batch)).await;
    let mut answers = exchange.map_err(|_elapsed| Broken(LATE.to_owned()))??;
    let last = answers
        .pop()
        .ok_or_else(|| Broken("no answer".to_owned()))?;
    for (statement, answer) in batch[..prelude].iter().zip(&answers) {
        match &answer.outcome {
            Ok(_) => client.kept().note(statement),
            Err(failure) => {
                let cause = format!("a session value was not taken over: {}", failure.text);
                return Err(Broken(cause));
            }
        }
    }
    Ok(last)
}

/// Cause of a statement that was not answered before its deadline.
pub(crate) const LATE: &str = "no answer before the deadline";

impl<D: Dialect> Place<D>
where
    D::Client: Statements,
{
    /// Notes a position that the primary of `term` answered to a statement sent at `sent`, once the
    /// lease shows that the term was in force then.
    pub(crate) fn sample(&self, sent: Instant, position: Option<Position>) {
        if let Some(position) = position {
            self.group.samples.borrow_mut().add(sent, position);
        }
    }

    /// Waits until it is certain that `term` was in force, for what its primary has answered.
    pub(crate) async fn held(&self, term: Term, deadline: Instant) -> Result<(), String> {
        let held = self
            .shared
            .network
            .verify_term(&self.group, term, deadline)
            .await;
        held.map_err(|refusal| refusal.to_string())
    }
}
