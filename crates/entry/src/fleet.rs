//! What a caller's session needs from the rest of the process: services, members and connections.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use base::{MemberName, Position, Term, document::Service};

use crate::refusal::Refusal;

/// How fresh a read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadRequirement {
    /// Position that the member must cover; `None` before the barrier of a session is known.
    pub token: Option<Position>,
    /// Age that the caller accepts when no barrier can be had.
    pub max_age: Option<Duration>,
    /// When the session began; a barrier must be read after it.
    pub since: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// A pooled connection to one member, held for one request or transaction.
///
/// Dropping it without [`Lease::release`] closes the connection, so that a connection in an
/// unknown state is never used again.
pub trait Lease {
    /// Member at the other end.
    fn member(&self) -> &MemberName;
    /// Term of which the member is primary, or `None` for a replica.
    fn primary(&self) -> Option<Term>;
    /// Session with the member.
    fn client(&mut self) -> &mut wire::Client;
    /// Names of the statements that are prepared on this connection, kept over its reuse.
    fn prepared(&mut self) -> &mut base::Set<String>;
    /// Gives the connection back in a clean state: idle, no open transaction, nothing unread.
    fn release(self);
}

/// Services, members and connections as this process sees them.
///
/// Every wait ends at the deadline of the request with a refusal that says so.
pub trait Fleet: 'static {
    /// Pooled connection.
    type Lease: Lease;

    /// Finds a service of the configuration in force.
    fn service(&self, name: &str) -> Option<Rc<Service>>;

    /// Takes a connection to a member that is fresh enough for a read, a replica if one can serve.
    ///
    /// Returns the position that the session's token must cover from now on: the token asked for,
    /// or the barrier that was read for it.
    ///
    /// # Errors
    /// A refusal that is "not run".
    async fn read(
        &self,
        service: &Service,
        need: ReadRequirement,
    ) -> Result<(Self::Lease, Option<Position>), Refusal>;

    /// Takes a connection to the primary in force.
    ///
    /// # Errors
    /// A refusal that is "not run".
    async fn write(&self, service: &Service, deadline: Instant) -> Result<Self::Lease, Refusal>;

    /// Waits until a position that the primary of `term` reported is confirmed by enough members
    /// and the write lease is valid after that. Needed before a write is acknowledged and before
    /// the answer of a read at the primary is released.
    ///
    /// # Errors
    /// [`Refusal::OutcomeUnknown`] when it can't be confirmed before the deadline.
    async fn confirm(
        &self,
        service: &Service,
        term: Term,
        position: Position,
        deadline: Instant,
    ) -> Result<(), Refusal>;

    /// Passes a cancel request for a session of another entry process on.
    async fn pass_cancel(&self, pid: i32, secret: i32);

    /// Waits until this process is told to stop.
    async fn stopping(&self);

    /// Whether this process was told to stop.
    fn is_stopping(&self) -> bool;
}
