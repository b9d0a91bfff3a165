//! Connection pool of one member.

use std::{
    cell::RefCell,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Map, MemberName, Set, Term};
use compio::net::TcpStream;
use futures_channel::oneshot;
use prometheus::{IntCounter, IntGauge};
use rand::RngExt as _;
use route::{ConnectionShare, Queue, QueueError, limit::AdaptiveLimit};
use rustix::net::{RecvFlags, Shutdown};
use serde_json::{Value, json};

use crate::{
    dialect::{Client, Dialect, OWN_USER, OpenError, Upstream},
    fleet::Lease,
    metrics::Metrics,
    postgres::Postgres,
};

/// Timeout for opening a connection and for the answer to a health check.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a connection is checked.
const CHECK_AFTER: Duration = Duration::from_secs(5);
/// Idle time after which a connection of the base share is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Like [`IDLE_TIMEOUT`], for databases that report overload. It is short because such a database
/// still counts the former connections for some seconds after a power failure of a host, and new
/// ones must fit beside them.
const LEARNED_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Like [`LEARNED_IDLE_TIMEOUT`], for connections beyond an equal share, for which other processes
/// may be waiting.
const EXCESS_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a lent connection is closed, so that other processes can have it.
const LENT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Length of the windows in which the peak demand is measured.
const PEAK_WINDOW: Duration = Duration::from_millis(500);
/// Lent connections are closed this long before their permit expires.
const PERMIT_MARGIN: Duration = Duration::from_millis(200);
/// A connection that is held for longer no longer counts as a running statement: it belongs to a
/// transaction, which waits for its caller most of the time.
const MAX_STATEMENT_TIME: Duration = Duration::from_millis(100);
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

#[derive(Debug)]
struct Conn<C> {
    client: C,
    stream: TcpStream,
    prepared: Set<String>,
    last_used: Instant,
    last_checked: Instant,
    counted_bytes: (u64, u64),
}

impl<C: Client> Conn<C> {
    /// Whether the peer has neither closed the connection nor sent unsolicited data.
    fn is_quiet(&self) -> bool {
        let mut byte = [0_u8; 1];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let result = rustix::net::recv(&self.stream, &mut byte, flags);
        matches!(result, Err(rustix::io::Errno::AGAIN)) && !self.client.has_bytes()
    }
}

#[derive(Debug)]
struct HeldConn {
    stream: TcpStream,
    since: Instant,
    /// Term in which the member is primary; `None` when the connection serves reads at a replica.
    primary: Option<Term>,
}

impl HeldConn {
    /// Shuts down the socket of a connection in use. Its holder sees a lost connection.
    fn shut_down(&self) {
        let _already_closed = rustix::net::shutdown(&self.stream, Shutdown::Both);
    }
}

/// Channel to a request that waits for a connection.
type WaitingRequest<D> = oneshot::Sender<Result<PooledConn<D>, PoolError>>;

#[derive(Debug)]
struct State<D: Dialect> {
    idle: Vec<Conn<D::Client>>,
    held: Map<u64, HeldConn>,
    pending: u32,
    queue: Queue<WaitingRequest<D>>,
    share: ConnectionShare,
    slots: u32,
    /// Adaptive limits, for dialects that report overload.
    learned: Option<LearnedLimits>,
    draining: bool,
    failures: u32,
    retry_at: Option<Instant>,
    next_id: u64,
    /// Highest number of connections wanted at the same time, in this and in the last window.
    peak_demand: (u32, u32),
    window_start: Instant,
}

/// Adaptive limits, learned from answers that report overload.
#[derive(Debug)]
struct LearnedLimits {
    connections: AdaptiveLimit,
    statements: AdaptiveLimit,
}

/// Initial limit of concurrent statements: twice the slots of one database.
const INITIAL_STATEMENTS: u32 = 4;
/// Lower bound of the highest connection limit. A process whose equal share is one connection or
/// none needs more, because each open transaction holds one.
const MAX_CONNECTIONS_FLOOR: u32 = 3;
/// Highest limit of concurrent statements. It bounds the growth while a database is idle.
const MAX_STATEMENTS: u32 = 64;

impl LearnedLimits {
    /// Derives the initial limits from the configuration. Each process may have at least one
    /// connection, and starts with twice its equal share.
    fn new(limits: Limits) -> Self {
        let (least, most) = Self::connection_bounds(limits);
        Self {
            connections: AdaptiveLimit::new(least * 2, least, most),
            statements: AdaptiveLimit::new(INITIAL_STATEMENTS, 1, MAX_STATEMENTS),
        }
    }

    /// Lowest and highest connection limit: an equal share and twice that. A process that took all
    /// connections would starve the others and would never see a refusal that lowers its limit.
    fn connection_bounds(limits: Limits) -> (u32, u32) {
        let share = limits.connections / limits.entries.max(1);
        let most = (share * 2)
            .max(MAX_CONNECTIONS_FLOOR)
            .min(limits.connections);
        (share.max(1), most.max(1))
    }
}

impl<D: Dialect> State<D> {
    /// Number of connections up to which new ones are opened and idle ones are kept.
    fn target(&self, now: Instant) -> u32 {
        match &self.learned {
            Some(learned) => learned.connections.get(),
            None => self.share.target(now),
        }
    }

    /// Number of statements that may run concurrently.
    fn statements(&self, now: Instant) -> u32 {
        match &self.learned {
            Some(learned) => learned.statements.get(),
            None => self.share.slots(self.slots, now),
        }
    }

    /// Whether a connection can be handed out now. Drops idle connections that the member closed.
    fn has_usable_idle(&mut self, now: Instant) -> bool {
        if !self.has_free_slot(now) {
            return false;
        }
        while self.idle.last().is_some_and(|conn| !conn.is_quiet()) {
            self.idle.pop();
        }
        !self.idle.is_empty()
    }

    fn update_peak(&mut self) {
        let wanted = count(self.held.len()) + count(self.queue.len());
        self.peak_demand.0 = self.peak_demand.0.max(wanted);
    }

    fn total(&self) -> u32 {
        count(self.idle.len()) + count(self.held.len()) + self.pending
    }

    fn running_statements(&self, now: Instant) -> u32 {
        let running =
            |held: &&HeldConn| now.saturating_duration_since(held.since) < MAX_STATEMENT_TIME;
        count(self.held.values().filter(running).count())
    }

    fn free_slots(&self, now: Instant) -> u32 {
        self.statements(now)
            .saturating_sub(self.running_statements(now))
    }

    /// Whether another statement may start. The running statements are counted only if the number
    /// of connections in use does not decide it.
    fn has_free_slot(&self, now: Instant) -> bool {
        count(self.held.len()) < self.statements(now) || self.free_slots(now) > 0
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Configured limits of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Number of connections that the database accepts.
    pub connections: u32,
    /// Highest number of entry processes that share the connections.
    pub entries: u32,
    /// Number of statements that the database runs concurrently.
    pub slots: u32,
    /// Number of requests that may wait.
    pub queue: u32,
}

/// Pool of connections to one member, limited to the share of this process.
#[derive(Debug)]
pub struct Pool<D: Dialect = Postgres> {
    dialect: Rc<D>,
    upstream: Upstream,
    address: SocketAddr,
    from: IpAddr,
    state: RefCell<State<D>>,
    open_gauge: IntGauge,
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
        Rc::new(Self {
            dialect,
            upstream: to,
            address,
            from,
            state: RefCell::new(State {
                idle: Vec::new(),
                held: Map::default(),
                pending: 0,
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
        let empty = state.idle.is_empty() && state.held.is_empty();
        !(state.draining || failing && empty)
    }

    /// Acquires a connection, waiting in the queue until the deadline.
    ///
    /// # Errors
    /// No connection was handed out, and nothing was sent to the member.
    pub async fn acquire(self: &Rc<Self>, deadline: Instant) -> Result<PooledConn<D>, PoolError> {
        let now = Instant::now();
        if let Some(pooled) = self.try_acquire(now) {
            self.wait_histogram.observe(0.0);
            return Ok(pooled);
        }
        let mut receiver = self.enqueue(deadline, now)?;
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
    fn try_acquire(self: &Rc<Self>, now: Instant) -> Option<PooledConn<D>> {
        let mut state = self.state.borrow_mut();
        if state.draining || !state.queue.is_empty() || !state.has_usable_idle(now) {
            return None;
        }
        let pooled = self.take_idle(&mut state, now)?;
        state.update_peak();
        Some(pooled)
    }

    fn enqueue(
        &self,
        deadline: Instant,
        now: Instant,
    ) -> Result<oneshot::Receiver<Result<PooledConn<D>, PoolError>>, PoolError> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        if state.draining {
            return Err(PoolError::Closed);
        }
        match state.queue.push(sender, deadline, now) {
            Ok(()) => {}
            Err(QueueError::Full | QueueError::Late) => return Err(PoolError::Full),
        }
        state.update_peak();
        Ok(receiver)
    }

    /// Hands idle connections to waiting requests, and opens new ones if there are too few.
    fn dispatch(self: &Rc<Self>, now: Instant) {
        loop {
            let mut expired = Vec::new();
            let next = self.next_waiting(now, &mut expired);
            for sender in expired {
                let _receiver_gave_up = sender.send(Err(PoolError::Deadline));
            }
            let Some((sender, pooled)) = next else { break };
            // A request that gave up returns the connection, which goes back to the pool unused.
            if let Err(Ok(mut pooled)) = sender.send(Ok(pooled)) {
                pooled.put_back(now);
            }
        }
        self.open_needed(now);
    }

    fn next_waiting(
        self: &Rc<Self>,
        now: Instant,
        expired: &mut Vec<WaitingRequest<D>>,
    ) -> Option<(WaitingRequest<D>, PooledConn<D>)> {
        let mut state = self.state.borrow_mut();
        if state.queue.is_empty() || !state.has_usable_idle(now) {
            return None;
        }
        let sender = state.queue.pop(now, |sender| expired.push(sender))?;
        let pooled = self.take_idle(&mut state, now)?;
        Some((sender, pooled))
    }

    fn take_idle(self: &Rc<Self>, state: &mut State<D>, now: Instant) -> Option<PooledConn<D>> {
        let conn = state.idle.pop()?;
        let id = state.next_id;
        state.next_id += 1;
        let held = HeldConn {
            stream: conn.stream.clone(),
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

    fn open_needed(self: &Rc<Self>, now: Instant) {
        let mut state = self.state.borrow_mut();
        if state.draining || state.retry_at.is_some_and(|at| now < at) {
            return;
        }
        if state.queue.is_empty() {
            self.open_gauge.set(i64::from(state.total()));
            return;
        }
        let ready = count(state.idle.len()) + state.pending;
        let demand = count(state.queue.len()).min(state.free_slots(now));
        let space = state.target(now).saturating_sub(state.total());
        if space == 0 && demand > ready {
            let total = state.total();
            if let Some(learned) = &mut state.learned {
                learned.connections.record_accepted(total);
            }
        }
        for _ in 0..demand.saturating_sub(ready).min(space) {
            state.pending += 1;
            compio::runtime::spawn(Rc::clone(self).open_connection()).detach();
        }
        self.open_gauge.set(i64::from(state.total()));
    }

    async fn open_connection(self: Rc<Self>) {
        let opened = compio::time::timeout(OPEN_TIMEOUT, async {
            let stream = base::net::connect(self.from, self.address, OPEN_TIMEOUT)
                .await
                .map_err(|cause| OpenError::Failed(cause.to_string()))?;
            let client = self.dialect.open(stream.clone(), &self.upstream).await?;
            Ok::<_, OpenError>((stream, client))
        })
        .await;
        let now = Instant::now();
        {
            let mut state = self.state.borrow_mut();
            state.pending -= 1;
            if let Ok(Ok((stream, client))) = opened {
                state.failures = 0;
                state.retry_at = None;
                if !state.draining {
                    state.idle.push(Conn {
                        client,
                        stream,
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
        let mut senders = Vec::new();
        while let Some(sender) = state.queue.pop_front() {
            senders.push(sender);
        }
        drop(state);
        for sender in senders {
            let _receiver_gave_up = sender.send(Err(PoolError::Closed));
        }
    }

    /// Closes the idle connections, after a failure of the member or of the network path to it.
    pub fn close_idle(&self) {
        let idle = std::mem::take(&mut self.state.borrow_mut().idle);
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

    /// Performs the periodic work: closes connections that were idle for too long or exceed the
    /// share, checks idle connections, and removes requests that gave up.
    pub fn maintain(self: &Rc<Self>, now: Instant) {
        let mut closing = Vec::new();
        let mut checking = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            state.queue.retain(|sender| !sender.is_canceled());
            if now.saturating_duration_since(state.window_start) >= PEAK_WINDOW {
                state.peak_demand = (count(state.held.len()), state.peak_demand.0);
                state.window_start = now;
            }
            let base = state.share.base();
            let mut total = state.total();
            let mut retained = Vec::new();
            for conn in std::mem::take(&mut state.idle) {
                let idle = now.saturating_duration_since(conn.last_used);
                let limit = match &state.learned {
                    Some(_) if total > base.max(1) => EXCESS_IDLE_TIMEOUT,
                    Some(_) => LEARNED_IDLE_TIMEOUT,
                    None if total > base => LENT_IDLE_TIMEOUT,
                    None => IDLE_TIMEOUT,
                };
                if idle >= limit || total > state.target(now) {
                    total -= 1;
                    closing.push(conn);
                } else if idle >= CHECK_AFTER && now - conn.last_checked >= CHECK_AFTER {
                    checking.push(conn);
                } else {
                    retained.push(conn);
                }
            }
            state.idle = retained;
            state.pending += count(checking.len());
            let limit = match &state.learned {
                // The database itself refuses connections that it has no room for.
                Some(_) => u32::MAX,
                None => state.share.limit(now, PERMIT_MARGIN),
            };
            let over = total.saturating_sub(limit);
            for held in state.held.values().take(over as usize) {
                held.shut_down();
            }
        }
        drop(closing);
        for conn in checking {
            compio::runtime::spawn(Rc::clone(self).check(conn)).detach();
        }
        self.dispatch(now);
    }

    /// Checks an idle connection with an empty exchange, which uses no slot.
    async fn check(self: Rc<Self>, mut conn: Conn<D::Client>) {
        let answer = compio::time::timeout(OPEN_TIMEOUT, conn.client.check()).await;
        let now = Instant::now();
        {
            let mut state = self.state.borrow_mut();
            state.pending -= 1;
            if matches!(answer, Ok(true)) && !state.draining {
                conn.last_checked = now;
                state.idle.insert(0, conn);
            }
        }
        self.dispatch(now);
    }

    /// Returns the state of the pool for the dump.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Value {
        let state = self.state.borrow();
        json!({
            "idle": state.idle.len(),
            "held": state.held.len(),
            "pending": state.pending,
            "waiting": state.queue.len(),
            "target": state.target(now),
            "limit": state.share.limit(now, PERMIT_MARGIN),
            "slots": state.statements(now),
            "draining": state.draining,
            "failures": state.failures,
        })
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

/// A connection that is held for one request or transaction.
///
/// Dropping it closes the connection, unless [`PooledConn::client`] was never called.
#[derive(Debug)]
pub struct PooledConn<D: Dialect = Postgres> {
    pool: Rc<Pool<D>>,
    id: u64,
    conn: Option<Conn<D::Client>>,
    primary: Option<Term>,
    was_used: bool,
    acquired_at: Instant,
    /// Whether it serves a transaction, which waits for its caller most of the time.
    in_transaction: bool,
}

impl<D: Dialect> PooledConn<D> {
    /// Marks the connection as used by a transaction, whose duration does not count towards the mean
    /// duration of statements.
    pub const fn mark_transaction(&mut self) {
        self.in_transaction = true;
    }

    /// Records that the member is used as primary of `term`.
    pub(crate) fn set_primary(&mut self, term: Term) {
        self.primary = Some(term);
        let mut state = self.pool.state.borrow_mut();
        if let Some(held) = state.held.get_mut(&self.id) {
            held.primary = Some(term);
        }
    }

    /// Returns the connection to the pool, or closes it, without serving the queue.
    fn put_back(&mut self, now: Instant) {
        let Some(mut conn) = self.conn.take() else {
            return;
        };
        self.pool.count_bytes(&mut conn);
        let mut state = self.pool.state.borrow_mut();
        state.held.remove(&self.id);
        let has_room = state.learned.is_some() || state.total() < state.target(now);
        if has_room && !state.draining && !conn.client.has_bytes() {
            conn.last_used = now;
            state.idle.push(conn);
        }
    }
}

impl<D: Dialect> PooledConn<D> {
    /// Name of the member.
    #[must_use]
    pub fn member(&self) -> &MemberName {
        &self.pool.upstream.member
    }

    /// Term in which the member is primary, or `None` for a replica.
    #[must_use]
    pub const fn primary(&self) -> Option<Term> {
        self.primary
    }

    /// Protocol client of the connection.
    ///
    /// # Panics
    /// Never: a pooled connection is present until it is released.
    pub fn client(&mut self) -> &mut D::Client {
        self.was_used = true;
        &mut self.conn().client
    }

    fn conn(&mut self) -> &mut Conn<D::Client> {
        self.conn
            .as_mut()
            .expect("a pooled connection is present until it is released")
    }

    /// Records that the database had no capacity for a statement.
    pub fn record_overload(&self, now: Instant) {
        if let Some(learned) = &mut self.pool.state.borrow_mut().learned {
            learned.statements.record_rejected(now);
        }
    }

    /// Returns the connection to the pool. It must be idle, without an open transaction or unread
    /// data.
    pub fn release(mut self) {
        let now = Instant::now();
        {
            let mut state = self.pool.state.borrow_mut();
            let used = state.running_statements(now);
            if let Some(learned) = &mut state.learned {
                learned.statements.record_accepted(used);
            }
        }
        let held_for = now.saturating_duration_since(self.acquired_at);
        self.put_back(now);
        if !self.in_transaction {
            self.pool
                .state
                .borrow_mut()
                .queue
                .record_service_time(held_for);
        }
        self.pool.dispatch(now);
    }
}

impl Lease for PooledConn {
    fn member(&self) -> &MemberName {
        self.member()
    }

    fn primary(&self) -> Option<Term> {
        self.primary()
    }

    fn client(&mut self) -> &mut wire::Client {
        self.client()
    }

    fn prepared(&mut self) -> &mut Set<String> {
        &mut self.conn().prepared
    }

    fn release(self) {
        self.release();
    }
}

impl<D: Dialect> Drop for PooledConn<D> {
    fn drop(&mut self) {
        if self.conn.is_none() {
            return;
        }
        let now = Instant::now();
        if !self.was_used {
            self.put_back(now);
        }
        if let Some(mut conn) = self.conn.take() {
            self.pool.count_bytes(&mut conn);
            self.pool.state.borrow_mut().held.remove(&self.id);
        }
        self.pool.dispatch(now);
    }
}
