//! Connection that is held for one request or transaction.

use std::{rc::Rc, time::Instant};

use base::{MemberName, Set, Term};

use super::{Pool, SessionState, idle::Conn};
use crate::{
    dialect::{Client as _, Dialect},
    fleet::Lease,
    postgres::Postgres,
};

/// A connection that is held for one request or transaction.
///
/// Dropping it closes the connection, unless [`PooledConn::client`] was never called.
#[derive(Debug)]
pub struct PooledConn<D: Dialect = Postgres> {
    pub(super) pool: Rc<Pool<D>>,
    pub(super) id: u64,
    pub(super) conn: Option<Conn<D::Client>>,
    pub(super) primary: Option<Term>,
    pub(super) was_used: bool,
    pub(super) acquired_at: Instant,
    /// Whether it serves a transaction, which waits for its caller most of the time.
    pub(super) in_transaction: bool,
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

    /// Reserves this connection for the next waiting request that gains from an early setup, and
    /// returns the state of its session; `None` if there is none. The request gets this connection
    /// once it is released, unless another one serves it first.
    #[must_use]
    pub fn reserve_for_waiting(&self) -> Option<SessionState<D>> {
        self.pool.reserve_for_waiting(self.id, Instant::now())
    }

    /// Returns the connection to the pool, or closes it, without serving the queue.
    pub(super) fn put_back(&mut self, now: Instant) {
        let Some(mut conn) = self.conn.take() else {
            return;
        };
        self.pool.count_bytes(&mut conn);
        let mut state = self.pool.state.borrow_mut();
        state.held.remove(&self.id);
        let has_room = state.learned.is_some() || state.total() < state.target(now);
        if has_room && !state.draining && !conn.client.has_bytes() {
            conn.last_used = now;
            state.idle.0.push(conn);
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
        self.pool.dispatch_released(Some(self.id), now);
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
