//! Management connections to databases.

use std::{net::IpAddr, time::Duration};

use base::{MemberName, Position, StoreId};
use compio::time::timeout;
use serde::Serialize;

/// Longest time for connecting and one statement.
pub const DEADLINE: Duration = Duration::from_secs(1);

/// What a database says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Name.
    pub member: MemberName,
    /// Id of its data directory.
    pub store: StoreId,
    /// Whether it is primary.
    pub primary: bool,
    /// Its position.
    pub position: Position,
    /// Address of the primary that it follows, or empty.
    pub following: String,
}

async fn run(host: IpAddr, address: &str, sql: &str) -> Result<wire::client::Rows, String> {
    let to = address
        .parse()
        .map_err(|_cause| format!("{address} is no ip:port"))?;
    let work = async {
        let stream = base::net::connect(host, to, DEADLINE)
            .await
            .map_err(|e| e.to_string())?;
        let mut client = wire::Client::open(stream, "monitor", "postgres")
            .await
            .map_err(|cause| cause.to_string())?;
        client.query(sql).await.map_err(|cause| cause.to_string())
    };
    let done = timeout(DEADLINE, work).await;
    done.map_err(|_elapsed| format!("no answer from {address} within {DEADLINE:?}"))?
}

/// Reads the status of the database at `address`.
///
/// # Errors
/// It can't be reached within [`DEADLINE`], or its answer can't be read.
pub async fn status(host: IpAddr, address: &str) -> Result<Status, String> {
    let rows = run(host, address, "SHOW upstream_status").await?;
    let row: Option<Vec<String>> = rows
        .into_iter()
        .next()
        .and_then(|row| row.into_iter().collect());
    let Some([member, store, role, term, offset, following]) = row.as_deref() else {
        return Err(format!(
            "{address} answers SHOW upstream_status without six columns"
        ));
    };
    let number = |text: &str| {
        text.parse()
            .map_err(|_cause| format!("{address}: {text} is no number"))
    };
    Ok(Status {
        member: member.clone(),
        store: store.clone(),
        primary: role == "primary",
        position: Position::new(number(term)?, number(offset)?),
        following: following.clone(),
    })
}

/// Sends `PROMOTE` or `FOLLOW` to the database at `address`.
///
/// # Errors
/// It can't be reached within [`DEADLINE`], or refuses.
pub async fn order(host: IpAddr, address: &str, statement: &str) -> Result<(), String> {
    run(host, address, statement).await.map(drop)
}
