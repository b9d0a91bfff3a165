//! Health checks of a member over pooled connections.
//!
//! Connections are scarce, so none is reserved for health checks. Responses to callers' statements
//! show that a member is alive. A primary without recent responses is probed with a statement that
//! uses no execution slot, a replica by a connection attempt to its address. The status is queried
//! when it is old, or when the health or the role of the member is in question. If a probe gets no
//! response, a connection attempt tells a busy member, which still accepts connections, from one
//! that is down.

use std::{
    io,
    net::IpAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::time::{timeout, timeout_at};
use entry::{
    dialect::{Client as _, Dialect},
    member::Member,
    metrics::Metrics,
    pool::PoolError,
};
use rand::RngExt as _;

use crate::statement::{Statement, StatementClient};

/// A primary is probed after it sent no response for this long, so that its loss is detected within
/// about a second.
const PROBE_PRIMARY_AFTER: Duration = Duration::from_millis(400);
/// As [`PROBE_PRIMARY_AFTER`], for a replica. It can be longer because a read that fails on a dead
/// replica is retried on another member.
const PROBE_REPLICA_AFTER: Duration = Duration::from_millis(1_500);
/// Age at which the status is queried again even if it matches the role in the group record.
const STATUS_MAX_AGE: Duration = Duration::from_secs(15);
/// Interval of the check whether a probe is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of probes while the member is failing or its role differs from the group record.
const FAST_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Limit on one probe, including the wait for a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// If a member accepts new connections but sent no response on the existing ones for this long, the
/// existing ones are considered lost.
const STALE_CONNECTIONS_AFTER: Duration = Duration::from_millis(1_500);
/// If a member accepts connections but sends no response on any of them for this long, it is
/// considered failed. The limit allows for databases that reject new connections for some seconds
/// after a power loss because they are at their connection limit.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(6);
/// Limit on a connection attempt to a member's address: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Kind of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probe {
    /// Queries the status.
    Status,
    /// Checks whether the member responds.
    Liveness,
    /// Checks whether the address accepts connections. Needs no pooled connection, so none is kept
    /// open for a member that is not in use.
    Address,
}

/// Result of a probe.
enum ProbeOutcome {
    /// The member returned its status.
    Status(route::Status),
    /// The member responded.
    Alive,
    /// The connection failed; the member may accept another one.
    ConnectionLost,
    /// No response or no connection in time; a connection attempt decides about the health.
    NoResponse,
}

/// Checks the health of a member until the future is dropped.
pub async fn watch<D: Dialect>(member: Rc<Member<D>>, from: IpAddr, metrics: Metrics)
where
    D::Client: StatementClient,
{
    let mut probe = Probe::Status;
    loop {
        let (sent, sampled) = (Instant::now(), base::clock::now());
        let result = match run_probe(&member, probe).await {
            ProbeOutcome::Status(status) => {
                member.record_status(status, sampled);
                "ok"
            }
            ProbeOutcome::Alive => "ok",
            ProbeOutcome::ConnectionLost => {
                member.pool.close_idle();
                "lost"
            }
            ProbeOutcome::NoResponse => {
                let now = Instant::now();
                if let Some(refused) = connect_failure(&member, from).await {
                    member.record_failure(refused);
                    if refused { "refused" } else { "silent" }
                } else {
                    let unresponsive =
                        member.position().is_some() && member.health(now).1 > UNRESPONSIVE_AFTER;
                    if unresponsive {
                        member.record_failure(false);
                    } else {
                        member.record_reachable();
                    }
                    if probe == Probe::Address {
                        member.record_response(None, now);
                    } else if member.health(now).1 > STALE_CONNECTIONS_AFTER {
                        // The existing connections no longer get responses.
                        member.pool.close_idle();
                        member.pool.abort_older_than(sent);
                    }
                    if probe == Probe::Address {
                        "ok"
                    } else {
                        "slow"
                    }
                }
            }
        };
        metrics.probes.with_label_values(&[result]).inc();
        if result != "ok" {
            pause(FAST_PROBE_INTERVAL).await;
        }
        probe = loop {
            if let Some(probe) = due_probe(&member, Instant::now()) {
                break probe;
            }
            pause(POLL_INTERVAL).await;
        };
    }
}

/// Sleeps for `time`, scaled by a jitter of 0.8 to 1.2.
async fn pause(time: Duration) {
    compio::time::sleep(time.mul_f64(rand::rng().random_range(0.8..1.2))).await;
}

/// Returns the probe that is due now, if any.
fn due_probe<D: Dialect>(member: &Member<D>, now: Instant) -> Option<Probe> {
    let Some((status, read)) = member.status() else {
        return Some(Probe::Status);
    };
    let age = base::clock::now().saturating_duration_since(read);
    let record = member.group.in_force();
    let leads = record
        .as_ref()
        .is_some_and(|record| record.primary == member.name);
    let role_differs = record.is_some_and(|record| {
        leads != status.primary || (leads && status.position.term != record.term)
    });
    let (health, since) = member.health(now);
    let failed = health != route::Health::Ok;
    if age >= STATUS_MAX_AGE || failed || (role_differs && age >= FAST_PROBE_INTERVAL) {
        return Some(Probe::Status);
    }
    let limit = if leads {
        PROBE_PRIMARY_AFTER
    } else {
        PROBE_REPLICA_AFTER
    };
    let probe = if leads {
        Probe::Liveness
    } else {
        Probe::Address
    };
    (since >= limit).then_some(probe)
}

async fn run_probe<D: Dialect>(member: &Rc<Member<D>>, probe: Probe) -> ProbeOutcome
where
    D::Client: StatementClient,
{
    if probe == Probe::Address {
        // The connection attempt for a missing response is the whole probe.
        return ProbeOutcome::NoResponse;
    }
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let mut connection = match member.pool.acquire_any(deadline).await {
        Ok(connection) => connection,
        Err(PoolError::Full | PoolError::Deadline | PoolError::Closed) => {
            return ProbeOutcome::NoResponse;
        }
    };
    if probe == Probe::Liveness {
        return match timeout_at(deadline, connection.client().check()).await {
            Ok(true) => {
                connection.release();
                member.record_response(None, Instant::now());
                ProbeOutcome::Alive
            }
            Ok(false) => ProbeOutcome::ConnectionLost,
            Err(_elapsed) => ProbeOutcome::NoResponse,
        };
    }
    let query = connection.client().run(&Statement::Status);
    let response = match timeout_at(deadline, query).await {
        Ok(Ok(response)) => response,
        Ok(Err(_error)) => return ProbeOutcome::ConnectionLost,
        Err(_elapsed) => return ProbeOutcome::NoResponse,
    };
    connection.release();
    member.record_response(response.position, Instant::now());
    // A response without a status means that the member is busy, but alive.
    D::Client::status(&response).map_or(ProbeOutcome::Alive, |status| {
        ProbeOutcome::Status(route::Status {
            member: member.name.clone(),
            store: member.store.clone(),
            primary: status.primary,
            position: status.position(),
            following: String::new(),
        })
    })
}

/// Tries to connect to a member's address. `None` means that the connection was accepted,
/// `Some(true)` that it was refused, `Some(false)` that there was no response.
async fn connect_failure<D: Dialect>(member: &Member<D>, from: IpAddr) -> Option<bool> {
    let connect = base::net::connect(from, member.address, CONNECT_TIMEOUT);
    match timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(_stream)) => None,
        Ok(Err(cause)) => Some(matches!(
            cause.kind(),
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
        )),
        Err(_elapsed) => Some(false),
    }
}
