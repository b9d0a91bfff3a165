//! Watching a member over pooled connections.
//!
//! Connections are scarce, so that none is kept for this alone. Answers to callers' statements show
//! that a member lives. A quiet one is asked for something that uses no slot, and its status is read
//! only when its role is in doubt. Whether a member that does not answer is silent is decided by its
//! address: a busy one still accepts connections.

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

use crate::statement::{Statement, Statements};

/// A primary that answered nothing for this long is asked: the loss of a primary is to be noticed
/// within about a second.
const QUIET_PRIMARY: Duration = Duration::from_millis(400);
/// As [`QUIET_PRIMARY`], for a replica: a read that finds it dead can go elsewhere.
const QUIET_REPLICA: Duration = Duration::from_millis(1_500);
/// A status that shows the recorded role is read again after this time.
const OLD: Duration = Duration::from_secs(15);
/// Time between two looks at whether the member is to be asked.
const LOOK: Duration = Duration::from_millis(100);
/// Time between two questions while something is wrong.
const URGENT: Duration = Duration::from_millis(100);
/// Limit on one question, the wait for a connection included.
const DEADLINE: Duration = Duration::from_millis(400);
/// A member that accepts connections and answered nothing on those in use for this long lost them.
const LOST: Duration = Duration::from_millis(1_500);
/// A member that accepts connections and answers on none of them for this long does not serve. After a
/// loss of power, databases have no room for new connections for some seconds.
const MUTE: Duration = Duration::from_secs(6);
/// Limit on the attempt to reach the address of a member: several round trips between regions.
const REACH: Duration = Duration::from_millis(400);

/// What a member is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Question {
    /// Its status.
    Status,
    /// Whether it answers.
    Life,
    /// Whether its address accepts connections: no connection is kept for a member that is not used.
    Address,
}

/// What a question brought.
enum Outcome {
    Status(route::Status),
    Lives,
    /// The connection broke; the member may accept another one.
    Lost,
    /// There was no answer, or no connection in time.
    Unanswered,
}

/// Watches a member until it is dropped.
pub async fn watch<D: Dialect>(member: Rc<Member<D>>, from: IpAddr, metrics: Metrics)
where
    D::Client: Statements,
{
    let mut question = Question::Status;
    loop {
        let sent = Instant::now();
        let result = match ask(&member, question).await {
            Outcome::Status(status) => {
                member.record_status(status, sent);
                "ok"
            }
            Outcome::Lives => "ok",
            Outcome::Lost => {
                member.pool.close_idle();
                "lost"
            }
            Outcome::Unanswered => {
                let now = Instant::now();
                if let Some(refused) = reach(&member, from).await {
                    member.record_failure(refused);
                    if refused { "refused" } else { "silent" }
                } else {
                    let mute = member.position().is_some() && member.health(now).1 > MUTE;
                    if mute {
                        member.record_failure(false);
                    } else {
                        member.record_reachable();
                    }
                    if question == Question::Address {
                        member.record_response(None, now);
                    } else if member.health(now).1 > LOST {
                        // The connections in use have gone silent.
                        member.pool.close_idle();
                        member.pool.abort_older_than(sent);
                    }
                    if question == Question::Address {
                        "ok"
                    } else {
                        "slow"
                    }
                }
            }
        };
        metrics.probes.with_label_values(&[result]).inc();
        if result != "ok" {
            pause(URGENT).await;
        }
        question = loop {
            if let Some(due) = due(&member, Instant::now()) {
                break due;
            }
            pause(LOOK).await;
        };
    }
}

async fn pause(time: Duration) {
    compio::time::sleep(time.mul_f64(rand::rng().random_range(0.8..1.2))).await;
}

/// What a member is to be asked now.
fn due<D: Dialect>(member: &Member<D>, now: Instant) -> Option<Question> {
    let Some((status, read)) = member.status() else {
        return Some(Question::Status);
    };
    let age = now.saturating_duration_since(read);
    let record = member.group.in_force();
    let leads = record
        .as_ref()
        .is_some_and(|record| record.primary == member.name);
    let other = record.is_some_and(|record| {
        leads != status.primary || (leads && status.position.term != record.term)
    });
    let (health, since) = member.health(now);
    let failed = health != route::Health::Ok;
    if age >= OLD || failed || (other && age >= URGENT) {
        return Some(Question::Status);
    }
    let quiet = if leads { QUIET_PRIMARY } else { QUIET_REPLICA };
    let question = if leads {
        Question::Life
    } else {
        Question::Address
    };
    (since >= quiet).then_some(question)
}

async fn ask<D: Dialect>(member: &Rc<Member<D>>, question: Question) -> Outcome
where
    D::Client: Statements,
{
    if question == Question::Address {
        return Outcome::Unanswered;
    }
    let deadline = Instant::now() + DEADLINE;
    let mut lease = match member.pool.acquire(deadline).await {
        Ok(lease) => lease,
        Err(PoolError::Full | PoolError::Deadline | PoolError::Closed) => {
            return Outcome::Unanswered;
        }
    };
    if question == Question::Life {
        return match timeout_at(deadline, lease.client().check()).await {
            Ok(true) => {
                lease.release();
                member.record_response(None, Instant::now());
                Outcome::Lives
            }
            Ok(false) => Outcome::Lost,
            Err(_elapsed) => Outcome::Unanswered,
        };
    }
    let exchange = lease.client().exchange(&[Statement::Status]);
    let answer = match timeout_at(deadline, exchange).await {
        Ok(Ok(mut answers)) => answers.pop(),
        Ok(Err(_broken)) => None,
        Err(_elapsed) => return Outcome::Unanswered,
    };
    let Some(answer) = answer else {
        return Outcome::Lost;
    };
    lease.release();
    member.record_response(answer.position, Instant::now());
    // Without a status it had no room for the question, but it lives.
    D::Client::status(&answer).map_or(Outcome::Lives, |status| {
        Outcome::Status(route::Status {
            member: member.name.clone(),
            store: member.store.clone(),
            primary: status.primary,
            position: status.position(),
            following: String::new(),
        })
    })
}

/// Whether the address refuses connections or is silent; `None` when it accepts them.
async fn reach<D: Dialect>(member: &Member<D>, from: IpAddr) -> Option<bool> {
    let connect = base::net::connect(from, member.address, REACH);
    match timeout(REACH, connect).await {
        Ok(Ok(_stream)) => None,
        Ok(Err(cause)) => Some(matches!(
            cause.kind(),
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
        )),
        Err(_elapsed) => Some(false),
    }
}
