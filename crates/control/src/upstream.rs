//! Databases as control hosts use them: their status, and orders that change their role.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use base::{GroupName, HostName, MemberName, Position, StoreId, Term};
use compio::time::timeout;
use futures_util::{FutureExt as _, future::LocalBoxFuture};
use route::{SHOW_STATUS, Status};

/// Longest time for connecting and one statement.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Beginning of the cause when a database refuses an order for its state.
pub const REFUSED_SQLSTATE: &str = "55000";

/// A database as it is addressed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Target {
    /// Address, `ip:port`.
    pub address: String,
    /// Group.
    pub group: GroupName,
    /// Name.
    pub member: MemberName,
    /// Store that must be there.
    pub store: StoreId,
}

/// Who orders a promotion.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Fence {
    /// Control host that leads.
    pub holder: HostName,
    /// Fencing token: the term of its leadership, so that no two hosts have the same.
    pub token: u64,
}

/// An order that changes the role of a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Become primary, if the store is the one of the target: an empty database that became primary
    /// would make the others discard their logs.
    Promote {
        /// Term to lead.
        term: Term,
        /// Who orders it.
        fence: Fence,
    },
    /// Follow the primary of a term.
    Follow {
        /// Address of the primary.
        primary: String,
        /// Its term.
        term: Term,
    },
}

impl Order {
    /// Reads the form in which control hosts pass an order on; `None` when it is no order.
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

/// How a deployment's databases are managed.
///
/// Every call ends within [`CALL_TIMEOUT`].
pub trait Databases: fmt::Debug {
    /// Reads the status of a database.
    ///
    /// The error says why it can't be reached or read.
    fn status<'a>(&'a self, target: &'a Target) -> LocalBoxFuture<'a, Result<Status, String>>;

    /// Gives an order.
    ///
    /// The cause of an error begins with [`REFUSED_SQLSTATE`] when a repetition is refused as well.
    fn order<'a>(
        &'a self,
        target: &'a Target,
        order: &'a Order,
    ) -> LocalBoxFuture<'a, Result<(), String>>;

    /// Whether replicas find the primary of the newest term without an order.
    fn finds_primary(&self) -> bool {
        false
    }

    /// Whether a database may return at its address with its log under another name, while replicas
    /// copy from nobody but the primary. See [`crate::judge::resumed`].
    fn may_return_renamed(&self) -> bool {
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
    fn status<'a>(&'a self, target: &'a Target) -> LocalBoxFuture<'a, Result<Status, String>> {
        let address = &target.address;
        let work = async move { read(&mut open(self.host, address).await?, address).await };
        with_timeout(address, work).boxed_local()
    }

    /// The store is read on the connection that then carries the order. A connection does not
    /// outlive the process of the database, so the disk can't be replaced in between.
    fn order<'a>(
        &'a self,
        target: &'a Target,
        order: &'a Order,
    ) -> LocalBoxFuture<'a, Result<(), String>> {
        let address = &target.address;
        let work = async move {
            let mut client = open(self.host, address).await?;
            let statement = match order {
                Order::Promote { term, .. } => {
                    let found = read(&mut client, address).await?.store;
                    if found != target.store {
                        return Err(format!(
                            "{REFUSED_SQLSTATE}: {address} has store {found} instead of {}",
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
/// It is none.
pub fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_cause| format!("{text} is no ip:port"))
}

async fn open(host: IpAddr, text: &str) -> Result<wire::Client, String> {
    let stream = base::net::connect(host, parse_address(text)?, CALL_TIMEOUT)
        .await
        .map_err(|e| e.to_string())?;
    wire::Client::open(stream, "monitor", "postgres")
        .await
        .map_err(|cause| cause.to_string())
}

async fn query(client: &mut wire::Client, sql: &str) -> Result<wire::client::Rows, String> {
    client.query(sql).await.map_err(|cause| cause.to_string())
}

/// Ends `work` with an error when it takes longer than [`CALL_TIMEOUT`].
///
/// # Errors
/// Those of the work, and the elapsed time.
pub async fn with_timeout<T>(
    address: &str,
    work: impl Future<Output = Result<T, String>>,
) -> Result<T, String> {
    let done = timeout(CALL_TIMEOUT, work).await;
    done.map_err(|_elapsed| format!("no answer from {address} within {CALL_TIMEOUT:?}"))?
}

async fn read(client: &mut wire::Client, address: &str) -> Result<Status, String> {
    parse(query(client, SHOW_STATUS).await?, address)
}

fn parse(rows: wire::client::Rows, address: &str) -> Result<Status, String> {
    rows.into_iter()
        .next()
        .and_then(Status::parse)
        .ok_or_else(|| format!("the answer of {address} to {SHOW_STATUS} can't be read"))
}

/// Position with the term that a database is in, which may be newer than that of its last commit.
#[must_use]
pub fn position_in_term(term: Term, held: Position) -> Position {
    Position::new(term.max(held.term), held.offset)
}
