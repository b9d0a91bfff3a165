//! Reads what the databases themselves hold.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::Position;

use crate::{caller::Session, checker::Store, error::LabError};

/// How long a database may take to tell its position.
const ANSWER: Duration = Duration::from_secs(5);

fn refused(outcome: &crate::caller::Outcome) -> LabError {
    LabError::Admin(format!("a database refused to be read: {outcome:?}"))
}

/// Reads counters and ledger straight from one database.
///
/// # Errors
/// The database can't be reached or refuses.
pub async fn read(address: SocketAddr, group: &str) -> Result<Store, LabError> {
    let session = Session::open(address, group, None)
        .await
        .map_err(|cause| refused(&cause))?;
    let mut store = Store::default();
    let rows = session
        .simple("SELECT caller, n FROM counter")
        .await
        .map_err(|cause| refused(&cause))?;
    for row in rows {
        let number = |i: usize| row[i].as_deref().and_then(|text| text.parse::<i64>().ok());
        if let (Some(caller), Some(count)) = (number(0), number(1)) {
            store.counters.insert(caller, count);
        }
    }
    let rows = session
        .simple("SELECT id FROM ledger")
        .await
        .map_err(|cause| refused(&cause))?;
    store
        .ledger
        .extend(rows.into_iter().filter_map(|mut row| row.swap_remove(0)));
    Ok(store)
}

/// Position and role that a database reports.
///
/// # Errors
/// The database can't be reached or refuses.
pub async fn position(address: SocketAddr, group: &str) -> Result<(Position, bool), LabError> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("monitor")
        .dbname(group);
    let late = || LabError::Admin(format!("{address} did not answer in {ANSWER:?}"));
    let connecting = tokio::time::timeout(ANSWER, config.connect(tokio_postgres::NoTls));
    let (client, connection) = connecting.await.map_err(|_elapsed| late())??;
    let driving = tokio::spawn(connection);
    let asking = tokio::time::timeout(ANSWER, client.simple_query("SHOW upstream_status"));
    let rows = asking.await;
    driving.abort();
    let rows = rows.map_err(|_elapsed| late())??;
    let row = rows.iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let row = row.ok_or_else(|| LabError::Admin("no upstream status".into()))?;
    let number = |name: &str| {
        row.get(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    };
    let position = Position::new(number("term"), number("offset"));
    Ok((position, row.get("role") == Some("primary")))
}

/// Waits until all databases of a group are at one position.
///
/// Returns whether they are at the end of `limit`.
pub async fn converge(addresses: &[SocketAddr], group: &str, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    loop {
        let mut found = Vec::new();
        for &address in addresses {
            found.push(
                position(address, group)
                    .await
                    .ok()
                    .map(|(position, _)| position),
            );
        }
        if found
            .iter()
            .all(|position| position.is_some() && *position == found[0])
        {
            return true;
        }
        if Instant::now() > end {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
