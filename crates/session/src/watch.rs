//! Watching a member whose status is read over pooled connections.
//!
//! Connections are scarce, so that no connection is kept for the status alone. Answers to callers'
//! statements show that a member lives; the status is read on top of them for its role.

use std::{
    io,
    net::IpAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::time::{timeout, timeout_at};
use entry::{dialect::Dialect, member::Member, metrics::Metrics, pool::PoolError};
use rand::RngExt as _;

use crate::statement::{Statement, Statements};

/// A member that answered nothing for this long is asked for its status; a silent primary is noticed
/// within it.
const QUIET: Duration = Duration::from_millis(600);
/// A status that shows the recorded role is read again after this time, whatever else the member
/// answers.
const OLD: Duration = Duration::from_secs(15);
/// Time between two looks at whether the status is to be read.
const LOOK: Duration = Duration::from_millis(200);
/// Time between two reads while something waits for a change of the group.
const URGENT: Duration = Duration::from_millis(100);
/// Limit on one read, the wait for a connection included.
const DEADLINE: Duration = Duration::from_millis(600);
/// A member that accepts connections and answered nothing on those in use for this long lost them.
const LOST: Duration = Duration::from_millis(1_500);
/// Limit on the attempt to reach the address of a member without a usable connection.
const REACH: Duration = Duration::from_millis(500);

/// What a read brought.
enum Outcome {
    Status(route::Status),
    /// The connection broke; the member may accept another one.
    Lost,
    /// It lives and had no room for the question.
    Busy,
    /// There was no answer, or no connection in time.
    Unanswered,
}

/// Watches a member until it is dropped.
pub async fn watch<D: Dialect>(member: Rc<Member<D>>, from: IpAddr, metrics: Metrics)
where
    D::Client: Statements,
{
    loop {
        let sent = Instant::now();
        let result = match read(&member).await {
            Outcome::Status(status) => {
                member.answered(status, sent);
                "ok"
            }
            Outcome::Busy => "busy",
            Outcome::Lost => {
                member.pool.close_idle();
                "lost"
            }
            Outcome::Unanswered => match reach(&member, from).await {
                Some(refused) => {
                    member.failed(refused);
                    if refused { "refused" } else { "silent" }
                }
                // It is slow, or the connections in use have gone silent.
                None => {
                    if member.health(Instant::now()).1 > LOST {
                        member.pool.close_idle();
                        member.pool.cut_before(sent);
                    }
                    "slow"
                }
            },
        };
        metrics.probes.with_label_values(&[result]).inc();
        if result != "ok" {
            pause(URGENT).await;
        }
        while !is_due(&member, Instant::now()) {
            let urgent = timeout(LOOK, member.group.listen_urgent()).await;
            if urgent.is_ok() {
                pause(URGENT).await;
            }
        }
    }
}

async fn pause(time: Duration) {
    compio::time::sleep(time.mul_f64(rand::rng().random_range(0.8..1.2))).await;
}

/// Whether the status of a member is to be read.
fn is_due<D: Dialect>(member: &Member<D>, now: Instant) -> bool {
    let Some((status, read)) = member.status() else {
        return true;
    };
    let quiet = member.health(now).1 >= QUIET;
    let old = now.saturating_duration_since(read) >= OLD;
    let other = member.group.in_force().is_some_and(|record| {
        let leads = record.primary == member.name;
        leads != status.primary || (leads && status.position.term != record.term)
    });
    quiet || old || other && now.saturating_duration_since(read) >= URGENT
}

async fn read<D: Dialect>(member: &Rc<Member<D>>) -> Outcome
where
    D::Client: Statements,
{
    let deadline = Instant::now() + DEADLINE;
    let mut lease = match member.pool.acquire(deadline).await {
        Ok(lease) => lease,
        Err(PoolError::Full | PoolError::Deadline | PoolError::Closed) => {
            return Outcome::Unanswered;
        }
    };
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
    match D::Client::status(&answer) {
        Some(status) => {
            let status = route::Status {
                member: member.name.clone(),
                store: member.store.clone(),
                primary: status.primary,
                position: status.position(),
                following: String::new(),
            };
            Outcome::Status(status)
        }
        // It had no room for the question, but it lives.
        None => {
            member.heard(answer.position, Instant::now());
            Outcome::Busy
        }
    }
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
