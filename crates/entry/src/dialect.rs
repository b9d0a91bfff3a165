//! Interface to the protocol of the databases.

use std::{fmt::Debug, net::IpAddr, rc::Rc};

use compio::net::TcpStream;

use crate::{member::Member, metrics::Metrics};

/// Protocol and capabilities of the databases of a deployment.
pub trait Dialect: Debug + Sized + 'static {
    /// Client of a pooled connection.
    type Client: Client;

    /// Whether connections are bound to a store, so that a member with a changed store is treated as
    /// a new one.
    const BINDS_STORE: bool;

    /// Whether entry processes determine from the positions in statuses which writes enough members
    /// hold.
    const TRACKS_POSITIONS: bool;

    /// Whether databases report immediately that they have no capacity, so that entry processes adapt
    /// their limits to these answers. Otherwise they use fixed shares and connections that the control
    /// hosts lend.
    const REPORTS_OVERLOAD: bool;

    /// Logs in over a new stream.
    fn open(
        &self,
        stream: TcpStream,
        to: &Upstream,
    ) -> impl Future<Output = Result<Self::Client, OpenError>>;

    /// Monitors a member until the returned future is dropped, and records its status and health in
    /// it.
    fn watch(member: Rc<Member<Self>>, from: IpAddr, metrics: Metrics) -> impl Future<Output = ()>;
}

/// Error of [`Dialect::open`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpenError {
    /// The database has no capacity for another connection.
    Full,
    /// Another database than the requested one serves at the address.
    WrongMember(String),
    /// The connection failed, or the database refused it.
    Failed(String),
}

/// Client of a connection that a pool keeps.
pub trait Client: Debug {
    /// State of a caller's session that its statements need on a connection.
    type SessionState: Debug;
    /// Cost of giving the connection the state of a session, to choose among idle connections: 0 if it
    /// has it.
    fn setup_cost(&self, session: &Self::SessionState) -> u32;
    /// Whether a waiting request gains from an early setup: a connection that is given the state while
    /// it still runs another statement.
    fn gains_from_early_setup(session: &Self::SessionState) -> bool;
    /// Whether received data is buffered and unread.
    fn has_bytes(&self) -> bool;
    /// Numbers of bytes sent and received so far.
    fn traffic(&self) -> (u64, u64);
    /// Checks the connection with an exchange that uses no slot; false when it must not be used.
    fn check(&mut self) -> impl Future<Output = bool>;
}

/// Database to which a connection is opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Name of the group.
    pub group: base::GroupName,
    /// Name of the member.
    pub member: base::MemberName,
    /// Expected store; empty while none is known.
    pub store: base::StoreId,
    /// User that the connection is opened for: an organisation or [`OWN_USER`]. At another entry
    /// process it is the digest of the caller's key.
    pub user: String,
}

/// User of connections that are opened for no organisation.
pub const OWN_USER: &str = "goldcrestrail";
