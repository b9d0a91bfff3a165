//! State that all tasks of the process share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use base::Map;
use event_listener::Event;
use serde_json::{Value, json};
use slog::Logger;

use crate::{
    command::Command,
    fault::Faults,
    locks::Locks,
    metrics::Metrics,
    refusal::Refusal,
    settings::Settings,
    slots::Slots,
    store::{Role, Store},
};

/// Parsed texts kept; the cache starts afresh when it is full.
const CACHED_TEXTS: usize = 1_024;
/// Longest text kept in the cache, in bytes.
const CACHED_BYTES: usize = 4_096;

/// One session, as a cancel request finds it.
#[derive(Debug)]
pub struct Handle {
    /// Secret of its `BackendKeyData`.
    pub secret: i32,
    /// Notified when its statement is to be cancelled.
    pub cancel: Event,
}

/// A database of a group.
#[derive(Debug)]
pub struct Member {
    /// Settings of the process.
    pub settings: Settings,
    /// Logger of the process.
    pub log: Logger,
    /// Tables, log, term and role.
    pub store: RefCell<Store>,
    /// Execution slots.
    pub slots: Rc<Slots>,
    /// Locks of transactions.
    pub locks: Rc<Locks>,
    /// Faults in force.
    pub faults: Faults,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Notified after each change of the log, the term or the role.
    pub changed: Event,
    /// Whether the process announces that it leaves.
    pub leaving: Cell<bool>,
    /// Whether every address was told so.
    pub told: Cell<bool>,
    /// Whether one of them accepted it.
    pub heard: Cell<bool>,
    /// Whether idle sessions are being closed.
    pub closing: Cell<bool>,
    /// Notified when `leaving` or `closing` is set.
    pub stop: Event,
    /// Notified when every connection is to be dropped.
    pub ended: Event,
    /// Data connections open.
    pub connections: Cell<u32>,
    /// Sessions by process number.
    pub sessions: RefCell<Map<i32, Rc<Handle>>>,
    /// Last offset sent to each replica that is connected, by its process number.
    pub feeds: RefCell<Map<i32, u64>>,
    last_pid: Cell<i32>,
    cache: RefCell<Map<String, Rc<[Rc<Command>]>>>,
}

impl Member {
    /// Puts the parts together.
    pub fn new(settings: Settings, log: Logger, store: Store) -> Rc<Self> {
        Rc::new(Self {
            slots: Slots::new(settings.slots),
            locks: Rc::default(),
            faults: Faults::new(settings.lag_ms),
            metrics: Metrics::new(),
            changed: Event::new(),
            leaving: Cell::new(false),
            told: Cell::new(false),
            heard: Cell::new(false),
            closing: Cell::new(false),
            stop: Event::new(),
            ended: Event::new(),
            connections: Cell::new(0),
            sessions: RefCell::default(),
            feeds: RefCell::default(),
            last_pid: Cell::new(0),
            cache: RefCell::default(),
            store: RefCell::new(store),
            settings,
            log,
        })
    }

    /// Registers a session and returns its process number.
    pub fn enter(&self) -> (i32, Rc<Handle>) {
        let pid = self.last_pid.get().wrapping_add(1).max(1);
        self.last_pid.set(pid);
        let handle = Rc::new(Handle {
            secret: rand::random(),
            cancel: Event::new(),
        });
        self.sessions.borrow_mut().insert(pid, Rc::clone(&handle));
        (pid, handle)
    }

    /// Cancels what a session runs, if the secret is right.
    pub fn cancel(&self, pid: i32, secret: i32) {
        if let Some(handle) = self.sessions.borrow().get(&pid)
            && handle.secret == secret
        {
            handle.cancel.notify(usize::MAX);
        }
    }

    /// Parses a text, or finds it among those parsed before.
    ///
    /// # Errors
    /// As [`crate::parse::parse`].
    pub fn parse(&self, sql: &str) -> Result<Rc<[Rc<Command>]>, Refusal> {
        if let Some(found) = self.cache.borrow().get(sql) {
            return Ok(Rc::clone(found));
        }
        let parsed: Rc<[_]> = crate::parse::parse(sql)?.into();
        if sql.len() <= CACHED_BYTES {
            let mut cache = self.cache.borrow_mut();
            if cache.len() >= CACHED_TEXTS {
                cache.clear();
            }
            cache.insert(sql.to_owned(), Rc::clone(&parsed));
        }
        Ok(parsed)
    }

    /// Time for which a statement holds its slot.
    pub const fn cost(&self) -> Duration {
        Duration::from_micros(self.settings.statement_us)
    }

    /// Tells the other tasks that the log, the term or the role changed.
    pub fn announce_change(&self) {
        let position = self.store.borrow().position();
        let gauge = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        self.metrics.offset.set(gauge(position.offset));
        self.metrics.term.set(gauge(position.term));
        self.changed.notify(usize::MAX);
    }

    /// Whether every connected replica was sent the whole log.
    pub fn is_streamed(&self) -> bool {
        let offset = self.store.borrow().position().offset;
        self.feeds.borrow().values().all(|sent| *sent >= offset)
    }

    /// Whole state, for `/dump`.
    pub fn dump(&self) -> Value {
        let store = self.store.borrow();
        let (role, primary, ordered) = match store.role() {
            Role::Primary => ("primary", None, None),
            Role::Replica(None) => ("replica", None, None),
            Role::Replica(Some((address, term))) => ("replica", Some(address), Some(term)),
        };
        let tables: Vec<_> = store
            .tables()
            .iter()
            .map(|table| json!({"name": &*table.schema.name, "rows": table.rows.len()}))
            .collect();
        let (free, waiting) = self.slots.counts();
        let (locked, blocked) = self.locks.counts();
        json!({
            "member": self.settings.member,
            "group": self.settings.group,
            "store": store.id(),
            "role": role,
            "primary": primary,
            "ordered_term": ordered,
            "position": store.position(),
            "terms": store.terms(),
            "tables": tables,
            "connections": self.connections.get(),
            "sessions": self.sessions.borrow().len(),
            "slots": {"free": free, "waiting": waiting},
            "locks": {"held": locked, "waiting": blocked},
            "feeds": &*self.feeds.borrow(),
            "faults": self.faults.current(),
            "leaving": self.leaving.get(),
        })
    }
}
