//! Registry of callers' sessions, which routes cancel requests to the upstream connections that run
//! their statements.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    task::{Poll, Waker},
    time::Duration,
};

use base::Map;
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
};
use futures_util::future::{Either, select};
use prometheus::IntGauge;
use route::process_id::{compose, entry_tag, entry_tag_of};

/// Timeout of a cancel request to an upstream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Code of a cancel request in the PostgreSQL protocol.
const CANCEL_CODE: i32 = 80_877_102;

/// Upstream session that runs a statement.
#[derive(Debug, Clone, Copy)]
pub struct CancelTarget {
    /// Local and remote address of its connection.
    pub addresses: (SocketAddr, SocketAddr),
    /// Process id and secret key of the upstream session.
    pub key: (i32, i32),
}

/// State of one caller's session for cancel requests.
#[derive(Debug, Default)]
pub struct Slot {
    secret: i32,
    target: Cell<Option<CancelTarget>>,
    /// Incremented at the start and end of each statement, so that a cancel can't hit a later one.
    generation: Cell<u64>,
    cancels_in_flight: Cell<u32>,
    cancel_sent: Cell<bool>,
    /// Whether the session waits for a connection.
    waiting: Cell<bool>,
    /// Whether a cancel request ended that wait.
    wait_cancelled: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Slot {
    /// Runs `work`, which waits for a connection; `None` when a cancel request comes first.
    pub async fn unless_cancelled<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        self.wait_cancelled.set(false);
        self.waiting.set(true);
        let cancelled = poll_fn(|cx| {
            if self.wait_cancelled.get() {
                return Poll::Ready(());
            }
            self.waker.replace(Some(cx.waker().clone()));
            Poll::Pending
        });
        let outcome = match select(pin!(work), cancelled).await {
            Either::Left((outcome, _)) => Some(outcome),
            Either::Right(((), _)) => None,
        };
        self.waiting.set(false);
        outcome
    }

    /// Records that a statement starts at `target`.
    pub fn start(&self, target: Option<CancelTarget>) {
        self.generation.set(self.generation.get() + 1);
        self.cancel_sent.set(false);
        self.target.set(target);
    }

    /// Records that the statement ended, and returns whether a cancel was sent for it.
    ///
    /// Waits for a cancel that is on its way to the upstream, because it must not hit the next
    /// statement on that connection.
    pub async fn end(&self) -> bool {
        self.generation.set(self.generation.get() + 1);
        self.target.set(None);
        poll_fn(|cx| {
            if self.cancels_in_flight.get() == 0 {
                return Poll::Ready(());
            }
            self.waker.replace(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
        self.cancel_sent.get()
    }
}

/// Sessions by process id.
#[derive(Debug, Default)]
pub struct Registry {
    slots: RefCell<Map<i32, Rc<Slot>>>,
    tag: i32,
    last: Cell<u16>,
    count: Option<IntGauge>,
}

/// Registration of a session, which dropping it ends.
#[derive(Debug)]
pub struct Registration {
    /// Process id that the caller received.
    pub pid: i32,
    /// Cancel state of the session.
    pub slot: Rc<Slot>,
    registry: Rc<Registry>,
}

impl Registration {
    /// Secret key that the caller received.
    #[must_use]
    pub fn secret(&self) -> i32 {
        self.slot.secret
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.slots.borrow_mut().remove(&self.pid);
        self.registry.update_count();
    }
}

impl Registry {
    /// Creates an empty registry for the run `run` of the process. The gauge `count` shows the number
    /// of sessions.
    #[must_use]
    pub fn new(run: u64, count: IntGauge) -> Self {
        Self {
            tag: entry_tag(run),
            count: Some(count),
            ..Self::default()
        }
    }

    fn update_count(&self) {
        if let Some(count) = &self.count {
            count.set(i64::try_from(self.len()).unwrap_or(i64::MAX));
        }
    }

    /// Whether a process id belongs to the range of this process.
    #[must_use]
    pub const fn owns(&self, pid: i32) -> bool {
        entry_tag_of(pid) == self.tag
    }

    /// Registers a session under a free process id and a random secret key.
    #[must_use]
    pub fn register(self: &Rc<Self>) -> Registration {
        let mut slots = self.slots.borrow_mut();
        let mut number = self.last.get();
        let pid = loop {
            number = number.checked_add(1).unwrap_or(1);
            let pid = compose(self.tag, number);
            if !slots.contains_key(&pid) {
                break pid;
            }
        };
        self.last.set(number);
        let slot = Rc::new(Slot {
            secret: rand::random(),
            ..Slot::default()
        });
        slots.insert(pid, Rc::clone(&slot));
        drop(slots);
        self.update_count();
        Registration {
            pid,
            slot,
            registry: Rc::clone(self),
        }
    }

    /// Number of sessions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.borrow().len()
    }

    /// Whether there is no session.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Cancels the statement that a session runs, or its wait for a connection. Does nothing if the
    /// secret is wrong or the session is idle.
    pub async fn cancel(&self, pid: i32, secret: i32) {
        let slot = self.slots.borrow().get(&pid).cloned();
        let Some(slot) = slot.filter(|slot| slot.secret == secret) else {
            return;
        };
        if slot.waiting.get() {
            slot.wait_cancelled.set(true);
            if let Some(waker) = slot.waker.take() {
                waker.wake();
            }
            return;
        }
        let generation = slot.generation.get();
        let Some(target) = slot.target.get() else {
            return;
        };
        let Ok(stream) = connect(target).await else {
            return;
        };
        if slot.generation.get() != generation {
            return;
        }
        slot.cancel_sent.set(true);
        slot.cancels_in_flight.set(slot.cancels_in_flight.get() + 1);
        let _outcome =
            compio::time::timeout(CANCEL_TIMEOUT, exchange_cancel(stream, target.key)).await;
        slot.cancels_in_flight.set(slot.cancels_in_flight.get() - 1);
        if let Some(waker) = slot.waker.take() {
            waker.wake();
        }
    }
}

/// Cancels the statement of an upstream session whose connection is not used any more.
pub(crate) async fn send_cancel(target: CancelTarget) {
    if let Ok(stream) = connect(target).await {
        let _outcome =
            compio::time::timeout(CANCEL_TIMEOUT, exchange_cancel(stream, target.key)).await;
    }
}

async fn connect(target: CancelTarget) -> std::io::Result<compio::net::TcpStream> {
    let (own, remote) = target.addresses;
    base::net::connect(own.ip(), remote, CANCEL_TIMEOUT).await
}

/// Sends the request and waits until the upstream closes the connection, which it does after the
/// request took effect.
async fn exchange_cancel(mut stream: compio::net::TcpStream, key: (i32, i32)) {
    let mut request = Vec::with_capacity(16);
    for part in [16, CANCEL_CODE, key.0, key.1] {
        request.extend_from_slice(&part.to_be_bytes());
    }
    let BufResult(result, mut buffer) = stream.write_all(request).await;
    if result.is_ok() {
        loop {
            let BufResult(result, back) = stream.read(buffer).await;
            if !matches!(result, Ok(1..)) {
                return;
            }
            buffer = back;
        }
    }
}
