//! Accounts of connections with the memory budget of the process.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{net::TcpStream, time::timeout};
use event_listener::Event;
use memory::{Budget, HolderId, Limits};
use rustix::net::{Shutdown, shutdown};

use crate::Map;

/// Interval at which a connection that waits for memory looks for a stalled one to close.
const WAIT_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes that each session may keep without a reservation.
const KEPT_FLOOR_BYTES: usize = 8 << 10;

/// Memory budget of the process.
#[derive(Debug)]
pub struct Meter {
    /// Limits of the process.
    pub limits: Limits,
    budget: RefCell<Budget>,
    /// Streams of the connections that hold memory beyond their floor.
    streams: RefCell<Map<HolderId, TcpStream>>,
    freed: Event,
    last_id: Cell<HolderId>,
    /// Connections closed because they held memory without progress.
    stalled: Cell<u64>,
    /// Connections closed or refused because there were too many.
    excess: Cell<u64>,
}

impl Meter {
    /// An unused budget with these limits.
    #[must_use]
    pub fn new(limits: Limits) -> Rc<Self> {
        Rc::new(Self {
            limits,
            budget: RefCell::new(Budget::new(limits)),
            streams: RefCell::default(),
            freed: Event::new(),
            last_id: Cell::default(),
            stalled: Cell::default(),
            excess: Cell::default(),
        })
    }

    /// Budget of a host with `memory_mb` and a process with `descriptors`; without them, by the limits
    /// of the operating system.
    #[must_use]
    pub fn of_host(memory_mb: Option<u32>, descriptors: Option<u32>) -> Rc<Self> {
        let bytes = memory_mb.map_or_else(system_memory, |mb| {
            usize::try_from(mb)
                .unwrap_or(usize::MAX)
                .saturating_mul(1 << 20)
        });
        let descriptors = descriptors
            .map(u64::from)
            .or_else(|| rustix::process::getrlimit(rustix::process::Resource::Nofile).current);
        let descriptors = descriptors.map(|count| usize::try_from(count).unwrap_or(usize::MAX));
        Self::new(Limits::new(bytes, descriptors))
    }

    /// Opens the account of a connection.
    #[must_use]
    pub fn account(self: &Rc<Self>, stream: TcpStream) -> Rc<Account> {
        self.last_id.set(self.last_id.get() + 1);
        Rc::new(Account {
            meter: Rc::clone(self),
            stream,
            id: self.last_id.get(),
            kept: Cell::default(),
        })
    }

    /// Bytes that connections hold beyond their floors.
    #[must_use]
    pub fn used(&self) -> usize {
        self.budget.borrow().used()
    }

    /// Counts a connection that was closed or refused because there were too many.
    pub fn record_excess(&self) {
        self.excess.set(self.excess.get() + 1);
    }

    /// Connections closed because they held memory without progress, and because there were too many.
    #[must_use]
    pub const fn closed(&self) -> (u64, u64) {
        (self.stalled.get(), self.excess.get())
    }

    /// Closes the connection that has made no progress for the longest, if any did for too long.
    fn close_stalled(&self) {
        let stalled = self.budget.borrow().stalled(Instant::now());
        let Some(id) = stalled else { return };
        if let Some(stream) = self.streams.borrow_mut().remove(&id) {
            self.stalled.set(self.stalled.get() + 1);
            // Its tasks find the stream ended and release the memory.
            let _closed_anyway = shutdown(&stream, Shutdown::Both);
        }
    }
}

/// Memory of the host, in bytes.
fn system_memory() -> usize {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kib = total.and_then(|total| total.trim().strip_suffix(" kB")?.parse::<usize>().ok());
    kib.map_or(usize::MAX / 2, |kib| kib << 10)
}

/// Account of one connection. Dropping it frees what the connection holds.
#[derive(Debug)]
pub struct Account {
    meter: Rc<Meter>,
    stream: TcpStream,
    id: HolderId,
    kept: Cell<usize>,
}

impl Account {
    /// Waits until the connection may hold `bytes` in total; false if it never may, or if it is closed
    /// in favour of others. Closes stalled connections while it waits.
    pub async fn reserve(&self, bytes: usize) -> bool {
        loop {
            let freed = self.meter.freed.listen();
            let now = Instant::now();
            if self.meter.budget.borrow_mut().reserve(self.id, bytes, now) {
                self.register();
                return true;
            }
            if !self.meter.budget.borrow().is_possible(bytes) {
                return false;
            }
            self.meter.close_stalled();
            if self.is_closed() {
                return false;
            }
            let _freed = timeout(WAIT_INTERVAL, freed).await;
        }
    }

    /// Counts `bytes` in total that the connection holds already.
    pub fn charge(&self, bytes: usize) {
        let now = Instant::now();
        self.meter.budget.borrow_mut().charge(self.id, bytes, now);
        self.register();
    }

    /// Whether the connection was closed while it holds memory.
    fn is_closed(&self) -> bool {
        self.meter.budget.borrow().holds(self.id)
            && !self.meter.streams.borrow().contains_key(&self.id)
    }

    fn register(&self) {
        let mut streams = self.meter.streams.borrow_mut();
        streams
            .entry(self.id)
            .or_insert_with(|| self.stream.clone());
    }

    /// Records whether the connection waits for its client.
    pub fn set_on_client(&self, on_client: bool) {
        let mut budget = self.meter.budget.borrow_mut();
        budget.set_on_client(self.id, on_client, Instant::now());
    }

    /// Records that the client sent or received `bytes`.
    pub fn record_moved(&self, bytes: usize) {
        let mut budget = self.meter.budget.borrow_mut();
        budget.record_moved(self.id, bytes, Instant::now());
    }

    /// Frees what the connection holds, except for what its session keeps.
    pub fn release(&self) {
        if self.meter.budget.borrow_mut().release(self.id) {
            self.meter.streams.borrow_mut().remove(&self.id);
            self.meter.freed.notify(usize::MAX);
        }
    }

    /// Sets what the session keeps in total; false if there is no memory for it.
    #[must_use]
    pub fn keep_total(&self, bytes: usize) -> bool {
        let kept = self.kept.get();
        if bytes <= kept {
            self.forget(kept - bytes);
            return true;
        }
        self.keep(bytes - kept)
    }

    /// Takes `bytes` for what the session keeps until it ends; false if there is no memory for them.
    #[must_use]
    pub fn keep(&self, bytes: usize) -> bool {
        let (old, new) = (self.kept.get(), self.kept.get() + bytes);
        let fits = self
            .meter
            .budget
            .borrow_mut()
            .keep(beyond(new) - beyond(old));
        if fits {
            self.kept.set(new);
        }
        fits
    }

    /// Returns `bytes` taken with [`Self::keep`].
    pub fn forget(&self, bytes: usize) {
        let (old, new) = (self.kept.get(), self.kept.get().saturating_sub(bytes));
        self.meter
            .budget
            .borrow_mut()
            .forget(beyond(old) - beyond(new));
        self.kept.set(new);
    }
}

/// Part of what a session keeps that counts.
const fn beyond(bytes: usize) -> usize {
    bytes.saturating_sub(KEPT_FLOOR_BYTES)
}

impl Drop for Account {
    fn drop(&mut self) {
        self.forget(self.kept.get());
        self.release();
    }
}
