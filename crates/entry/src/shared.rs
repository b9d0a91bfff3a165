//! What all callers' sessions of the process share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use route::Budget;
use sql::Cache;

use crate::{options::Options, registry::Registry};

/// Statement texts whose classification is kept.
const SCRIPTS: usize = 4_096;
/// Requests with a key between two deletions of expired keys. Each reads the whole table, because
/// the times have no index.
const PURGE: u32 = 500;
/// Connections beyond the limit of callers, for cancel requests and for logins to be told why they
/// are refused.
const SPARE: usize = 1_000;
/// Retries that may be saved up: a failover makes all requests under way retry at once.
const BURST: u32 = 100;

/// What all callers' sessions of the process share.
#[derive(Debug)]
pub struct Shared<F> {
    /// Services, members and connections.
    pub fleet: Rc<F>,
    /// Limits and authentication.
    pub options: Options,
    /// Sessions by the numbers that a cancel request carries.
    pub registry: Rc<Registry>,
    script_cache: RefCell<Cache>,
    retries: RefCell<Budget>,
    draining: Cell<bool>,
    connected: Rc<Cell<usize>>,
    keyed_requests: Cell<u32>,
}

/// A connection, counted while it lasts.
#[derive(Debug)]
pub struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<F> Shared<F> {
    /// Starts without any session.
    #[must_use]
    pub fn new(fleet: Rc<F>, options: Options) -> Self {
        Self {
            fleet,
            registry: Rc::clone(&options.registry),
            options,
            script_cache: RefCell::new(Cache::new(SCRIPTS)),
            retries: RefCell::new(Budget::full(BURST)),
            draining: Cell::new(false),
            connected: Rc::default(),
            keyed_requests: Cell::new(0),
        }
    }

    /// Classifies a statement text.
    pub fn classify(&self, text: &str) -> Rc<sql::Script> {
        self.script_cache.borrow_mut().script(text)
    }

    /// Counts a connection in; `None` when there are too many, logins and cancels included.
    pub fn admit_connection(&self) -> Option<ConnectionGuard> {
        let count = self.connected.get() + 1;
        (count <= self.options.max_callers + SPARE).then(|| {
            self.connected.set(count);
            ConnectionGuard(Rc::clone(&self.connected))
        })
    }

    /// Whether new callers are refused because the process stops.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Refuses new callers from now on.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Counts a request with a key; true when expired keys are to be deleted after it.
    pub fn count_keyed(&self) -> bool {
        let count = self.keyed_requests.get() + 1;
        self.keyed_requests.set(count % PURGE);
        count == PURGE
    }

    /// Counts a request towards the retry budget.
    pub fn count_request(&self) {
        self.retries.borrow_mut().deposit();
    }

    /// Takes one retry from the budget; false when it is used up.
    pub fn take_retry(&self) -> bool {
        self.retries.borrow_mut().withdraw()
    }
}
