//! State of a pool, and which connections it opens and closes for waiting requests.

use std::time::{Duration, Instant};

use base::{Map, Term};
use compio::net::TcpStream;
use order::Queue;
use route::ConnectionShare;
use rustix::net::Shutdown;

use super::{
    GrantSender,
    idle::{Conn, Criteria, Idle, Need, Owner},
    limits::LearnedLimits,
};
use crate::dialect::Dialect;

/// A connection that is held for longer no longer counts as a running statement: it belongs to a
/// transaction, which waits for its caller most of the time.
const MAX_STATEMENT_TIME: Duration = Duration::from_millis(100);
/// An owner takes the room of idle connections of others until it has half of the connections of
/// the pool, and this many at least, so that its transactions don't exclude its other statements.
const LEAST_PART: u32 = 2;
/// Beyond its part, an owner takes only the room of connections that were unused for this long. A
/// shorter time would close those that other owners are about to use again, and each costs a new
/// login.
const EVICT_AFTER: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(super) struct HeldConn {
    pub(super) stream: TcpStream,
    pub(super) owner: Owner,
    pub(super) since: Instant,
    /// Term in which the member is primary; `None` when the connection serves reads at a replica.
    pub(super) primary: Option<Term>,
}

impl HeldConn {
    /// Shuts down the socket of a connection in use. Its holder sees a lost connection.
    pub(super) fn shut_down(&self) {
        let _already_closed = rustix::net::shutdown(&self.stream, Shutdown::Both);
    }
}

/// Request that waits for a connection.
#[derive(Debug)]
pub(super) struct WaitingRequest<D: Dialect> {
    pub(super) criteria: Criteria<D::Client>,
    pub(super) sender: GrantSender<D>,
    /// Held connection that will serve it next and is given the state of its session already.
    pub(super) reservation: Option<Reservation>,
}

/// Reservation of a held connection for a waiting request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reservation {
    /// Id of the held connection.
    pub(super) held: u64,
    /// When the statement that the connection runs was sent.
    pub(super) since: Instant,
}

impl Reservation {
    /// Whether the statement is expected to end soon, so that the request had better wait for this
    /// connection.
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) < MAX_STATEMENT_TIME
    }
}

/// Connections to open for waiting requests.
#[derive(Debug, Default)]
pub(super) struct Opening {
    /// Owner of each connection. All are already counted as pending.
    pub(super) owners: Vec<Owner>,
    /// Number of idle connections of other owners that were closed to make room.
    pub(super) evicted: u32,
    /// Whether a request lacks a connection although the pool was full.
    pub(super) short: bool,
}

#[derive(Debug)]
pub(super) struct State<D: Dialect> {
    pub(super) idle: Idle<D::Client>,
    pub(super) held: Map<u64, HeldConn>,
    /// Connections that are being opened or checked, by owner.
    pub(super) pending: Map<Owner, u32>,
    pub(super) queue: Queue<WaitingRequest<D>>,
    pub(super) share: ConnectionShare,
    pub(super) slots: u32,
    /// Adaptive limits, for dialects that report overload.
    pub(super) learned: Option<LearnedLimits>,
    pub(super) draining: bool,
    pub(super) failures: u32,
    pub(super) retry_at: Option<Instant>,
    pub(super) next_id: u64,
    /// Highest number of connections wanted at the same time, in this and in the last window.
    pub(super) peak_demand: (u32, u32),
    pub(super) window_start: Instant,
}

impl<D: Dialect> State<D> {
    /// Number of connections up to which new ones are opened and idle ones are kept.
    pub(super) fn target(&self, now: Instant) -> u32 {
        match &self.learned {
            Some(learned) => learned.connections.get(),
            None => self.share.target(now),
        }
    }

    /// Number of statements that may run concurrently.
    pub(super) fn statements(&self, now: Instant) -> u32 {
        match &self.learned {
            Some(learned) => learned.statements.get(),
            None => self.share.slots(self.slots, now),
        }
    }

    pub(super) fn update_peak(&mut self) {
        let wanted = count(self.held.len()) + count(self.queue.len());
        self.peak_demand.0 = self.peak_demand.0.max(wanted);
    }

    pub(super) fn total(&self) -> u32 {
        let pending = self.pending.values().sum::<u32>();
        count(self.idle.0.len()) + count(self.held.len()) + pending
    }

    pub(super) fn running_statements(&self, now: Instant) -> u32 {
        let running =
            |held: &&HeldConn| now.saturating_duration_since(held.since) < MAX_STATEMENT_TIME;
        count(self.held.values().filter(running).count())
    }

    pub(super) fn free_slots(&self, now: Instant) -> u32 {
        self.statements(now)
            .saturating_sub(self.running_statements(now))
    }

    /// Whether another statement may start. The running statements are counted only if the number
    /// of connections in use does not decide it.
    pub(super) fn has_free_slot(&self, now: Instant) -> bool {
        count(self.held.len()) < self.statements(now) || self.free_slots(now) > 0
    }

    /// Removes and returns the request that an idle connection serves next. That is the one that the
    /// connection `released` was reserved for; otherwise the first in the queue, but those that a held
    /// connection is about to serve come last. Requests that can't finish in time are passed to
    /// `on_expired`.
    pub(super) fn pop_waiting(
        &mut self,
        now: Instant,
        released: Option<u64>,
        mut on_expired: impl FnMut(GrantSender<D>),
    ) -> Option<WaitingRequest<D>> {
        let Self {
            queue, idle, held, ..
        } = self;
        let rank = |request: &WaitingRequest<D>| match request.reservation {
            Some(own) if Some(own.held) == released => 0,
            Some(own) if held.contains_key(&own.held) && own.is_recent(now) => 2,
            _ => 1,
        };
        (0..=2).find_map(|current| {
            let usable = |request: &WaitingRequest<D>| {
                rank(request) == current && idle.has_usable(&request.criteria)
            };
            queue.pop_if(now, usable, |request| on_expired(request.sender))
        })
    }

    /// Counts a connection of `owner` that is being opened or checked.
    pub(super) fn add_pending(&mut self, owner: &Owner) {
        *self.pending.entry(owner.clone()).or_default() += 1;
    }

    /// Ends [`State::add_pending`].
    pub(super) fn remove_pending(&mut self, owner: &Owner) {
        if let Some(pending) = self.pending.get_mut(owner) {
            *pending -= 1;
            if *pending == 0 {
                self.pending.remove(owner);
            }
        }
    }

    /// Number of owners that have connections.
    pub(super) fn owners(&self) -> usize {
        let idle = self.idle.0.iter().map(|conn| &conn.owner);
        let held = self.held.values().map(|held| &held.owner);
        let owners = idle.chain(held).chain(self.pending.keys());
        owners.collect::<base::Set<_>>().len()
    }

    /// Decides which connections to open. The first waiting requests, as many as slots are free,
    /// get one each: an idle one, one that is being opened, or a new one of their owner. If there
    /// is no room for a new one, idle connections of other owners are closed, those that were
    /// unused for longest first. As this follows the order of the queue, an owner without
    /// connections isn't kept out by owners that always have an idle one.
    pub(super) fn open_missing(&mut self, now: Instant) -> Opening {
        let mut opening = Opening::default();
        if self.queue.is_empty() || self.draining || self.retry_at.is_some_and(|at| now < at) {
            return opening;
        }
        let slots = self.free_slots(now);
        if slots == 0 {
            return opening;
        }
        let target = self.target(now);
        let full = self.total() >= target;
        let first = self.queue.iter(now).take(slots as usize);
        let needs: Vec<Need> = first.map(|request| request.criteria.need.clone()).collect();
        let mut idle: Map<Owner, u32> = Map::default();
        for conn in &self.idle.0 {
            *idle.entry(conn.owner.clone()).or_default() += 1;
        }
        let mut pending = self.pending.clone();
        for need in needs {
            if take_one(&mut idle, &need) || take_one(&mut pending, &need) {
                continue;
            }
            opening.short |= full;
            let owner = need.owner();
            while self.total() >= target && self.evict_for(owner, &mut idle, now).is_some() {
                opening.evicted += 1;
            }
            if self.total() < target {
                self.add_pending(owner);
                opening.owners.push(owner.clone());
            }
        }
        opening
    }

    /// Closes an idle connection of another owner than `owner`, of those counted in `unclaimed`:
    /// those of owners with several go first, and then those of owners without waiting requests.
    /// The only connection of an owner that used it recently is kept if a connection of an owner
    /// with several is about to become idle; its owner would otherwise take that of the next one,
    /// and so on.
    fn evict_for(
        &mut self,
        owner: &Owner,
        unclaimed: &mut Map<Owner, u32>,
        now: Instant,
    ) -> Option<()> {
        let has_several = |other: &Owner| other != owner && self.owned_by(other) > 1;
        let several: Vec<_> = unclaimed
            .keys()
            .filter(|other| has_several(other))
            .cloned()
            .collect();
        let is_running = |held: &HeldConn| {
            now.saturating_duration_since(held.since) < MAX_STATEMENT_TIME
                && has_several(&held.owner)
        };
        let returns_soon =
            self.held.values().any(is_running) || self.pending.keys().any(has_several);
        let has_part = self.owned_by(owner) >= LEAST_PART.max(self.target(now) / 2);
        let Self { idle, queue, .. } = self;
        let replaceable = |conn: &Conn<_>| {
            let other = &conn.owner;
            let keep = has_part || returns_soon && !several.contains(other);
            let recent = now.saturating_duration_since(conn.last_used) < EVICT_AFTER;
            let free = unclaimed.get(other).is_some_and(|number| *number > 0);
            other != owner && free && !(keep && recent)
        };
        let waits = |other: &Owner| {
            queue
                .iter(now)
                .any(|request| request.criteria.need.owner() == other)
        };
        let victim = idle
            .take_oldest(|conn| replaceable(conn) && several.contains(&conn.owner))
            .or_else(|| idle.take_oldest(|conn| replaceable(conn) && !waits(&conn.owner)))
            .or_else(|| idle.take_oldest(replaceable))?;
        unclaimed.get_mut(&victim.owner).map(|number| *number -= 1)
    }

    /// Number of connections of `owner`.
    fn owned_by(&self, owner: &Owner) -> u32 {
        let idle = self.idle.0.iter().filter(|conn| conn.owner == *owner);
        let held = self.held.values().filter(|held| held.owner == *owner);
        let pending = self.pending.get(owner).copied().unwrap_or_default();
        count(idle.count()) + count(held.count()) + pending
    }
}

/// Takes one of the connections in `available` that `need` admits.
fn take_one(available: &mut Map<Owner, u32>, need: &Need) -> bool {
    let mut admitted = available.iter_mut();
    let found = admitted.find(|(owner, number)| **number > 0 && need.admits(owner));
    found.map(|(_, number)| *number -= 1).is_some()
}

pub(super) fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
