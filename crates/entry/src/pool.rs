//! Pooled connections to one member.

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
    dialect::{Client, Dialect, OpenError, Upstream},
    fleet::Lease,
    metrics::Metrics,
    postgres::Postgres,
};

/// Limit on opening a connection, and on the answer to a health check.
const OPEN: Duration = Duration::from_secs(1);
/// An idle connection is checked when it was not used for this long.
const CHECK_AFTER: Duration = Duration::from_secs(5);
/// An idle connection of the base share is closed after this time.
const IDLE: Duration = Duration::from_mins(1);
/// As [`IDLE`], where connections are taken as long as the database has room: after a loss of power
/// it counts the former ones for some seconds, and there must be room beside them.
const IDLE_FOUND: Duration = Duration::from_secs(5);
/// As [`IDLE_FOUND`], for connections over an equal share, for which others may wait.
const IDLE_SPARE: Duration = Duration::from_millis(500);
/// A lent idle connection is given back after this time, so that others can have it.
const IDLE_LENT: Duration = Duration::from_secs(2);
/// Window of the peak demand.
const PEAK: Duration = Duration::from_millis(500);
/// Lent connections are closed this long before their permit ends.
const MARGIN: Duration = Duration::from_millis(200);
/// A lease that is held longer belongs to a transaction that waits for its caller most of the time,
/// so that it no longer counts as a running statement.
const STATEMENT: Duration = Duration::from_millis(100);
/// Wait after a database had no room for a connection, with jitter: others give idle ones back.
const CROWDED: Duration = Duration::from_millis(200);
/// First and longest wait after a failed attempt to connect.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Why no connection was handed out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolError {
    /// The queue is full, or the wait would exceed the deadline.
    Full,
    /// The deadline passed in the queue.
    Deadline,
    /// The member gets no new work or can't be connected to.
    Closed,
}

#[derive(Debug)]
struct Conn<C> {
    client: C,
    stream: TcpStream,
    prepared: Set<String>,
    used: Instant,
    checked: Instant,
    counted: (u64, u64),
}

impl<C: Client> Conn<C> {
    /// Whether the peer neither closed the connection nor sent anything unasked.
    fn is_quiet(&self) -> bool {
        let mut byte = [0_u8; 1];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let result = rustix::net::recv(&self.stream, &mut byte, flags);
        matches!(result, Err(rustix::io::Errno::AGAIN)) && !self.client.has_bytes()
    }
}

#[derive(Debug)]
struct Held {
    stream: TcpStream,
    since: Instant,
    /// Term of which the member is primary for this lease.
    primary: Option<Term>,
}

impl Held {
    /// Ends the connection under its lease, which then fails like a lost connection.
    fn cut(&self) {
        let _already_closed = rustix::net::shutdown(&self.stream, Shutdown::Both);
    }
}

/// A request that waits for a connection.
type Waiting<D> = oneshot::Sender<Result<PooledConn<D>, PoolError>>;

#[derive(Debug)]
struct State<D: Dialect> {
    idle: Vec<Conn<D::Client>>,
    held: Map<u64, Held>,
    pending: u32,
    queue: Queue<Waiting<D>>,
    share: ConnectionShare,
    slots: u32,
    /// Limits that are found by trying, where the dialect allows it.
    found: Option<Found>,
    draining: bool,
    failures: u32,
    retry: Option<Instant>,
    next: u64,
    /// Most connections wanted at once in this and in the last window.
    peaks: (u32, u32),
    window: Instant,
}

/// Limits that are found by trying.
#[derive(Debug)]
struct Found {
    connections: AdaptiveLimit,
    statements: AdaptiveLimit,
}

/// Statements that run at once before anything is known: the slots of one database, twice.
const STATEMENTS: u32 = 4;
/// Most connections of a process whose equal share is one or none: transactions hold one each.
const MOST_OF_FEW: u32 = 3;
/// Most statements at once; bounds the growth while a database is idle.
const STATEMENTS_MAX: u32 = 64;

impl Found {
    /// Starts from the limits of the configuration; everyone may have a connection and, at first,
    /// twice an equal share of all.
    fn new(limits: Limits) -> Self {
        let (least, most) = Self::connections(limits);
        Self {
            connections: AdaptiveLimit::new(least * 2, least, most),
            statements: AdaptiveLimit::new(STATEMENTS, 1, STATEMENTS_MAX),
        }
    }

    /// Least and most connections: an equal share, and twice that. A process that took all would
    /// leave others without any, and would never learn of it.
    fn connections(limits: Limits) -> (u32, u32) {
        let share = limits.connections / limits.entries.max(1);
        let most = (share * 2).max(MOST_OF_FEW).min(limits.connections);
        (share.max(1), most.max(1))
    }
}

impl<D: Dialect> State<D> {
    /// Connections that may be opened or kept idle.
    fn target(&self, now: Instant) -> u32 {
        match &self.found {
            Some(found) => found.connections.get(),
            None => self.share.target(now),
        }
    }

    /// Statements that may run at once.
    fn statements(&self, now: Instant) -> u32 {
        match &self.found {
            Some(found) => found.statements.get(),
            None => self.share.slots(self.slots, now),
        }
    }

    /// Whether a connection could be handed out now; drops those that the member closed.
    fn has_usable_idle(&mut self, now: Instant) -> bool {
        if !self.has_free_slot(now) {
            return false;
        }
        while self.idle.last().is_some_and(|conn| !conn.is_quiet()) {
            self.idle.pop();
        }
        !self.idle.is_empty()
    }

    fn note_peak(&mut self) {
        let wanted = count(self.held.len()) + count(self.queue.len());
        self.peaks.0 = self.peaks.0.max(wanted);
    }

    fn total(&self) -> u32 {
        count(self.idle.len()) + count(self.held.len()) + self.pending
    }

    fn running(&self, now: Instant) -> u32 {
        let running = |held: &&Held| now.saturating_duration_since(held.since) < STATEMENT;
        count(self.held.values().filter(running).count())
    }

    fn free_slots(&self, now: Instant) -> u32 {
        self.statements(now).saturating_sub(self.running(now))
    }

    /// Counts the statements that run only when the number of connections in use leaves it open.
    fn has_free_slot(&self, now: Instant) -> bool {
        count(self.held.len()) < self.statements(now) || self.free_slots(now) > 0
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Limits of a pool from the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections that the database accepts.
    pub connections: u32,
    /// Most entry processes that run at once.
    pub entries: u32,
    /// Statements that the database runs at once.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
}

/// Connections to one member within the share of this process.
#[derive(Debug)]
pub struct Pool<D: Dialect = Postgres> {
    dialect: Rc<D>,
    to: Upstream,
    address: SocketAddr,
    from: IpAddr,
    state: RefCell<State<D>>,
    open: IntGauge,
    /// Counters of bytes sent and received, for a member of another region.
    region: Option<(IntCounter, IntCounter)>,
    wait: prometheus::Histogram,
}

impl Pool {
    /// Makes a pool without connections for databases that speak the PostgreSQL protocol.
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
        };
        Self::with_dialect(Rc::new(Postgres), to, address, from, far, limits, metrics)
    }
}

impl<D: Dialect> Pool<D> {
    /// Makes a pool without connections. `far` tells whether the member is in another region.
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
            to,
            address,
            from,
            state: RefCell::new(State {
                idle: Vec::new(),
                held: Map::default(),
                pending: 0,
                queue: Queue::new(limits.queue as usize),
                share: ConnectionShare::new(limits.connections, limits.entries),
                slots: limits.slots,
                found: D::REPORTS_OVERLOAD.then(|| Found::new(limits)),
                draining: false,
                failures: 0,
                retry: None,
                next: 0,
                peaks: (0, 0),
                window: Instant::now(),
            }),
            open,
            region,
            wait: metrics.queue.clone(),
        })
    }

    /// Source address of the connections.
    #[must_use]
    pub const fn source(&self) -> IpAddr {
        self.from
    }

    /// Takes over changed limits.
    pub fn configure(&self, limits: Limits) {
        let mut state = self.state.borrow_mut();
        state.share.configure(limits.connections, limits.entries);
        state.slots = limits.slots;
        if let Some(found) = &mut state.found {
            let (least, most) = Found::connections(limits);
            found.connections.set_bounds(least, most);
        }
        state.queue.set_limit(limits.queue as usize);
    }

    /// Notes a permit for lent connections.
    pub fn apply_permit(&self, lent: u32, requested: Instant, term: Duration) {
        self.state
            .borrow_mut()
            .share
            .add_permit(lent, requested, term);
    }

    /// Connections in use, requests that wait, and connections wanted: the peak of the last second,
    /// because requests are short against the time between renewals.
    #[must_use]
    pub fn demand(&self) -> (u32, u32, u32) {
        let state = self.state.borrow();
        let (held, waiting) = (count(state.held.len()), count(state.queue.len()));
        let wanted = (held + waiting).max(state.peaks.0).max(state.peaks.1);
        (held, waiting, wanted)
    }

    /// Requests that wait for a connection.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state.borrow().queue.len()
    }

    /// Whether requests may be sent to this pool.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        let failing = state.retry.is_some_and(|at| now < at);
        let empty = state.idle.is_empty() && state.held.is_empty();
        !(state.draining || failing && empty)
    }

    /// Takes a connection, waiting for its turn until the deadline.
    ///
    /// # Errors
    /// None was handed out; nothing was sent to the member.
    pub async fn acquire(self: &Rc<Self>, deadline: Instant) -> Result<PooledConn<D>, PoolError> {
        let now = Instant::now();
        if let Some(pooled) = self.take_unqueued(now) {
            self.wait.observe(0.0);
            return Ok(pooled);
        }
        let mut receiver = self.enqueue(deadline, now)?;
        self.dispatch(now);
        if let Ok(Some(granted)) = receiver.try_recv() {
            self.wait.observe(0.0);
            return granted;
        }
        let granted = compio::time::timeout_at(deadline, receiver).await;
        self.wait.observe(now.elapsed().as_secs_f64());
        match granted {
            Ok(Ok(granted)) => granted,
            Ok(Err(oneshot::Canceled)) => Err(PoolError::Closed),
            Err(_elapsed) => Err(PoolError::Deadline),
        }
    }

    /// Takes an idle connection when nobody waits for one.
    fn take_unqueued(self: &Rc<Self>, now: Instant) -> Option<PooledConn<D>> {
        let mut state = self.state.borrow_mut();
        if state.draining || !state.queue.is_empty() || !state.has_usable_idle(now) {
            return None;
        }
        let pooled = self.take_idle(&mut state, now)?;
        state.note_peak();
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
        state.note_peak();
        Ok(receiver)
    }

    /// Hands idle connections to waiting requests, and opens new ones when there are too few.
    fn dispatch(self: &Rc<Self>, now: Instant) {
        loop {
            let mut late = Vec::new();
            let next = self.next(now, &mut late);
            for sender in late {
                let _receiver_gave_up = sender.send(Err(PoolError::Deadline));
            }
            let Some((sender, pooled)) = next else { break };
            // A request that gave up drops the connection, which returns unused to the pool.
            if let Err(Ok(mut pooled)) = sender.send(Ok(pooled)) {
                pooled.put_back(now);
            }
        }
        self.open_needed(now);
    }

    fn next(
        self: &Rc<Self>,
        now: Instant,
        late: &mut Vec<Waiting<D>>,
    ) -> Option<(Waiting<D>, PooledConn<D>)> {
        let mut state = self.state.borrow_mut();
        if state.queue.is_empty() || !state.has_usable_idle(now) {
            return None;
        }
        let sender = state.queue.pop(now, |sender| late.push(sender))?;
        let pooled = self.take_idle(&mut state, now)?;
        Some((sender, pooled))
    }

    fn take_idle(self: &Rc<Self>, state: &mut State<D>, now: Instant) -> Option<PooledConn<D>> {
        let conn = state.idle.pop()?;
        let id = state.next;
        state.next += 1;
        let held = Held {
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
            touched: false,
            taken: now,
            pinned: false,
        })
    }

    fn open_needed(self: &Rc<Self>, now: Instant) {
        let mut state = self.state.borrow_mut();
        if state.draining || state.retry.is_some_and(|at| now < at) {
            return;
        }
        if state.queue.is_empty() {
            self.open.set(i64::from(state.total()));
            return;
        }
        let ready = count(state.idle.len()) + state.pending;
        let wanted = count(state.queue.len()).min(state.free_slots(now));
        let space = state.target(now).saturating_sub(state.total());
        if space == 0 && wanted > ready {
            let total = state.total();
            if let Some(found) = &mut state.found {
                found.connections.record_accepted(total);
            }
        }
        for _ in 0..wanted.saturating_sub(ready).min(space) {
            state.pending += 1;
            compio::runtime::spawn(Rc::clone(self).open_one()).detach();
        }
        self.open.set(i64::from(state.total()));
    }

    async fn open_one(self: Rc<Self>) {
        let opened = compio::time::timeout(OPEN, async {
            let stream = base::net::connect(self.from, self.address, OPEN)
                .await
                .map_err(|cause| OpenError::Failed(cause.to_string()))?;
            let client = self.dialect.open(stream.clone(), &self.to).await?;
            Ok::<_, OpenError>((stream, client))
        })
        .await;
        let now = Instant::now();
        {
            let mut state = self.state.borrow_mut();
            state.pending -= 1;
            if let Ok(Ok((stream, client))) = opened {
                state.failures = 0;
                state.retry = None;
                if !state.draining {
                    state.idle.push(Conn {
                        client,
                        stream,
                        prepared: Set::default(),
                        used: now,
                        checked: now,
                        counted: (0, 0),
                    });
                }
            } else if let (Ok(Err(OpenError::Full)), Some(found)) = (&opened, &mut state.found) {
                found.connections.record_rejected(now);
                state.retry = Some(now + CROWDED.mul_f64(rand::rng().random_range(0.5..1.5)));
            } else {
                let longest = (BACKOFF.0 * (1 << state.failures.min(5))).min(BACKOFF.1);
                state.failures += 1;
                state.retry = Some(now + longest.mul_f64(rand::rng().random_range(0.5..1.0)));
            }
        }
        if !self.is_usable(now) {
            self.refuse_waiting();
        }
        self.dispatch(now);
    }

    /// Sends all waiting requests away, so that they look for another member.
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

    /// Closes the idle connections, because the member or the path to it failed.
    pub fn close_idle(&self) {
        let idle = std::mem::take(&mut self.state.borrow_mut().idle);
        drop(idle);
        self.open.set(i64::from(self.state.borrow().total()));
    }

    /// Cuts the connections that are in use for reads at a replica which went silent. The reads can
    /// run elsewhere instead of waiting for their deadline.
    pub fn abort_reads(&self) {
        let state = self.state.borrow();
        let reads = state.held.values().filter(|held| held.primary.is_none());
        reads.for_each(Held::cut);
    }

    /// Cuts the connections that are in use under a primary of another term than `stable`. Nothing
    /// that they still bring can be acknowledged, and a frozen primary would bring nothing.
    pub fn abort_stale_terms(&self, stable: Option<Term>) {
        let state = self.state.borrow();
        let ended = state
            .held
            .values()
            .filter(|held| held.primary.is_some() && held.primary != stable);
        ended.for_each(Held::cut);
    }

    /// Cuts the connections that were handed out before `time`, because the path that they use
    /// swallows everything while fresh connections work. What runs on them would otherwise wait
    /// for its deadline.
    pub fn abort_older_than(&self, time: Instant) {
        let state = self.state.borrow();
        let old = state.held.values().filter(|held| held.since < time);
        old.for_each(Held::cut);
    }

    /// Stops or resumes new work. Connections in use stay until they are released.
    pub fn drain(&self, draining: bool) {
        let before = std::mem::replace(&mut self.state.borrow_mut().draining, draining);
        if draining && !before {
            self.close_idle();
            self.refuse_waiting();
        }
    }

    /// Periodic work: closes what is idle for too long or over the share, checks idle connections,
    /// forgets requests that gave up.
    pub fn maintain(self: &Rc<Self>, now: Instant) {
        let mut closing = Vec::new();
        let mut checking = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            state.queue.retain(|sender| !sender.is_canceled());
            if now.saturating_duration_since(state.window) >= PEAK {
                state.peaks = (count(state.held.len()), state.peaks.0);
                state.window = now;
            }
            let base = state.share.base();
            let mut total = state.total();
            let mut kept = Vec::new();
            for conn in std::mem::take(&mut state.idle) {
                let idle = now.saturating_duration_since(conn.used);
                let limit = match &state.found {
                    Some(_) if total > base.max(1) => IDLE_SPARE,
                    Some(_) => IDLE_FOUND,
                    None if total > base => IDLE_LENT,
                    None => IDLE,
                };
                if idle >= limit || total > state.target(now) {
                    total -= 1;
                    closing.push(conn);
                } else if idle >= CHECK_AFTER && now - conn.checked >= CHECK_AFTER {
                    checking.push(conn);
                } else {
                    kept.push(conn);
                }
            }
            state.idle = kept;
            state.pending += count(checking.len());
            let limit = match &state.found {
                // The database itself refuses what it has no room for.
                Some(_) => u32::MAX,
                None => state.share.limit(now, MARGIN),
            };
            let over = total.saturating_sub(limit);
            for held in state.held.values().take(over as usize) {
                held.cut();
            }
        }
        drop(closing);
        for conn in checking {
            compio::runtime::spawn(Rc::clone(self).check(conn)).detach();
        }
        self.dispatch(now);
    }

    /// Checks an idle connection with an empty exchange that uses no slot.
    async fn check(self: Rc<Self>, mut conn: Conn<D::Client>) {
        let answer = compio::time::timeout(OPEN, conn.client.check()).await;
        let now = Instant::now();
        {
            let mut state = self.state.borrow_mut();
            state.pending -= 1;
            if matches!(answer, Ok(true)) && !state.draining {
                conn.checked = now;
                state.idle.insert(0, conn);
            }
        }
        self.dispatch(now);
    }

    /// State for the dump.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Value {
        let state = self.state.borrow();
        json!({
            "idle": state.idle.len(),
            "held": state.held.len(),
            "pending": state.pending,
            "waiting": state.queue.len(),
            "target": state.target(now),
            "limit": state.share.limit(now, MARGIN),
            "slots": state.statements(now),
            "draining": state.draining,
            "failures": state.failures,
        })
    }

    fn count_bytes(&self, conn: &mut Conn<D::Client>) {
        if let Some((sent, received)) = &self.region {
            let totals = conn.client.traffic();
            sent.inc_by(totals.0 - conn.counted.0);
            received.inc_by(totals.1 - conn.counted.1);
            conn.counted = totals;
        }
    }
}

/// A connection that is held for one request or transaction.
#[derive(Debug)]
pub struct PooledConn<D: Dialect = Postgres> {
    pool: Rc<Pool<D>>,
    id: u64,
    conn: Option<Conn<D::Client>>,
    primary: Option<Term>,
    touched: bool,
    taken: Instant,
    /// Whether it serves a transaction, whose caller takes most of the time.
    pinned: bool,
}

impl<D: Dialect> PooledConn<D> {
    /// Keeps the time that this lease takes out of the mean of statements.
    pub const fn mark_transaction(&mut self) {
        self.pinned = true;
    }

    /// Marks the member as primary of `term`.
    pub(crate) fn set_primary(&mut self, term: Term) {
        self.primary = Some(term);
        let mut state = self.pool.state.borrow_mut();
        if let Some(held) = state.held.get_mut(&self.id) {
            held.primary = Some(term);
        }
    }

    /// Returns the connection to the pool without handing it on.
    fn put_back(&mut self, now: Instant) {
        let Some(mut conn) = self.conn.take() else {
            return;
        };
        self.pool.count_bytes(&mut conn);
        let mut state = self.pool.state.borrow_mut();
        state.held.remove(&self.id);
        let fits = state.found.is_some() || state.total() < state.target(now);
        if fits && !state.draining && !conn.client.has_bytes() {
            conn.used = now;
            state.idle.push(conn);
        }
    }
}

impl<D: Dialect> PooledConn<D> {
    /// Member at the other end.
    #[must_use]
    pub fn member(&self) -> &MemberName {
        &self.pool.to.member
    }

    /// Term of which the member is primary, or `None` for a replica.
    #[must_use]
    pub const fn primary(&self) -> Option<Term> {
        self.primary
    }

    /// Session with the member.
    ///
    /// # Panics
    /// Never: a lease holds its connection until it is released.
    pub fn client(&mut self) -> &mut D::Client {
        self.touched = true;
        &mut self.conn().client
    }

    fn conn(&mut self) -> &mut Conn<D::Client> {
        self.conn
            .as_mut()
            .expect("a lease holds its connection until it is released")
    }

    /// Notes that the database had no room for a statement.
    pub fn record_overload(&self, now: Instant) {
        if let Some(found) = &mut self.pool.state.borrow_mut().found {
            found.statements.record_rejected(now);
        }
    }

    /// Gives the connection back in a clean state.
    pub fn release(mut self) {
        let now = Instant::now();
        {
            let mut state = self.pool.state.borrow_mut();
            let used = state.running(now);
            if let Some(found) = &mut state.found {
                found.statements.record_accepted(used);
            }
        }
        let busy = now.saturating_duration_since(self.taken);
        self.put_back(now);
        if !self.pinned {
            self.pool.state.borrow_mut().queue.record_service_time(busy);
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
        if !self.touched {
            self.put_back(now);
        }
        if let Some(mut conn) = self.conn.take() {
            self.pool.count_bytes(&mut conn);
            self.pool.state.borrow_mut().held.remove(&self.id);
        }
        self.pool.dispatch(now);
    }
}
