//! Replica's side of replication: receives the primary's log and applies it after the lag.

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
    feed::{Message, Request, VERB},
    member::Member,
    refusal::Refusal,
    store::Role,
};

/// Time to open a connection and log in.
const CONNECT: Duration = Duration::from_secs(2);
/// Silence after which the connection is given up; the primary sends something each 500 ms.
const SILENCE: Duration = Duration::from_secs(3);
/// Pause before the next attempt.
const RETRY: Duration = Duration::from_millis(200);
/// Bytes received but not applied yet; more stay with the primary.
const AHEAD_BYTES: usize = 64 << 20;

/// Why a stream ended.
#[derive(Debug)]
enum Ended {
    Wire(WireError),
    Refused(String),
    Silent,
}

impl fmt::Display for Ended {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Wire(cause) => cause.fmt(f),
            Self::Refused(cause) => f.write_str(cause),
            Self::Silent => f.write_str("the primary is silent"),
        }
    }
}

impl From<WireError> for Ended {
    fn from(cause: WireError) -> Self {
        Self::Wire(cause)
    }
}

impl From<Failure> for Ended {
    fn from(cause: Failure) -> Self {
        match cause {
            Failure::Wire(cause) => Self::Wire(cause),
            refused @ Failure::Refused(..) => Self::Refused(refused.to_string()),
        }
    }
}

impl From<Refusal> for Ended {
    fn from(cause: Refusal) -> Self {
        Self::Refused(cause.to_string())
    }
}

/// Follows the primary that the member was ordered to follow, for ever.
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
                let Err(ended) = stream(&member, role, primary, term).await;
                warn!(member.log, "replication interrupted";
                    "primary" => %primary, "term" => term, "cause" => %ended);
                compio::time::sleep(RETRY).await;
            }
        };
        let ordered = async {
            loop {
                let changed = member.changed.listen();
                if member.store.borrow().role() != role {
                    return;
                }
                changed.await;
            }
        };
        // Another order ends the stream; what was not applied yet is received again.
        let _: Either<((), _), ((), _)> = select(pin!(streaming), pin!(ordered)).await;
    }
}

async fn stream(
    member: &Rc<Member>,
    role: Role,
    primary: SocketAddr,
    term: Term,
) -> Result<std::convert::Infallible, Ended> {
    let connecting = async {
        let stream = base::net::connect(member.settings.host, primary, CONNECT)
            .await
            .map_err(WireError::Io)?;
        Client::open(stream, "replication", &member.settings.group)
            .await
            .map_err(Ended::from)
    };
    let mut client = compio::time::timeout(CONNECT, connecting)
        .await
        .map_err(|_elapsed| Ended::Silent)??;
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
        .message(&Query::new(format!("{VERB}{text}")))?;
    client.writer.flush().await?;
    let inbox = Inbox::default();
    let receiving = pin!(receive(member, &mut client, role, term, &inbox));
    let applying = pin!(apply(member, role, &inbox));
    match select(receiving, applying).await {
        Either::Left((Err(ended), _)) | Either::Right((Err(ended), _)) => Err(ended),
    }
}

/// Batches received but not applied yet, with the time of their arrival.
#[derive(Debug, Default)]
struct Inbox {
    batches: RefCell<VecDeque<(Instant, Vec<u8>)>>,
    bytes: Cell<usize>,
    changed: Event,
}

async fn receive(
    member: &Rc<Member>,
    client: &mut Client,
    role: Role,
    term: Term,
    inbox: &Inbox,
) -> Result<std::convert::Infallible, Ended> {
    loop {
        let frame = compio::time::timeout(SILENCE, client.frame())
            .await
            .map_err(|_elapsed| Ended::Silent)??;
        member.faults.thaw().await;
        match frame.tag {
            b'd' => {}
            b'E' => {
                let field = |code| frame.field(code).unwrap_or_default();
                return Err(Ended::Refused(format!("{}: {}", field(b'C'), field(b'M'))));
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
                info!(member.log, "log is a prefix of the primary's";
                    "term" => term, "offset" => offset, "truncated" => cut);
                member.announce_change();
            }
            Message::Entries(bytes) => {
                while inbox.bytes.get() > AHEAD_BYTES {
                    inbox.changed.listen().await;
                }
                inbox.bytes.set(inbox.bytes.get() + bytes.len());
                inbox
                    .batches
                    .borrow_mut()
                    .push_back((Instant::now(), bytes));
                inbox.changed.notify(usize::MAX);
            }
            Message::Alive => {}
        }
    }
}

async fn apply(
    member: &Rc<Member>,
    role: Role,
    inbox: &Inbox,
) -> Result<std::convert::Infallible, Ended> {
    loop {
        let arrived = inbox.changed.listen();
        let next = inbox.batches.borrow().front().map(|(at, _bytes)| *at);
        let Some(at) = next else {
            arrived.await;
            continue;
        };
        let faults = member.faults.listen();
        let due = at + member.faults.lag();
        if due > Instant::now() {
            // A change of the lag counts for what waits already.
            let _: Either<_, _> = select(pin!(compio::time::sleep_until(due)), faults).await;
            continue;
        }
        member.faults.thaw().await;
        let batch = inbox.batches.borrow_mut().pop_front();
        if let Some((_, bytes)) = batch {
            inbox.bytes.set(inbox.bytes.get() - bytes.len());
            inbox.changed.notify(usize::MAX);
            let count = member.store.borrow_mut().receive(role, &bytes)?;
            let count = u64::try_from(count).unwrap_or_default();
            member.metrics.applied.inc_by(count);
            member.announce_change();
        }
    }
}
