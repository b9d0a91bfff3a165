//! Cancel requests: which upstream connection runs the statement of a caller now.

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

/// Time that a cancel request to an upstream may take.
const CANCEL: Duration = Duration::from_secs(2);
const CANCEL_CODE: i32 = 80_877_102;

/// Upstream session that runs a statement.
#[derive(Debug, Clone, Copy)]
pub struct CancelTarget {
    /// Own and remote address of its connection.
    pub addresses: (SocketAddr, SocketAddr),
    /// Process number and secret of the upstream session.
    pub key: (i32, i32),
}

/// Place of one caller's session in the registry.
#[derive(Debug, Default)]
pub struct Slot {
    secret: i32,
    target: Cell<Option<CancelTarget>>,
    /// Raised at each start and end, so that a cancel can't hit a later statement.
    generation: Cell<u64>,
    sending: Cell<u32>,
    sent: Cell<bool>,
    /// Whether the session waits for a connection, and whether that was cancelled.
    waiting: Cell<bool>,
    abandoned: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Slot {
    /// Waits for a connection; `None` when a cancel request comes first.
    pub async fn unless_cancelled<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        self.abandoned.set(false);
        self.waiting.set(true);
        let cancelled = poll_fn(|cx| {
            if self.abandoned.get() {
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

    /// Notes that a statement runs at `target` from now on.
    pub fn start(&self, target: Option<CancelTarget>) {
        self.generation.set(self.generation.get() + 1);
        self.sent.set(false);
        self.target.set(target);
    }

    /// Notes that the statement ended, and returns whether a cancel was sent for it.
    ///
    /// A cancel that is on its way to the upstream is waited for, because it must not hit the next
    /// statement on that connection.
    pub async fn end(&self) -> bool {
        self.generation.set(self.generation.get() + 1);
        self.target.set(None);
        poll_fn(|cx| {
            if self.sending.get() == 0 {
                return Poll::Ready(());
            }
            self.waker.replace(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
        self.sent.get()
    }
}

/// Sessions by process number.
#[derive(Debug, Default)]
pub struct Registry {
    slots: RefCell<Map<i32, Rc<Slot>>>,
    mark: i32,
    last: Cell<u16>,
    count: Option<IntGauge>,
}

/// A session's entry in the registry, which ends with it.
#[derive(Debug)]
pub struct Registration {
    /// Process number that the caller was told.
    pub pid: i32,
    /// Place of the session.
    pub slot: Rc<Slot>,
    registry: Rc<Registry>,
}

impl Registration {
    /// Secret that the caller was told.
    #[must_use]
    pub fn secret(&self) -> i32 {
        self.slot.secret
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.slots.borrow_mut().remove(&self.pid);
        self.registry.show_count();
    }
}

impl Registry {
    /// Starts without any session, for the run `run` of the process. `count` follows the number of
    /// sessions.
    #[must_use]
    pub fn new(run: u64, count: IntGauge) -> Self {
        Self {
            mark: entry_tag(run),
            count: Some(count),
            ..Self::default()
        }
    }

    fn show_count(&self) {
        if let Some(count) = &self.count {
            count.set(i64::try_from(self.len()).unwrap_or(i64::MAX));
        }
    }

    /// Whether a process number can be one of this process.
    #[must_use]
    pub const fn owns(&self, pid: i32) -> bool {
        entry_tag_of(pid) == self.mark
    }

    /// Adds a session under a free process number and a random secret.
    #[must_use]
    pub fn register(self: &Rc<Self>) -> Registration {
        let mut slots = self.slots.borrow_mut();
        let mut number = self.last.get();
        let pid = loop {
            number = number.checked_add(1).unwrap_or(1);
            let pid = compose(self.mark, number);
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
        self.show_count();
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

    /// Cancels the statement that a session runs now; anything else is left alone.
    pub async fn cancel(&self, pid: i32, secret: i32) {
        let slot = self.slots.borrow().get(&pid).cloned();
        let Some(slot) = slot.filter(|slot| slot.secret == secret) else {
            return;
        };
        if slot.waiting.get() {
            slot.abandoned.set(true);
            if let Some(waker) = slot.waker.take() {
                waker.wake();
            }
            return;
        }
        let turn = slot.generation.get();
        let Some(target) = slot.target.get() else {
            return;
        };
        let Ok(stream) = connect(target).await else {
            return;
        };
        if slot.generation.get() != turn {
            return;
        }
        slot.sent.set(true);
        slot.sending.set(slot.sending.get() + 1);
        let _outcome = compio::time::timeout(CANCEL, request_cancel(stream, target.key)).await;
        slot.sending.set(slot.sending.get() - 1);
        if let Some(waker) = slot.waker.take() {
            waker.wake();
        }
    }
}

/// Cancels what an upstream session runs, on a connection that nobody uses any longer.
pub(crate) async fn send_cancel(target: CancelTarget) {
    if let Ok(stream) = connect(target).await {
        let _outcome = compio::time::timeout(CANCEL, request_cancel(stream, target.key)).await;
    }
}

async fn connect(target: CancelTarget) -> std::io::Result<compio::net::TcpStream> {
    let (own, remote) = target.addresses;
    base::net::connect(own.ip(), remote, CANCEL).await
}

/// Sends the request and waits until the upstream closes the connection, which it does once the
/// request took effect.
async fn request_cancel(mut stream: compio::net::TcpStream, key: (i32, i32)) {
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
