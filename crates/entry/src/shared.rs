//! State that all callers' sessions of the process share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use event_listener::Event;
use route::RetryBudget;
use sql::Cache;

use crate::{options::Options, registry::Registry};

/// Number of statement texts whose classification is cached.
const SCRIPT_CACHE_SIZE: usize = 4_096;
/// Number of requests with an idempotency key between two deletions of expired keys. A deletion
/// reads the whole table, because the column with the times has no index.
const PURGE_INTERVAL: u32 = 500;
/// Connections beyond the limit of callers, as the divisor of that limit, for cancel requests and for
/// logins that are refused with an error message.
const SPARE_DIVISOR: usize = 20;
/// Highest number of retries in the budget. It is that high because a failover makes all requests
/// in progress retry at the same time.
const RETRY_BURST: u32 = 100;

/// State that all callers' sessions of the process share.
#[derive(Debug)]
pub struct Shared<F> {
    /// Services, members and connections.
    pub fleet: Rc<F>,
    /// Limits and authentication.
    pub options: Options,
    /// Sessions by process id, for cancel requests.
    pub registry: Rc<Registry>,
    script_cache: RefCell<Cache>,
    retries: RefCell<RetryBudget>,
    draining: Cell<bool>,
    pub(crate) ending: Cell<bool>,
    pub(crate) end: Event,
    connected: Rc<Cell<usize>>,
    keyed_requests: Cell<u32>,
}

/// Counts a connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<F> Shared<F> {
    /// Creates the state for a process without sessions.
    #[must_use]
    pub fn new(fleet: Rc<F>, options: Options) -> Self {
        Self {
            fleet,
            registry: Rc::clone(&options.registry),
            options,
            script_cache: RefCell::new(Cache::new(SCRIPT_CACHE_SIZE)),
            retries: RefCell::new(RetryBudget::full(RETRY_BURST)),
            draining: Cell::new(false),
            ending: Cell::new(false),
            end: Event::new(),
            connected: Rc::default(),
            keyed_requests: Cell::new(0),
        }
    }

    /// Classifies a statement text.
    pub fn classify(&self, text: &str) -> Rc<sql::Script> {
        self.script_cache.borrow_mut().script(text)
    }

    /// Counts a new connection; `None` when there are too many. Connections for logins and cancel
    /// requests count as well.
    pub fn admit_connection(&self) -> Option<ConnectionGuard> {
        let count = self.connected.get() + 1;
        let max_callers = self.options.max_callers;
        (count <= max_callers + max_callers.div_ceil(SPARE_DIVISOR)).then(|| {
            self.connected.set(count);
            ConnectionGuard(Rc::clone(&self.connected))
        })
    }

    /// Whether new callers are refused because the process is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Refuses new callers from now on.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Counts a request with an idempotency key. Returns true when expired keys should be deleted
    /// after it.
    pub fn count_keyed(&self) -> bool {
        let count = self.keyed_requests.get() + 1;
        self.keyed_requests.set(count % PURGE_INTERVAL);
        count == PURGE_INTERVAL
    }

    /// Adds a request to the retry budget.
    pub fn count_request(&self) {
        self.retries.borrow_mut().deposit();
    }

    /// Takes one retry from the budget; false when it is exhausted.
    pub fn take_retry(&self) -> bool {
        self.retries.borrow_mut().withdraw()
    }
}
