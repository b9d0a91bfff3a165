//! What all callers' sessions of the process share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use sql::Cache;

use crate::{options::Options, registry::Registry};

/// Statement texts whose classification is kept.
const SCRIPTS: usize = 4_096;
/// Retries that may be saved up, so that a burst after a failover isn't refused.
const BUDGET: f64 = 20.0;
/// Share of requests that may be sent again; more would multiply an overload.
const RETRY_SHARE: f64 = 0.1;

/// What all callers' sessions of the process share.
#[derive(Debug)]
pub struct Shared<F> {
    /// Services, members and connections.
    pub fleet: Rc<F>,
    /// Limits and ways.
    pub options: Options,
    /// Sessions by the numbers that a cancel request carries.
    pub registry: Rc<Registry>,
    scripts: RefCell<Cache>,
    retries: Cell<f64>,
    draining: Cell<bool>,
}

impl<F> Shared<F> {
    /// Starts without any session.
    #[must_use]
    pub fn new(fleet: Rc<F>, options: Options) -> Self {
        Self {
            fleet,
            options,
            registry: Rc::default(),
            scripts: RefCell::new(Cache::new(SCRIPTS)),
            retries: Cell::new(BUDGET),
            draining: Cell::new(false),
        }
    }

    /// Classifies a statement text.
    pub fn script(&self, text: &str) -> Rc<sql::Script> {
        self.scripts.borrow_mut().script(text)
    }

    /// Whether new callers are refused because the process stops.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Refuses new callers from now on.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Counts a request towards the retry budget.
    pub fn count_request(&self) {
        self.retries
            .set((self.retries.get() + RETRY_SHARE).min(BUDGET));
    }

    /// Takes one retry from the budget; false when it is used up.
    pub fn take_retry(&self) -> bool {
        let left = self.retries.get();
        if left < 1.0 {
            return false;
        }
        self.retries.set(left - 1.0);
        true
    }
}
