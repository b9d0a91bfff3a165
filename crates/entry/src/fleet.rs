//! Interface between callers' sessions and the rest of the process: services, members and
//! connections.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use base::{
    MemberName, Position, Term,
    document::Service,
    organisation::{KeyDigest, Organisation},
};
use identity::Refused;

use crate::refusal::Refusal;

/// Freshness and deadline that a read requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadRequirement {
    /// Position that the member must have reached; `None` before the read barrier of the session is
    /// known.
    pub token: Option<Position>,
    /// Age of the data that the caller accepts if no barrier can be obtained.
    pub max_age: Option<Duration>,
    /// When the session began; the position of the barrier must be read after it. By
    /// [`base::clock`].
    pub since: Instant,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// A pooled connection to one member, held for one request or transaction.
///
/// Dropping it without [`Lease::release`] closes the connection, so that a connection in an
/// unknown state is never reused.
pub trait Lease {
    /// Name of the member.
    fn member(&self) -> &MemberName;
    /// Term in which the member is primary, or `None` for a replica.
    fn primary(&self) -> Option<Term>;
    /// Protocol client of the connection.
    fn client(&mut self) -> &mut wire::Client;
    /// Names of the statements that are prepared on this connection, also by earlier users.
    fn prepared(&mut self) -> &mut base::Set<String>;
    /// Returns the connection to the pool. It must be idle, without an open transaction or unread
    /// data.
    fn release(self);
}

/// Admission of one operation within the rate limit of its organisation.
pub trait Admitted {
    /// Counts the operation. Must be called right before it is sent to a database.
    ///
    /// # Errors
    /// The operation must not be sent: it waited too long since it was admitted.
    fn count(&mut self) -> Result<(), Refusal>;
}

/// The services, members and connections that this process knows.
///
/// Every wait ends at the deadline of the request, with a refusal that states the reason.
pub trait Fleet: 'static {
    /// Type of the pooled connections.
    type Lease: Lease;
    /// Type of the admissions.
    type Operation: Admitted;

    /// Finds a service of the configuration in force.
    fn service(&self, name: &str) -> Option<Rc<Service>>;

    /// Whether callers need the key of an organisation.
    fn needs_key(&self) -> bool;

    /// Identifies the organisation of a caller that sent `key`; `None` where callers need no key.
    ///
    /// # Errors
    /// The key is missing or unknown, or can't be checked.
    fn identify(&self, key: Option<&KeyDigest>) -> Result<Option<Rc<Organisation>>, Refused>;

    /// Checks that the caller that sent `key` still belongs to the organisation `owner`.
    ///
    /// # Errors
    /// It does not, or its key can't be checked.
    fn confirm_owner(&self, key: Option<&KeyDigest>, owner: Option<&str>) -> Result<(), Refused>;

    /// Admits an operation of the caller's organisation; `None` stands for a caller that needs no key.
    /// An operation is a statement outside transactions or a transaction.
    ///
    /// # Errors
    /// The rate limit of the organisation is reached; nothing has run.
    async fn admit(
        self: &Rc<Self>,
        organisation: Option<&Organisation>,
        deadline: Instant,
    ) -> Result<Self::Operation, Refusal>;

    /// Acquires a connection of the organisation `owner` to a member that is fresh enough for a read,
    /// preferably a replica. `None` stands for a caller that needs no key.
    ///
    /// Returns the position that the session's token must cover from now on: the requested token,
    /// or the barrier that was read for the session.
    ///
    /// # Errors
    /// A refusal that is "not run".
    async fn read(
        &self,
        service: &Service,
        owner: Option<&str>,
        need: ReadRequirement,
    ) -> Result<(Self::Lease, Option<Position>), Refusal>;

    /// Acquires a connection of the organisation `owner` to the primary in force.
    ///
    /// # Errors
    /// A refusal that is "not run".
    async fn write(
        &self,
        service: &Service,
        owner: Option<&str>,
        deadline: Instant,
    ) -> Result<Self::Lease, Refusal>;

    /// Waits until a position that the primary of `term` reported is confirmed by enough members
    /// and the write lease is valid after that. Required before a write is acknowledged and before
    /// the answer of a read at the primary is released.
    ///
    /// # Errors
    /// [`Refusal::OutcomeUnknown`] when the position is not confirmed before the deadline.
    async fn confirm(
        &self,
        service: &Service,
        term: Term,
        position: Position,
        deadline: Instant,
    ) -> Result<(), Refusal>;

    /// Forwards a cancel request for a session of another entry process.
    async fn pass_cancel(&self, pid: i32, secret: i32);

    /// Waits until the graceful stop of this process starts.
    async fn stopping(&self);

    /// Whether the graceful stop of this process has started.
    fn is_stopping(&self) -> bool;
}
