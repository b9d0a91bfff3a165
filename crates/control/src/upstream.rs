//! Management connections to databases.

use std::{fmt, net::IpAddr, time::Duration};

use base::StoreId;
use compio::time::timeout;
use route::{SHOW_STATUS, Status};

/// Longest time for connecting and one statement.
pub const DEADLINE: Duration = Duration::from_secs(1);

/// Beginning of the cause when a database refuses an order for its state.
pub const REFUSED: &str = "55000";

/// A management statement that changes the role of a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// `PROMOTE` or `FOLLOW`.
    pub statement: String,
    /// Store that must be there. An empty database that became primary would make the others
    /// discard their logs, so a `PROMOTE` always names one.
    pub store: Option<StoreId>,
}

impl Order {
    /// Reads the form in which control hosts pass an order on; `None` when it is no order.
    ///
    /// ```
    /// use control::upstream::Order;
    ///
    /// let order = Order::parse("STORE 's1' PROMOTE TERM 4").unwrap();
    /// assert_eq!(order.store.as_deref(), Some("s1"));
    /// assert_eq!(order.to_string(), "STORE 's1' PROMOTE TERM 4");
    /// assert_eq!(Order::parse("PROMOTE TERM 4"), None);
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (store, statement) = match text.strip_prefix("STORE '") {
            Some(rest) => {
                let (store, statement) = rest.split_once("' ")?;
                (Some(store.to_owned()), statement)
            }
            None => (None, text),
        };
        let promotes = statement.starts_with("PROMOTE ") && store.is_some();
        (promotes || statement.starts_with("FOLLOW ")).then(|| Self {
            statement: statement.to_owned(),
            store,
        })
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(store) = &self.store {
            write!(f, "STORE '{store}' ")?;
        }
        f.write_str(&self.statement)
    }
}

async fn open(host: IpAddr, address: &str) -> Result<wire::Client, String> {
    let to = address
        .parse()
        .map_err(|_cause| format!("{address} is no ip:port"))?;
    let stream = base::net::connect(host, to, DEADLINE)
        .await
        .map_err(|e| e.to_string())?;
    wire::Client::open(stream, "monitor", "postgres")
        .await
        .map_err(|cause| cause.to_string())
}

async fn query(client: &mut wire::Client, sql: &str) -> Result<wire::client::Rows, String> {
    client.query(sql).await.map_err(|cause| cause.to_string())
}

async fn in_time<T>(
    address: &str,
    work: impl Future<Output = Result<T, String>>,
) -> Result<T, String> {
    let done = timeout(DEADLINE, work).await;
    done.map_err(|_elapsed| format!("no answer from {address} within {DEADLINE:?}"))?
}

async fn read(client: &mut wire::Client, address: &str) -> Result<Status, String> {
    parse(query(client, SHOW_STATUS).await?, address)
}

/// Reads the status of the database at `address`.
///
/// # Errors
/// It can't be reached within [`DEADLINE`], or its answer can't be read.
pub async fn status(host: IpAddr, address: &str) -> Result<Status, String> {
    let work = async { read(&mut open(host, address).await?, address).await };
    in_time(address, work).await
}

fn parse(rows: wire::client::Rows, address: &str) -> Result<Status, String> {
    rows.into_iter()
        .next()
        .and_then(Status::parse)
        .ok_or_else(|| format!("the answer of {address} to {SHOW_STATUS} can't be read"))
}

/// Sends `PROMOTE` or `FOLLOW` to the database at `address`.
///
/// The store is read on the connection that then carries the order. A connection does not outlive
/// the process of the database, so the disk can't be replaced in between.
///
/// # Errors
/// It can't be reached within [`DEADLINE`], or refuses, or has another store; the cause begins
/// with [`REFUSED`] when a repetition is refused as well.
pub async fn order(host: IpAddr, address: &str, order: &Order) -> Result<(), String> {
    let work = async {
        let mut client = open(host, address).await?;
        if let Some(store) = &order.store {
            let found = read(&mut client, address).await?.store;
            if found != *store {
                return Err(format!(
                    "{REFUSED}: {address} has store {found} instead of {store}"
                ));
            }
        }
        query(&mut client, &order.statement).await.map(drop)
    };
    in_time(address, work).await
}
