//! Management connections to databases.

use std::{net::IpAddr, time::Duration};

use compio::time::timeout;
use route::{SHOW_STATUS, Status};

/// Longest time for connecting and one statement.
pub const DEADLINE: Duration = Duration::from_secs(1);

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
    let rows = run(host, address, SHOW_STATUS).await?;
    rows.into_iter()
        .next()
        .and_then(Status::parse)
        .ok_or_else(|| format!("the answer of {address} to {SHOW_STATUS} can't be read"))
}

/// Sends `PROMOTE` or `FOLLOW` to the database at `address`.
///
/// # Errors
/// It can't be reached within [`DEADLINE`], or refuses.
pub async fn order(host: IpAddr, address: &str, statement: &str) -> Result<(), String> {
    run(host, address, statement).await.map(drop)
}
