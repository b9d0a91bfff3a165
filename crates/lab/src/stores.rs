//! Reads data and positions directly from the databases.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::Position;

use crate::{caller::Session, checker::Store, error::LabError};

/// Timeout for a database to connect, and to report its position.
const TIMEOUT: Duration = Duration::from_secs(5);

fn read_error(outcome: &crate::caller::Outcome) -> LabError {
    LabError::Admin(format!("can't read a database: {outcome:?}"))
}

/// Reads the counters and the ledger directly from one database.
///
/// # Errors
/// The database can't be reached or refuses the request.
pub async fn read(address: SocketAddr, group: &str) -> Result<Store, LabError> {
    let session = Session::open(address, group, None)
        .await
        .map_err(|cause| read_error(&cause))?;
    let mut store = Store::default();
    let rows = session
        .simple("SELECT caller, n FROM counter")
        .await
        .map_err(|cause| read_error(&cause))?;
    for row in rows {
        let number = |i: usize| row[i].as_deref().and_then(|text| text.parse::<i64>().ok());
        if let (Some(caller), Some(count)) = (number(0), number(1)) {
            store.counters.insert(caller, count);
        }
    }
    let rows = session
        .simple("SELECT id FROM ledger")
        .await
        .map_err(|cause| read_error(&cause))?;
    store
        .ledger
        .extend(rows.into_iter().filter_map(|mut row| row.swap_remove(0)));
    Ok(store)
}

/// Reads the position of a database, and whether it is primary.
///
/// # Errors
/// The database can't be reached or refuses the request.
pub async fn position(address: SocketAddr, group: &str) -> Result<(Position, bool), LabError> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("monitor")
        .dbname(group);
    let timed_out = || LabError::Admin(format!("{address} did not answer within {TIMEOUT:?}"));
    let connecting = tokio::time::timeout(TIMEOUT, config.connect(tokio_postgres::NoTls));
    let (client, connection) = connecting.await.map_err(|_elapsed| timed_out())??;
    let connection_task = tokio::spawn(connection);
    let query = tokio::time::timeout(TIMEOUT, client.simple_query("SHOW upstream_status"));
    let rows = query.await;
    connection_task.abort();
    let rows = rows.map_err(|_elapsed| timed_out())??;
    let row = rows.iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let row =
        row.ok_or_else(|| LabError::Admin("the answer to SHOW upstream_status has no row".into()))?;
    let number = |name: &str| {
        row.get(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    };
    let position = Position::new(number("term"), number("offset"));
    Ok((position, row.get("role") == Some("primary")))
}

/// Waits until all databases of a group report the same position.
///
/// Returns `false` when they don't within `limit`.
pub async fn wait_converged(addresses: &[SocketAddr], group: &str, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    loop {
        let mut positions = Vec::new();
        for &address in addresses {
            positions.push(
                position(address, group)
                    .await
                    .ok()
                    .map(|(position, _)| position),
            );
        }
        if positions
            .iter()
            .all(|position| position.is_some() && *position == positions[0])
        {
            return true;
        }
        if Instant::now() > end {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
