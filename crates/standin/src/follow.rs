//! Replica side of replication: receives the primary's log and applies it after the simulated lag.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    fmt,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base::Term;
use event_listener::Event;
use futures_util::future::{Either, select};
use slog::{info, warn};
use wire::{Client, Cursor, Failure, WireError, pg::simplequery::Query};

use crate::{
    feed::{Message, REPLICATE, Request},
    member::Member,
    sql_error::SqlError,
    store::Role,
};

/// Time to open a connection and log in.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without messages after which the connection is closed; the primary sends a keepalive every
/// 500 ms.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before reconnecting.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum bytes received but not yet applied; beyond it the replica stops reading.
const MAX_UNAPPLIED_BYTES: usize = 64 << 20;

/// Why a replication stream ended.
#[derive(Debug)]
enum StreamError {
    Wire(WireError),
    Refused(String),
    TimedOut,
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Wire(cause) => cause.fmt(f),
            Self::Refused(cause) => f.write_str(cause),
            Self::TimedOut => f.write_str("the primary did not respond in time"),
        }
    }
}

impl From<WireError> for StreamError {
    fn from(cause: WireError) -> Self {
        Self::Wire(cause)
    }
}

impl From<Failure> for StreamError {
    fn from(cause: Failure) -> Self {
        match cause {
            Failure::Wire(cause) => Self::Wire(cause),
            refused @ Failure::Refused(..) => Self::Refused(refused.to_string()),
        }
    }
}

impl From<SqlError> for StreamError {
    fn from(cause: SqlError) -> Self {
        Self::Refused(cause.to_string())
    }
}

/// Follows the primary named in the last FOLLOW command, forever.
pub async fn run(member: Rc<Member>) {
    loop {
        let changed = member.changed.listen();
        let role = member.store.borrow().role();
        let Role::Replica(Some((primary, term))) = role else {
            changed.await;
            continue;
        };
        let streaming = async {
            loop {
                let Err(error) = replicate(&member, role, primary, term).await;
                warn!(member.log, "replication interrupted";
                    "primary" => %primary, "term" => term, "cause" => %error);
                compio::time::sleep(RETRY_DELAY).await;
            }
        };
        let role_changed = async {
            loop {
                let changed = member.changed.listen();
                if member.store.borrow().role() != role {
                    return;
                }
                changed.await;
            }
        };
        // A new role ends the stream; entries not applied yet are received again.
        let _: Either<((), _), ((), _)> = select(pin!(streaming), pin!(role_changed)).await;
    }
}

async fn replicate(
    member: &Rc<Member>,
    role: Role,
    primary: SocketAddr,
    term: Term,
) -> Result<std::convert::Infallible, StreamError> {
    let connecting = async {
        let stream = base::net::connect(member.settings.host, primary, CONNECT_TIMEOUT)
            .await
            .map_err(WireError::Io)?;
        Client::open(stream, "replication", &member.settings.group)
            .await
            .map_err(StreamError::from)
    };
    let mut client = compio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_elapsed| StreamError::TimedOut)??;
    let request = {
        let store = member.store.borrow();
        Request {
            term,
            offset: store.position().offset,
            terms: store.terms().to_vec(),
        }
    };
    let text = serde_json::to_string(&request).expect("requests can be serialized");
    client
        .writer
        .message(&Query::new(format!("{REPLICATE}{text}")))?;
    client.writer.flush().await?;
    let queue = ReceiveQueue::default();
    let receiving = pin!(receive(member, &mut client, role, term, &queue));
    let applying = pin!(apply(member, role, &queue));
    match select(receiving, applying).await {
        Either::Left((Err(error), _)) | Either::Right((Err(error), _)) => Err(error),
    }
}

/// Batches received but not applied yet, with the time of their arrival.
#[derive(Debug, Default)]
struct ReceiveQueue {
    batches: RefCell<VecDeque<(Instant, Vec<u8>)>>,
    bytes: Cell<usize>,
    changed: Event,
}

async fn receive(
    member: &Rc<Member>,
    client: &mut Client,
    role: Role,
    term: Term,
    queue: &ReceiveQueue,
) -> Result<std::convert::Infallible, StreamError> {
    loop {
        let frame = compio::time::timeout(RECEIVE_TIMEOUT, client.frame())
            .await
            .map_err(|_elapsed| StreamError::TimedOut)??;
        member.faults.wait_unfrozen().await;
        match frame.tag {
            b'd' => {}
            b'E' => {
                let field = |code| frame.field(code).unwrap_or_default();
                return Err(StreamError::Refused(format!(
                    "{}: {}",
                    field(b'C'),
                    field(b'M')
                )));
            }
            _ => continue,
        }
        let message = postcard::from_bytes(Cursor::new(&frame.body).rest())
            .map_err(|_invalid| WireError::Malformed("unknown replication message"))?;
        match message {
            Message::Common { offset, terms } => {
                let cut = member.store.borrow_mut().adopt(role, term, offset, terms)?;
                if cut > 0 {
                    member.metrics.truncated.inc_by(cut);
                }
                info!(member.log, "log matches a prefix of the primary's log";
                    "term" => term, "offset" => offset, "truncated" => cut);
                member.notify_change();
            }
            Message::Entries(bytes) => {
                while queue.bytes.get() > MAX_UNAPPLIED_BYTES {
                    queue.changed.listen().await;
                }
                queue.bytes.set(queue.bytes.get() + bytes.len());
                queue
                    .batches
                    .borrow_mut()
                    .push_back((Instant::now(), bytes));
                queue.changed.notify(usize::MAX);
            }
            Message::Alive => {}
        }
    }
}

async fn apply(
    member: &Rc<Member>,
    role: Role,
    queue: &ReceiveQueue,
) -> Result<std::convert::Infallible, StreamError> {
    loop {
        let arrived = queue.changed.listen();
        let next = queue.batches.borrow().front().map(|(at, _bytes)| *at);
        let Some(at) = next else {
            arrived.await;
            continue;
        };
        let faults = member.faults.listen();
        let due = at + member.faults.lag();
        if due > Instant::now() {
            // A change of the lag also applies to queued batches.
            let _: Either<_, _> = select(pin!(compio::time::sleep_until(due)), faults).await;
            continue;
        }
        member.faults.wait_unfrozen().await;
        let batch = queue.batches.borrow_mut().pop_front();
        if let Some((_, bytes)) = batch {
            queue.bytes.set(queue.bytes.get() - bytes.len());
            queue.changed.notify(usize::MAX);
            let count = member.store.borrow_mut().receive(role, &bytes)?;
            let count = u64::try_from(count).unwrap_or_default();
            member.metrics.applied.inc_by(count);
            member.notify_change();
        }
    }
}
