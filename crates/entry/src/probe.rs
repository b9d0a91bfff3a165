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

/// Time between probes while nothing waits.
const INTERVAL: Duration = Duration::from_millis(250);
/// Limit on one probe, the connection included.
const DEADLINE: Duration = Duration::from_secs(1);
/// First and longest pause between urgent probes that bring nothing new. Without a pause a replica
/// that lags would be asked as fast as it can answer.
const PAUSE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(16));
/// Pause after a failed probe, however urgent, with jitter from half to one and a half.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time that an unanswered probe still has once a fresh connection works. A member that was frozen
/// answers both; a path that lost track of its connections answers the fresh one only.
const GRACE: Duration = Duration::from_millis(300);
/// User of management connections.
const MONITOR: &str = "monitor";

enum Fault {
    Refused,
    Silent,
    /// The connection ended; the address may still accept a fresh one.
    Lost,
}

pub(crate) async fn probe(member: Rc<Member>, from: IpAddr, metrics: Metrics) {
    let count = |result| metrics.probes.with_label_values(&[result]).inc();
    let mut client = None;
    let mut pause = Duration::ZERO;
    let mut watched = true;
    // A connection whose probe was not answered, and when that was noticed.
    let mut unanswered: Option<(wire::Client, Instant)> = None;
    loop {
        let sent = Instant::now();
        let fresh = client.is_none();
        let asked = compio::time::timeout(DEADLINE, ask(&mut client, from, &member)).await;
        let fault = match asked {
            Ok(Ok(status)) => {
                count("ok");
                let changed = member.record_status(status, sent);
                pause = if changed {
                    Duration::ZERO
                } else {
                    (pause * 5 / 4).clamp(PAUSE.0, PAUSE.1)
                };
                if let Some((old, noticed)) = unanswered.take() {
                    compio::runtime::spawn(judge_path(Rc::clone(&member), old, noticed)).detach();
                }
                None
            }
            Ok(Err(Fault::Lost)) if !fresh => Some(Fault::Lost),
            Ok(Err(Fault::Refused | Fault::Lost)) => Some(Fault::Refused),
            Ok(Err(Fault::Silent)) | Err(_) => Some(Fault::Silent),
        };
        match fault {
            None => {
                // A member that sends something unasked after every probe is not asked more often.
                let idle = client.as_ref().filter(|_| watched);
                watched = !wait(&member, pause, idle).await;
            }
            Some(fault) => {
                let old = client.take();
                match fault {
                    Fault::Lost => {
                        count("lost");
                        member.pool.close_idle();
                    }
                    Fault::Refused => {
                        count("refused");
                        member.record_failure(true);
                        retry_pause().await;
                    }
                    Fault::Silent => {
                        count("silent");
                        member.record_failure(false);
                        if let Some(old) = old.filter(|_| !fresh) {
                            unanswered = Some((old, Instant::now()));
                        }
                        retry_pause().await;
                    }
                }
            }
        }
    }
}

/// Cuts the connections in use from before `noticed` when the probe on `old` stays unanswered
/// although a fresh connection works.
async fn judge_path(member: Rc<Member>, mut old: wire::Client, noticed: Instant) {
    let answer = compio::time::timeout(GRACE, old.frame()).await;
    if !matches!(answer, Ok(Ok(_))) {
        member.pool.abort_older_than(noticed);
    }
}

async fn retry_pause() {
    let jitter = rand::rng().random_range(0.5..1.5);
    compio::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
}

/// Waits for the next probe: the interval, or less when something waits for this member or the
/// connection `idle` ends. Returns whether the connection ended or brought something.
async fn wait(member: &Member, pause: Duration, idle: Option<&wire::Client>) -> bool {
    if member.group.wants_probe(member.is_primary()) {
        if !pause.is_zero() {
            let urgent = member.group.listen_probe_requests();
            let _elapsed = compio::time::timeout(pause, urgent).await;
        }
        return false;
    }
    let end = Instant::now() + INTERVAL;
    let news = pin!(async {
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
    let woken = compio::time::timeout_at(end, select(news, urgent)).await;
    matches!(woken, Ok(Either::Left(_)))
}

async fn ask(
    client: &mut Option<wire::Client>,
    from: IpAddr,
    member: &Member,
) -> Result<Status, Fault> {
    let open = if let Some(open) = client {
        open
    } else {
        let stream = base::net::connect(from, member.address, DEADLINE)
            .await
            .map_err(|cause| match cause.kind() {
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => Fault::Refused,
                // An unreachable network tells nothing about the member.
                _ => Fault::Silent,
            })?;
        let opened = wire::Client::open(stream, MONITOR, &member.group.name).await;
        client.insert(opened.map_err(|failure| fault(&failure))?)
    };
    let rows = open
        .query(SHOW_STATUS)
        .await
        .map_err(|failure| fault(&failure))?;
    let status = rows
        .into_iter()
        .next()
        .and_then(Status::parse)
        .ok_or(Fault::Refused)?;
    // Another process took over the address.
    if status.member == member.name {
        Ok(status)
    } else {
        Err(Fault::Refused)
    }
}

fn fault(failure: &Failure) -> Fault {
    match failure {
        Failure::Refused(..) => Fault::Refused,
        Failure::Wire(WireError::Io(cause)) if cause.kind() == io::ErrorKind::TimedOut => {
            Fault::Silent
        }
        Failure::Wire(_) => Fault::Lost,
    }
}
