//! How a process talks to the databases of its deployment.

use std::{fmt::Debug, net::IpAddr, rc::Rc};

use compio::net::TcpStream;

use crate::{member::Member, metrics::Metrics};

/// The protocol and the ways of a deployment's databases.
pub trait Dialect: Debug + Sized + 'static {
    /// A pooled connection.
    type Client: Client;

    /// Whether a connection is opened to one store, so that a member whose store changed is another
    /// one.
    const BINDS_STORE: bool;

    /// Whether entry processes learn from the positions in statuses which writes enough members hold.
    const TRACKS_POSITIONS: bool;

    /// Whether databases answer at once that they have no room, so that entry processes find their
    /// limits by trying. Otherwise they keep to shares that control hosts lend.
    const REPORTS_OVERLOAD: bool;

    /// Logs in over a fresh stream.
    ///
    /// The error says why it can't be used.
    fn open(
        &self,
        stream: TcpStream,
        to: &Upstream,
    ) -> impl Future<Output = Result<Self::Client, OpenError>>;

    /// Watches a member until it is dropped, and notes what it learns there.
    fn watch(member: Rc<Member<Self>>, from: IpAddr, metrics: Metrics) -> impl Future<Output = ()>;
}

/// Why a connection can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpenError {
    /// The database has no room for it.
    Full,
    /// It broke, or the database refuses it.
    Failed(String),
}

/// A connection that a pool keeps.
pub trait Client: Debug {
    /// Whether something arrived that was not read.
    fn has_bytes(&self) -> bool;
    /// Bytes sent and received so far.
    fn traffic(&self) -> (u64, u64);
    /// Exchanges something that uses no slot; false when the connection is not in order.
    fn check(&mut self) -> impl Future<Output = bool>;
}

/// A database that a connection is opened to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Group.
    pub group: base::GroupName,
    /// Name.
    pub member: base::MemberName,
    /// Store that is expected there; empty while none is known.
    pub store: base::StoreId,
}
