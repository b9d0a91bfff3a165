//! Status probes of a member that speaks the PostgreSQL protocol.

use std::{
    io,
    net::IpAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use rand::RngExt as _;
use route::{SHOW_STATUS, Status};
use wire::{Failure, WireError};

use crate::{member::Member, metrics::Metrics};

/// Time between probes while no request waits for a status.
const INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one probe, including the connection.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest and longest pause between urgent probes whose status does not change. Without a pause a
/// lagging replica would be probed as fast as it can answer.
const REPEAT_PAUSE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(16));
/// Pause after a failed probe, also if requests wait, with a jitter of 50% in both directions.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time that an unanswered probe still gets after a new connection works. A member that was frozen
/// answers on both connections. If a device on the path lost its connection table, only the new
/// connection gets an answer.
const PATH_GRACE: Duration = Duration::from_millis(300);
/// User of monitoring connections.
const MONITOR: &str = "monitor";

enum ProbeError {
    Refused,
    Silent,
    /// The connection ended; the address may still accept a new one.
    Lost,
}

pub(crate) async fn probe(member: Rc<Member>, from: IpAddr, metrics: Metrics) {
    let count = |result| metrics.probes.with_label_values(&[result]).inc();
    let mut client = None;
    let mut pause = Duration::ZERO;
    let mut watched = true;
    // Connection whose latest probe timed out, with the time of the timeout.
    let mut unanswered: Option<(wire::Client, Instant)> = None;
    loop {
        let sent = base::clock::now();
        let fresh = client.is_none();
        let result = compio::time::timeout(TIMEOUT, read_status(&mut client, from, &member)).await;
        let fault = match result {
            Ok(Ok(status)) => {
                count("ok");
                let changed = member.record_status(status, sent);
                pause = if changed {
                    Duration::ZERO
                } else {
                    (pause * 5 / 4).clamp(REPEAT_PAUSE.0, REPEAT_PAUSE.1)
                };
                if let Some((old, timed_out_at)) = unanswered.take() {
                    compio::runtime::spawn(check_path(Rc::clone(&member), old, timed_out_at))
                        .detach();
                }
                None
            }
            Ok(Err(ProbeError::Lost)) if !fresh => Some(ProbeError::Lost),
            Ok(Err(ProbeError::Refused | ProbeError::Lost)) => Some(ProbeError::Refused),
            Ok(Err(ProbeError::Silent)) | Err(_) => Some(ProbeError::Silent),
        };
        match fault {
            None => {
                // After unsolicited data the connection is not watched for data during one pause, so
                // that a member that sends some after every probe is not probed more often.
                let idle = client.as_ref().filter(|_| watched);
                watched = !wait_next(&member, pause, idle).await;
            }
            Some(fault) => {
                let old = client.take();
                match fault {
                    ProbeError::Lost => {
                        count("lost");
                        member.pool.close_idle();
                    }
                    ProbeError::Refused => {
                        count("refused");
                        member.record_failure(true);
                        pause_before_retry().await;
                    }
                    ProbeError::Silent => {
                        count("silent");
                        member.record_failure(false);
                        if let Some(old) = old.filter(|_| !fresh) {
                            unanswered = Some((old, Instant::now()));
                        }
                        pause_before_retry().await;
                    }
                }
            }
        }
    }
}

/// Shuts down the pool's connections that were handed out before `timed_out_at`, if the probe on
/// `old` stays unanswered although a new connection works.
async fn check_path(member: Rc<Member>, mut old: wire::Client, timed_out_at: Instant) {
    let answer = compio::time::timeout(PATH_GRACE, old.frame()).await;
    if !matches!(answer, Ok(Ok(_))) {
        member.pool.abort_older_than(timed_out_at);
    }
}

async fn pause_before_retry() {
    let jitter = rand::rng().random_range(0.5..1.5);
    compio::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
}

/// Waits until the next probe is due: after the interval, or earlier if a request waits for this
/// member or the connection `idle` becomes readable. Returns whether it became readable, with data
/// or because the connection ended.
async fn wait_next(member: &Member, pause: Duration, idle: Option<&wire::Client>) -> bool {
    if member.group.wants_probe(member.is_primary()) {
        if !pause.is_zero() {
            let urgent = member.group.listen_probe_requests();
            let _elapsed = compio::time::timeout(pause, urgent).await;
        }
        return false;
    }
    let end = Instant::now() + INTERVAL;
    let readable = pin!(async {
        match idle {
            Some(client) => client.reader.readable().await,
            None => std::future::pending().await,
        }
    });
    let urgent = pin!(async {
        loop {
            let urgent = member.group.listen_probe_requests();
            if member.group.wants_probe(member.is_primary()) {
                return;
            }
            urgent.await;
        }
    });
    let woken = compio::time::timeout_at(end, select(readable, urgent)).await;
    matches!(woken, Ok(Either::Left(_)))
}

async fn read_status(
    client: &mut Option<wire::Client>,
    from: IpAddr,
    member: &Member,
) -> Result<Status, ProbeError> {
    let connection = if let Some(connection) = client {
        connection
    } else {
        let stream = base::net::connect(from, member.address, TIMEOUT)
            .await
            .map_err(|cause| match cause.kind() {
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                    ProbeError::Refused
                }
                // Other errors, such as an unreachable network, say nothing about the member itself.
                _ => ProbeError::Silent,
            })?;
        let opened = wire::Client::open(stream, MONITOR, &member.group.name).await;
        client.insert(opened.map_err(|failure| classify_failure(&failure))?)
    };
    let rows = connection
        .query(SHOW_STATUS)
        .await
        .map_err(|failure| classify_failure(&failure))?;
    let status = rows
        .into_iter()
        .next()
        .and_then(Status::parse)
        .ok_or(ProbeError::Refused)?;
    // Another process may have taken over the address.
    if status.member == member.name {
        Ok(status)
    } else {
        Err(ProbeError::Refused)
    }
}

fn classify_failure(failure: &Failure) -> ProbeError {
    match failure {
        Failure::Refused(..) => ProbeError::Refused,
        Failure::Wire(WireError::Io(cause)) if cause.kind() == io::ErrorKind::TimedOut => {
            ProbeError::Silent
        }
        Failure::Wire(_) => ProbeError::Lost,
    }
}
