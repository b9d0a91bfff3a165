//! Connection pool of one member.

mod idle;
mod limits;
mod pooled;
mod state;
mod upkeep;

use std::{
    cell::RefCell,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Map, Set, Term};
use futures_channel::oneshot;
use order::{Queue, QueueError, Terms};
use prometheus::{IntCounter, IntCounterVec, IntGauge};
use rand::RngExt as _;
use route::ConnectionShare;
use serde_json::{Value, json};

use self::{
    idle::{Conn, Criteria, Idle, Need, Owner},
    limits::LearnedLimits,
    state::{HeldConn, Opening, Reservation, State, WaitingRequest, count},
};
pub use self::{limits::Limits, pooled::PooledConn};
use crate::{
    dialect::{Client, Dialect, OWN_USER, OpenError, Upstream},
    metrics::Metrics,
    postgres::Postgres,
};

/// Timeout for opening a connection and for the answer to a health check.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Lent connections are closed this long before their permit expires.
const PERMIT_MARGIN: Duration = Duration::from_millis(200);
/// Wait, with jitter, after a database had no room for a connection. Other processes close idle
/// connections meanwhile.
const OVERLOAD_RETRY: Duration = Duration::from_millis(200);
/// First and longest wait after a failed attempt to connect; it doubles with each failure.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Error of [`Pool::acquire`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolError {
    /// The queue is full, or the expected wait exceeds the deadline.
    Full,
    /// The deadline passed while the request was queued.
    Deadline,
    /// The pool is draining, or the member can't be connected to.
    Closed,
}

/// State of the session that a connection is acquired for.
pub type SessionState<D> = Rc<<<D as Dialect>::Client as Client>::SessionState>;

/// Channel on which a waiting request gets its connection.
type GrantSender<D> = oneshot::Sender<Result<PooledConn<D>, PoolError>>;

/// Pool of connections to one member, limited to the share of this process.
#[derive(Debug)]
pub struct Pool<D: Dialect = Postgres> {
    dialect: Rc<D>,
    upstream: Upstream,
    address: SocketAddr,
    from: IpAddr,
    state: RefCell<State<D>>,
    open_gauge: IntGauge,
    refused: IntCounterVec,
    opened: IntCounter,
    evicted: IntCounter,
    /// Counters of bytes sent and received, for a member of another region.
    region_bytes: Option<(IntCounter, IntCounter)>,
    wait_histogram: prometheus::Histogram,
}

impl Pool {
    /// Creates an empty pool for a database that speaks the PostgreSQL protocol.
    #[must_use]
    pub fn new(
        member: &str,
        group: &str,
        address: SocketAddr,
        from: IpAddr,
        far: bool,
        limits: Limits,
        metrics: &Metrics,
    ) -> Rc<Self> {
        let to = Upstream {
            group: group.to_owned(),
            member: member.to_owned(),
            store: String::new(),
            user: OWN_USER.to_owned(),
        };
        Self::with_dialect(Rc::new(Postgres), to, address, from, far, limits, metrics)
    }
}

impl<D: Dialect> Pool<D> {
    /// Creates an empty pool. `far` tells whether the member is in another region, whose traffic is
    /// counted.
    #[must_use]
    pub fn with_dialect(
        dialect: Rc<D>,
        to: Upstream,
        address: SocketAddr,
        from: IpAddr,
        far: bool,
        limits: Limits,
        metrics: &Metrics,
    ) -> Rc<Self> {
        let member = to.member.as_str();
        let bytes = |direction| metrics.region.with_label_values(&[member, direction]);
        let open = metrics.connections.with_label_values(&[member]);
        let region = far.then(|| (bytes("sent"), bytes("received")));
        let opened = metrics.opened.with_label_values(&[member]);
        let evicted = metrics.evicted.with_label_values(&[member]);
        Rc::new(Self {
            dialect,
            upstream: to,
            address,
            from,
            state: RefCell::new(State {
                idle: Idle(Vec::new()),
                held: Map::default(),
                pending: Map::default(),
                queue: Queue::new(limits.queue as usize),
                share: ConnectionShare::new(limits.connections, limits.entries),
                slots: limits.slots,
                learned: D::REPORTS_OVERLOAD.then(|| LearnedLimits::new(limits)),
                draining: false,
                failures: 0,
                retry_at: None,
                next_id: 0,
                peak_demand: (0, 0),
                window_start: Instant::now(),
            }),
            open_gauge: open,
            refused: metrics.refused.clone(),
            opened,
            evicted,
            region_bytes: region,
            wait_histogram: metrics.queue.clone(),
        })
    }

    /// Source address of the connections.
    #[must_use]
    pub const fn source(&self) -> IpAddr {
        self.from
    }

    /// Applies changed limits.
    pub fn configure(&self, limits: Limits) {
        let mut state = self.state.borrow_mut();
        state.share.configure(limits.connections, limits.entries);
        state.slots = limits.slots;
        if let Some(learned) = &mut state.learned {
            let (least, most) = LearnedLimits::connection_bounds(limits);
            learned.connections.set_bounds(least, most);
        }
        state.queue.set_limit(limits.queue as usize);
    }

    /// Applies a permit for `lent` connections, valid for `term` from `requested`.
    pub fn apply_permit(&self, lent: u32, requested: Instant, term: Duration) {
        self.state
            .borrow_mut()
            .share
            .add_permit(lent, requested, term);
    }

    /// Numbers of connections in use, of waiting requests and of connections wanted. The last is the
    /// peak of the last second, because requests are short compared to the renewal interval.
    #[must_use]
    pub fn demand(&self) -> (u32, u32, u32) {
        let state = self.state.borrow();
        let (held, waiting) = (count(state.held.len()), count(state.queue.len()));
        let wanted = (held + waiting)
            .max(state.peak_demand.0)
            .max(state.peak_demand.1);
        (held, waiting, wanted)
    }

    /// Number of requests that wait for a connection.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state.borrow().queue.len()
    }

    /// Whether requests may be sent to this pool.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        let failing = state.retry_at.is_some_and(|at| now < at);
        let empty = state.idle.0.is_empty() && state.held.is_empty();
        !(state.draining || failing && empty)
    }

    /// Acquires a connection of the deployment itself, waiting in the queue until the deadline.
    ///
    /// # Errors
    /// No connection was handed out, and nothing was sent to the member.
    pub async fn acquire(self: &Rc<Self>, deadline: Instant) -> Result<PooledConn<D>, PoolError> {
        self.acquire_for(None, deadline).await
    }

    /// Acquires a connection that was opened for the organisation `owner`, or for the deployment
    /// itself if it is `None`. It waits in the queue until the deadline.
    ///
    /// # Errors
    /// No connection was handed out, and nothing was sent to the member.
    pub async fn acquire_for(
        self: &Rc<Self>,
        owner: Option<&str>,
        deadline: Instant,
    ) -> Result<PooledConn<D>, PoolError> {
        let owner = owner.map(Rc::from);
        let terms = Terms::until(deadline);
        self.acquire_under(Terms { owner, ..terms }, None).await
    }

    /// Acquires a connection that was opened for the owner in `terms`, preferably an idle one that has
    /// most of the state of `session`. It waits in the queue, in the order that `terms` ask for, until
    /// their deadline.
    ///
    /// # Errors
    /// No connection was handed out, and nothing was sent to the member.
    pub async fn acquire_under(
        self: &Rc<Self>,
        terms: Terms,
        session: Option<SessionState<D>>,
    ) -> Result<PooledConn<D>, PoolError> {
        let need = Need::Owner(terms.owner.clone());
        self.acquire_needed(Criteria { need, session }, terms).await
    }

    /// Acquires a connection of any owner. Only statements of the deployment itself may be sent on
    /// it. It waits in the queue until the deadline.
    ///
    /// # Errors
    /// No connection was handed out, and nothing was sent to the member.
    pub async fn acquire_any(
        self: &Rc<Self>,
        deadline: Instant,
    ) -> Result<PooledConn<D>, PoolError> {
        let criteria = Criteria {
            need: Need::Any,
            session: None,
        };
        self.acquire_needed(criteria, Terms::until(deadline)).await
    }

    async fn acquire_needed(
        self: &Rc<Self>,
        criteria: Criteria<D::Client>,
        terms: Terms,
    ) -> Result<PooledConn<D>, PoolError> {
        let now = Instant::now();
        if let Some(pooled) = self.try_acquire(&criteria, now) {
            self.wait_histogram.observe(0.0);
            return Ok(pooled);
        }
        let deadline = terms.deadline;
        let mut receiver = self.enqueue(criteria, terms, now)?;
        self.dispatch(now);
        if let Ok(Some(granted)) = receiver.try_recv() {
            self.wait_histogram.observe(0.0);
            return granted;
        }
        let granted = compio::time::timeout_at(deadline, receiver).await;
        self.wait_histogram.observe(now.elapsed().as_secs_f64());
        match granted {
            Ok(Ok(granted)) => granted,
            Ok(Err(oneshot::Canceled)) => Err(PoolError::Closed),
            Err(_elapsed) => Err(PoolError::Deadline),
        }
    }

    /// Takes an idle connection if there is one and no request is queued.
    fn try_acquire(
        self: &Rc<Self>,
        criteria: &Criteria<D::Client>,
        now: Instant,
    ) -> Option<PooledConn<D>> {
        let mut state = self.state.borrow_mut();
        let blocked = state.draining || !state.queue.is_empty() || !state.has_free_slot(now);
        if blocked || !state.idle.has_usable(criteria) {
            return None;
        }
        let pooled = self.take_idle(&mut state, criteria, now)?;
        state.update_peak();
        Some(pooled)
    }

    fn enqueue(
        &self,
        criteria: Criteria<D::Client>,
        terms: Terms,
        now: Instant,
    ) -> Result<oneshot::Receiver<Result<PooledConn<D>, PoolError>>, PoolError> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        if state.draining {
            return Err(PoolError::Closed);
        }
        let request = WaitingRequest {
            criteria,
            sender,
            reservation: None,
        };
        let displaced = state.queue.push(request, terms, now).map_err(|cause| {
            self.count_refused(match cause {
                QueueError::Full => "full",
                QueueError::Late => "late",
            });
            PoolError::Full
        })?;
        if let Some(request) = displaced {
            self.count_refused("displaced");
            let _receiver_gave_up = request.sender.send(Err(PoolError::Full));
        }
        state.update_peak();
        Ok(receiver)
    }

    /// Hands idle connections to waiting requests, and opens new ones if there are too few.
    fn dispatch(self: &Rc<Self>, now: Instant) {
        self.dispatch_released(None, now);
    }

    /// Like [`Self::dispatch`], after the held connection `released` became idle: the request that it
    /// was reserved for goes first.
    fn dispatch_released(self: &Rc<Self>, mut released: Option<u64>, now: Instant) {
        // Before connections are handed out: a request whose owner has none may need the room of an
        // idle one that a later request would take.
        let short = self.open_needed(now);
        loop {
            let mut expired = Vec::new();
            let next = self.next_waiting(now, released.take(), &mut expired);
            for sender in expired {
                self.count_refused("expired");
                let _receiver_gave_up = sender.send(Err(PoolError::Deadline));
            }
            let Some((sender, pooled)) = next else { break };
            // A request that gave up returns the connection, which goes back to the pool unused.
            if let Err(Ok(mut pooled)) = sender.send(Ok(pooled)) {
                pooled.put_back(now);
            }
        }
        // Connections that the member closed were found and dropped.
        self.open_needed(now);
        let mut state = self.state.borrow_mut();
        let total = state.total();
        if let Some(learned) = state.learned.as_mut().filter(|_| short) {
            learned.connections.record_accepted(total);
        }
        self.open_gauge.set(i64::from(total));
    }

    fn next_waiting(
        self: &Rc<Self>,
        now: Instant,
        released: Option<u64>,
        expired: &mut Vec<GrantSender<D>>,
    ) -> Option<(GrantSender<D>, PooledConn<D>)> {
        let mut state = self.state.borrow_mut();
        if state.queue.is_empty() || state.idle.0.is_empty() || !state.has_free_slot(now) {
            return None;
        }
        let request = state.pop_waiting(now, released, |sender| expired.push(sender))?;
        let pooled = self.take_idle(&mut state, &request.criteria, now)?;
        Some((request.sender, pooled))
    }

    /// Reserves the held connection `id` for the next waiting request that gains from an early setup,
    /// and returns the state of its session.
    fn reserve_for_waiting(&self, id: u64, now: Instant) -> Option<SessionState<D>> {
        let mut state = self.state.borrow_mut();
        let State { queue, held, .. } = &mut *state;
        let owner = &held.get(&id)?.owner;
        let request = queue.find_mut(now, |request: &WaitingRequest<D>| {
            let session = request.criteria.session.as_deref();
            let is_held = |other: Reservation| held.contains_key(&other.held);
            session.is_some_and(D::Client::gains_from_early_setup)
                && request.criteria.need.admits(owner)
                && !request.reservation.is_some_and(is_held)
        })?;
        request.reservation = Some(Reservation {
            held: id,
            since: now,
        });
        request.criteria.session.clone()
    }

    fn take_idle(
        self: &Rc<Self>,
        state: &mut State<D>,
        criteria: &Criteria<D::Client>,
        now: Instant,
    ) -> Option<PooledConn<D>> {
        let conn = state.idle.take(criteria)?;
        debug_assert!(
            criteria.need.admits(&conn.owner),
            "a connection serves only its own organisation"
        );
        let id = state.next_id;
        state.next_id += 1;
        let held = HeldConn {
            stream: conn.stream.clone(),
            owner: conn.owner.clone(),
            since: now,
            primary: None,
        };
        state.held.insert(id, held);
        Some(PooledConn {
            pool: Rc::clone(self),
            id,
            conn: Some(conn),
            primary: None,
            was_used: false,
            acquired_at: now,
            in_transaction: false,
        })
    }

    /// Opens the connections that waiting requests lack. Returns whether one lacks a connection
    /// although the pool is full.
    fn open_needed(self: &Rc<Self>, now: Instant) -> bool {
        let Opening {
            owners,
            evicted,
            short,
        } = self.state.borrow_mut().open_missing(now);
        self.evicted.inc_by(u64::from(evicted));
        for owner in owners {
            compio::runtime::spawn(Rc::clone(self).open_connection(owner)).detach();
        }
        short
    }

    async fn open_connection(self: Rc<Self>, owner: Owner) {
        let mut to = self.upstream.clone();
        if let Some(owner) = &owner {
            to.user = owner.to_string();
        }
        let opened = compio::time::timeout(OPEN_TIMEOUT, async {
            let stream = base::net::connect(self.from, self.address, OPEN_TIMEOUT)
                .await
                .map_err(|cause| OpenError::Failed(cause.to_string()))?;
            let client = self.dialect.open(stream.clone(), &to).await?;
            Ok::<_, OpenError>((stream, client))
        })
        .await;
        let now = Instant::now();
        {
            let mut state = self.state.borrow_mut();
            state.remove_pending(&owner);
            if let Ok(Ok((stream, client))) = opened {
                state.failures = 0;
                state.retry_at = None;
                self.opened.inc();
                if !state.draining {
                    state.idle.0.push(Conn {
                        client,
                        stream,
                        owner,
                        prepared: Set::default(),
                        last_used: now,
                        last_checked: now,
                        counted_bytes: (0, 0),
                    });
                }
            } else if let (Ok(Err(OpenError::Full)), Some(learned)) = (&opened, &mut state.learned)
            {
                learned.connections.record_rejected(now);
                state.retry_at =
                    Some(now + OVERLOAD_RETRY.mul_f64(rand::rng().random_range(0.5..1.5)));
            } else {
                let longest = (BACKOFF.0 * (1 << state.failures.min(5))).min(BACKOFF.1);
                state.failures += 1;
                state.retry_at = Some(now + longest.mul_f64(rand::rng().random_range(0.5..1.0)));
            }
        }
        if !self.is_usable(now) {
            self.refuse_waiting();
        }
        self.dispatch(now);
    }

    /// Fails all waiting requests with [`PoolError::Closed`], so that they are routed again.
    pub fn refuse_waiting(&self) {
        let mut state = self.state.borrow_mut();
        let waiting = state.queue.drain();
        let senders: Vec<_> = waiting.map(|request| request.sender).collect();
        drop(state);
        for sender in senders {
            let _receiver_gave_up = sender.send(Err(PoolError::Closed));
        }
    }

    /// Closes the idle connections, after a failure of the member or of the network path to it.
    pub fn close_idle(&self) {
        let idle = std::mem::take(&mut self.state.borrow_mut().idle.0);
        drop(idle);
        self.open_gauge.set(i64::from(self.state.borrow().total()));
    }

    /// Shuts down the connections in use for reads at a replica that no longer answers, so that the
    /// reads can run elsewhere instead of waiting for their deadline.
    pub fn abort_reads(&self) {
        let state = self.state.borrow();
        let reads = state.held.values().filter(|held| held.primary.is_none());
        reads.for_each(HeldConn::shut_down);
    }

    /// Shuts down the connections in use under a primary of another term than `stable`. Their answers
    /// can't be acknowledged any more, and a frozen primary would never answer.
    pub fn abort_stale_terms(&self, stable: Option<Term>) {
        let state = self.state.borrow();
        let ended = state
            .held
            .values()
            .filter(|held| held.primary.is_some() && held.primary != stable);
        ended.for_each(HeldConn::shut_down);
    }

    /// Shuts down the connections that were handed out before `time`. It is called when the network
    /// drops the packets of old connections while new ones work; requests on the old connections
    /// would otherwise wait for their deadline.
    pub fn abort_older_than(&self, time: Instant) {
        let state = self.state.borrow();
        let old = state.held.values().filter(|held| held.since < time);
        old.for_each(HeldConn::shut_down);
    }

    /// Stops or resumes handing out connections. Connections in use stay open until released.
    pub fn drain(&self, draining: bool) {
        let before = std::mem::replace(&mut self.state.borrow_mut().draining, draining);
        if draining && !before {
            self.close_idle();
            self.refuse_waiting();
        }
    }

    /// Returns the state of the pool for the dump.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Value {
        let state = self.state.borrow();
        json!({
            "idle": state.idle.0.len(),
            "held": state.held.len(),
            "pending": state.pending.values().sum::<u32>(),
            "owners": state.owners(),
            "waiting": state.queue.len(),
            "waiting_by_priority": state.queue.priorities(),
            "target": state.target(now),
            "limit": state.share.limit(now, PERMIT_MARGIN),
            "slots": state.statements(now),
            "draining": state.draining,
            "failures": state.failures,
        })
    }

    fn count_refused(&self, cause: &str) {
        self.refused.with_label_values(&[cause]).inc();
    }

    fn count_bytes(&self, conn: &mut Conn<D::Client>) {
        if let Some((sent, received)) = &self.region_bytes {
            let totals = conn.client.traffic();
            sent.inc_by(totals.0 - conn.counted_bytes.0);
            received.inc_by(totals.1 - conn.counted_bytes.1);
            conn.counted_bytes = totals;
        }
    }
}
