//! State shared by all sessions of a process.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use base::{
    Map, MemberName, Position, Term,
    document::{Route, Service},
    organisation::{KeyDigest, Organisation},
};
use entry::{dialect::Dialect, group::Group, member::Member, network::Network};
use event_listener::Event;
use identity::Refused;
use order::Terms;
use place::{Candidate, queue_time};
use prometheus::{Histogram, HistogramOpts, IntCounterVec, Opts};
use rand::RngExt as _;
use route::load::MemberLoad;

use crate::{
    places::Places,
    request_log::RequestLog,
    statement::StatementClient,
    stop::{Phase, STOPPING},
};

/// Mean pause before a statement that a busy database rejected is retried: about the duration of
/// one statement. Jitter scales it by 0.5 to 1.5.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// State shared by all sessions of a process.
#[derive(Debug)]
pub struct Shared<D: Dialect> {
    /// Services, members and connections.
    pub network: Rc<Network<D>>,
    /// Log of failed and late requests.
    pub request_log: RequestLog,
    /// Counter of requests by outcome.
    pub requests: IntCounterVec,
    /// Histogram of request latencies.
    pub request_seconds: Histogram,
    /// Counter of setups of connections by kind.
    pub(crate) setups: IntCounterVec,
    /// Location of this process.
    location: route::Location,
    /// Placement of reads.
    pub(crate) places: Places,
    /// Load that this process puts on each member.
    loads: RefCell<Map<MemberName, MemberLoad>>,
    /// Number of open sessions.
    sessions: Cell<usize>,
    pub(crate) phase: Cell<Phase>,
    pub(crate) phase_changed: Event,
}

/// A route with its service and group, resolved from the configuration in force.
#[derive(Debug)]
pub(crate) struct ResolvedRoute<D: Dialect> {
    pub(crate) route: Rc<Route>,
    pub(crate) service: Rc<Service>,
    pub(crate) group: Rc<Group>,
    pub(crate) shared: Rc<Shared<D>>,
    /// Organisation of the caller; `None` where callers need no key.
    pub(crate) organisation: Option<Rc<Organisation>>,
    /// Digest of the caller's key.
    pub(crate) key: Option<KeyDigest>,
}

impl<D: Dialect> ResolvedRoute<D> {
    /// Name of the caller's organisation; `None` where callers need no key.
    pub(crate) fn owner(&self) -> Option<&str> {
        self.organisation.as_ref().map(|known| known.name.as_str())
    }

    /// Terms of a request of an operation that started at `start`.
    pub(crate) fn terms(&self, start: Instant, deadline: Instant) -> Terms {
        let objective = Duration::from_millis(self.route.objective_ms);
        let organisation = self.organisation.as_ref();
        Terms {
            owner: self.owner().map(Rc::from),
            priority: self.route.priority + organisation.map_or(0, |known| known.priority),
            objective: Some((start + objective, objective)),
            deadline,
        }
    }

    /// Checks that the caller's key still belongs to its organisation. It may have been taken away
    /// while the operation waited.
    pub(crate) fn confirm_owner(&self) -> Result<(), Refused> {
        let (network, now) = (&self.shared.network, base::clock::now());
        network.confirm_owner(Some(&self.route), self.key.as_ref(), self.owner(), now)
    }
}

/// Counts a session as open until the guard is dropped.
#[derive(Debug)]
pub struct SessionGuard<D: Dialect>(Rc<Shared<D>>);

impl<D: Dialect> Drop for SessionGuard<D> {
    fn drop(&mut self) {
        self.0.sessions.set(self.0.sessions.get() - 1);
    }
}

impl<D: Dialect> Shared<D>
where
    D::Client: StatementClient,
{
    /// Creates the shared state and registers its metrics.
    ///
    /// # Panics
    /// Never: the names of the metrics are valid and distinct.
    #[must_use]
    pub fn new(network: Rc<Network<D>>) -> Rc<Self> {
        let opts = Opts::new("goldcrestrail_requests_total", "Requests by outcome.");
        let requests = IntCounterVec::new(opts, &["outcome"]).expect("the name is valid");
        let opts = HistogramOpts::new("goldcrestrail_request_seconds", "Time to answer a request.");
        let request_seconds = Histogram::with_opts(opts).expect("the name is valid");
        let opts = Opts::new(
            "goldcrestrail_setups_total",
            "Setups of connections for a session, by kind: a statement waited for it (awaited), it was \
             sent behind the statement before (early), or the connection was closed (failed).",
        );
        let setups = IntCounterVec::new(opts, &["kind"]).expect("the name is valid");
        let registry = &network.metrics.registry;
        let registered = registry
            .register(Box::new(requests.clone()))
            .and_then(|()| registry.register(Box::new(request_seconds.clone())))
            .and_then(|()| registry.register(Box::new(setups.clone())));
        registered.expect("the names are distinct");
        Rc::new(Self {
            request_log: RequestLog::new(network.log.clone()),
            location: network.place(),
            places: Places::new(registry, network.log.clone()),
            network,
            requests,
            request_seconds,
            setups,
            loads: RefCell::default(),
            sessions: Cell::new(0),
            phase: Cell::new(Phase::Serving),
            phase_changed: Event::new(),
        })
    }

    /// Registers a session until the returned guard is dropped.
    pub fn register_session(self: &Rc<Self>) -> SessionGuard<D> {
        self.sessions.set(self.sessions.get() + 1);
        SessionGuard(Rc::clone(self))
    }

    /// Number of open sessions.
    #[must_use]
    pub const fn session_count(&self) -> usize {
        self.sessions.get()
    }

    /// Expected latency of a statement sent to a member now.
    pub(crate) fn expected_latency(
        &self,
        member: &Member<D>,
        slots: u32,
        now: Instant,
    ) -> Duration {
        let proximity = self.location.proximity(&member.place);
        let load = self.load(&member.name);
        load.expected_response_time(proximity, slots, now)
    }

    /// Member that serves a read on this route, and whether it may lag; `None` if there are none.
    /// `rated` holds the members that could, each with whether it may lag.
    pub(crate) fn choose_member(
        &self,
        target: &ResolvedRoute<D>,
        rated: Vec<(bool, Rc<Member<D>>)>,
        now: Instant,
    ) -> Option<(bool, Rc<Member<D>>)> {
        let slots = target.service.slots;
        let expected = |member: &Member<D>| self.expected_latency(member, slots, now);
        let Some(prices) = &self.network.settings.place else {
            let rated = rated.into_iter();
            return rated.min_by_key(|(lags, member)| (*lags, expected(member)));
        };
        let candidates: Vec<_> = rated
            .iter()
            .map(|(lags, member)| Candidate {
                name: &member.name,
                proximity: self.location.proximity(&member.place),
                expected: expected(member) + self.queue_time(member, slots, now),
                measured: self.load(&member.name).is_recent(now),
                lags: *lags,
            })
            .collect();
        let (group, draw) = (&target.group.name, rand::rng().random());
        let chosen = self.places.choose(group, &candidates, prices, now, draw);
        chosen.and_then(|index| rated.into_iter().nth(index))
    }

    /// Expected time until a connection to a member is free.
    fn queue_time(&self, member: &Member<D>, slots: u32, now: Instant) -> Duration {
        let waiting = member.pool.waiting();
        if waiting == 0 {
            return Duration::ZERO;
        }
        let running = self.load(&member.name).running();
        queue_time(self.expected_latency(member, slots, now), waiting, running)
    }

    /// Counts a read that got a connection to a member.
    pub(crate) fn count_read(&self, member: &str) {
        if let Some(member) = self.network.member(member) {
            self.places.count(self.location.proximity(&member.place));
        }
    }

    fn load(&self, member: &str) -> MemberLoad {
        let loads = self.loads.borrow();
        loads.get(member).copied().unwrap_or_default()
    }

    pub(crate) fn update_load(&self, member: &str, change: impl FnOnce(&mut MemberLoad)) {
        let mut loads = self.loads.borrow_mut();
        if let Some(load) = loads.get_mut(member) {
            change(load);
        } else {
            let mut load = MemberLoad::default();
            change(&mut load);
            loads.insert(member.to_owned(), load);
        }
    }

    /// Waits for a jittered pause before a retry, at most until the deadline or until the shutdown
    /// refuses requests.
    pub(crate) async fn pause_before_retry(&self, deadline: Instant) {
        let jitter = rand::rng().random_range(0.5..1.5);
        let until = Instant::now() + RETRY_PAUSE.mul_f64(jitter);
        let pause = compio::time::sleep_until(until.min(deadline));
        let _refused = self.until_phase(Phase::AbortingTransactions, pause).await;
    }
}

/// Cause reported for a statement that got no response before its deadline.
pub(crate) const DEADLINE_PASSED: &str = "no answer before the deadline";

impl<D: Dialect> ResolvedRoute<D>
where
    D::Client: StatementClient,
{
    /// Records the position that the primary returned for a statement sent at `sent` by
    /// [`base::clock`]. Call it only after [`Self::confirm_term`] has confirmed the term.
    pub(crate) fn record_position(&self, sent: Instant, position: Option<Position>) {
        if let Some(position) = position {
            self.group.samples.borrow_mut().add(sent, position);
        }
    }

    /// Waits until it is certain that `term` was in force, so that responses of its primary may be
    /// returned to callers.
    pub(crate) async fn confirm_term(&self, term: Term, deadline: Instant) -> Result<(), String> {
        let network = &self.shared.network;
        let verify = network.verify_term(&self.group, term, deadline);
        let confirmed = self.shared.until_phase(Phase::Ending, verify).await;
        let confirmed = confirmed.ok_or_else(|| STOPPING.to_owned())?;
        confirmed.map_err(|refusal| refusal.to_string())
    }
}
