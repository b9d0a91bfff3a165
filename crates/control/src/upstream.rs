//! Management of databases by control hosts: status queries, and orders that change a database's
//! role.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use base::{GroupName, HostName, MemberName, Position, StoreId, Term};
use compio::time::timeout;
use futures_util::{FutureExt as _, future::LocalBoxFuture};
use route::{SHOW_STATUS, Status};

/// Timeout for connecting and one statement together.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// SQLSTATE at the start of the error text when a database refuses an order because of its state.
pub const REFUSED_SQLSTATE: &str = "55000";

/// Why the status of a database can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatusError {
    /// The address refuses connections: no process serves there.
    Refused(String),
    /// Another database serves at the address.
    Replaced(String),
    /// The database may be running.
    Unknown(String),
}

impl fmt::Display for StatusError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Self::Refused(cause) | Self::Replaced(cause) | Self::Unknown(cause)) = self;
        f.write_str(cause)
    }
}

impl From<String> for StatusError {
    fn from(cause: String) -> Self {
        Self::Unknown(cause)
    }
}

impl From<std::io::Error> for StatusError {
    fn from(error: std::io::Error) -> Self {
        if error.kind() == std::io::ErrorKind::ConnectionRefused {
            Self::Refused(error.to_string())
        } else {
            Self::Unknown(error.to_string())
        }
    }
}

/// Identifies a database and the store that it must have.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Target {
    /// Address, `ip:port`.
    pub address: String,
    /// Group that the member belongs to.
    pub group: GroupName,
    /// Name of the member.
    pub member: MemberName,
    /// Store that the database must have.
    pub store: StoreId,
}

/// Fencing token of a promotion, with the control host that orders it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Fence {
    /// Control host that leads.
    pub holder: HostName,
    /// Term of the control host's leadership, so that no two hosts use the same token.
    pub token: u64,
}

/// An order that changes the role of a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Become primary, if the store is that of the target. If an empty database became primary, the
    /// other databases would discard their logs.
    Promote {
        /// Term to lead.
        term: Term,
        /// Fencing token.
        fence: Fence,
    },
    /// Follow the primary of a term.
    Follow {
        /// Address of the primary.
        primary: String,
        /// Term of the primary.
        term: Term,
    },
}

impl Order {
    /// Parses the text form that control hosts send to each other; `None` when it is not an order.
    ///
    /// ```
    /// use control::upstream::{Fence, Order};
    ///
    /// let fence = Fence { holder: "control-1".into(), token: 7 };
    /// let order = Order::Promote { term: 4, fence };
    /// assert_eq!(order.to_string(), "PROMOTE 4 7 control-1");
    /// assert_eq!(Order::parse("PROMOTE 4 7 control-1"), Some(order));
    /// assert_eq!(Order::parse("PROMOTE"), None);
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (verb, rest) = text.split_once(' ')?;
        let (term, rest) = rest.split_once(' ')?;
        let term = term.parse().ok()?;
        match verb {
            "PROMOTE" => {
                let (token, holder) = rest.split_once(' ')?;
                let fence = Fence {
                    holder: holder.to_owned(),
                    token: token.parse().ok()?,
                };
                Some(Self::Promote { term, fence })
            }
            "FOLLOW" => Some(Self::Follow {
                primary: rest.to_owned(),
                term,
            }),
            _ => None,
        }
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Promote { term, fence } => {
                write!(f, "PROMOTE {term} {} {}", fence.token, fence.holder)
            }
            Self::Follow { primary, term } => write!(f, "FOLLOW {term} {primary}"),
        }
    }
}

/// Outcome of a request to an [`Authority`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The authority will promote the member.
    Accepted,
    /// The authority does not promote this member.
    Refused(String),
    /// The authority got nothing.
    Unsent(String),
    /// The authority may have got the request and may promote the member.
    Unanswered(String),
}

/// Service outside the deployment that promotes databases. It acts some time after a request, and
/// doesn't check that a newer request came before.
pub trait Authority: fmt::Debug {
    /// Requests the promotion of a member, once. `leads` tells whether the caller still leads the
    /// control hosts; it is asked right before the request is sent.
    fn promote<'a>(
        &'a self,
        target: &'a Target,
        fence: &'a Fence,
        leads: &'a dyn Fn() -> bool,
    ) -> LocalBoxFuture<'a, CallOutcome>;
}

/// Management interface of the databases of a deployment.
///
/// Every call ends within [`CALL_TIMEOUT`].
pub trait Databases: fmt::Debug {
    /// Reads the status of a database.
    ///
    /// The error says why the status can't be read.
    fn status<'a>(&'a self, target: &'a Target) -> LocalBoxFuture<'a, Result<Status, StatusError>>;

    /// Sends an order to a database.
    ///
    /// The error starts with [`REFUSED_SQLSTATE`] when the database would refuse a retry as well.
    fn order<'a>(
        &'a self,
        target: &'a Target,
        order: &'a Order,
    ) -> LocalBoxFuture<'a, Result<(), String>>;

    /// Authority that promotes the databases in place of [`Order::Promote`].
    fn authority(&self) -> Option<&dyn Authority> {
        None
    }

    /// Whether replicas find the primary of the newest term by themselves, without an order.
    fn finds_primary(&self) -> bool {
        false
    }

    /// Whether a database may come back at its address with its log but under another name, while
    /// replicas copy only from the primary. See [`crate::failover::with_renamed_primary`].
    fn may_return_renamed(&self) -> bool {
        false
    }

    /// Whether a primary acknowledges a commit as soon as any replica has it, even one that is not
    /// in the group record.
    fn counts_any_replica(&self) -> bool {
        false
    }
}

/// Databases that speak the PostgreSQL protocol, over management connections.
#[derive(Debug, Clone, Copy)]
pub struct Postgres {
    /// Source address of the connections.
    pub host: IpAddr,
}

impl Databases for Postgres {
    fn status<'a>(&'a self, target: &'a Target) -> LocalBoxFuture<'a, Result<Status, StatusError>> {
        let address = &target.address;
        let work = async move {
            let mut client = connect(self.host, address).await?;
            Ok(read_status(&mut client, address).await?)
        };
        with_timeout(address, work).boxed_local()
    }

    /// Checks the store on the same connection that then sends the order. A connection does not
    /// outlive the database process, so the disk can't be replaced in between.
    fn order<'a>(
        &'a self,
        target: &'a Target,
        order: &'a Order,
    ) -> LocalBoxFuture<'a, Result<(), String>> {
        let address = &target.address;
        let work = async move {
            let mut client = connect(self.host, address)
                .await
                .map_err(|cause| cause.to_string())?;
            let statement = match order {
                Order::Promote { term, .. } => {
                    let store = read_status(&mut client, address).await?.store;
                    if store != target.store {
                        return Err(format!(
                            "{REFUSED_SQLSTATE}: {address} has store {store} instead of {}",
                            target.store
                        ));
                    }
                    format!("PROMOTE TERM {term}")
                }
                Order::Follow { primary, term } => format!("FOLLOW '{primary}' TERM {term}"),
            };
            query(&mut client, &statement).await.map(drop)
        };
        with_timeout(address, work).boxed_local()
    }
}

/// Parses the address of a database.
///
/// # Errors
/// The text is not `ip:port`.
pub fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_cause| format!("{text} is no ip:port"))
}

async fn connect(host: IpAddr, text: &str) -> Result<wire::Client, StatusError> {
    let stream = base::net::connect(host, parse_address(text)?, CALL_TIMEOUT).await?;
    let opened = wire::Client::open(stream, "monitor", "postgres").await;
    Ok(opened.map_err(|cause| cause.to_string())?)
}

async fn query(client: &mut wire::Client, sql: &str) -> Result<wire::client::Rows, String> {
    client.query(sql).await.map_err(|cause| cause.to_string())
}

/// Runs `work`, with an error when it takes longer than [`CALL_TIMEOUT`].
///
/// # Errors
/// `work` fails or times out.
pub async fn with_timeout<T, E: From<String>>(
    address: &str,
    work: impl Future<Output = Result<T, E>>,
) -> Result<T, E> {
    let done = timeout(CALL_TIMEOUT, work).await;
    done.map_err(|_elapsed| format!("no answer from {address} within {CALL_TIMEOUT:?}"))?
}

async fn read_status(client: &mut wire::Client, address: &str) -> Result<Status, String> {
    parse_status(query(client, SHOW_STATUS).await?, address)
}

fn parse_status(rows: wire::client::Rows, address: &str) -> Result<Status, String> {
    rows.into_iter()
        .next()
        .and_then(Status::parse)
        .ok_or_else(|| format!("the answer of {address} to {SHOW_STATUS} can't be read"))
}

/// Returns `position` with the term that the database is in, which may be newer than the
/// term of its last commit.
#[must_use]
pub fn position_in_term(term: Term, position: Position) -> Position {
    Position::new(term.max(position.term), position.offset)
}
