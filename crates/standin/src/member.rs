//! State shared by all tasks of the process.

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
    settings::Settings,
    slots::Slots,
    sql_error::SqlError,
    store::{Role, Store},
};

/// Capacity of the parse cache, which is cleared when it is full.
const MAX_CACHED_STATEMENTS: usize = 1_024;
/// Longest SQL text kept in the parse cache, in bytes.
const MAX_CACHED_BYTES: usize = 4_096;

/// Target of cancel requests for one session.
#[derive(Debug)]
pub struct SessionHandle {
    /// Secret key sent in `BackendKeyData`.
    pub secret: i32,
    /// Notified to cancel the running statement.
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
    /// Injected faults.
    pub faults: Faults,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Notified after each change of the log, the term or the role.
    pub changed: Event,
    /// Whether a planned stop has begun, as announced.
    pub leaving: Cell<bool>,
    /// Whether the stop was announced to every address.
    pub stop_announced: Cell<bool>,
    /// Whether at least one entry host accepted the announcement of the stop.
    pub stop_accepted: Cell<bool>,
    /// Whether idle sessions are being closed.
    pub closing: Cell<bool>,
    /// Notified when `leaving` or `closing` is set.
    pub stop: Event,
    /// Notified when all connections must close.
    pub shutdown: Event,
    /// Data connections open.
    pub connections: Cell<u32>,
    /// Sessions by process number.
    pub sessions: RefCell<Map<i32, Rc<SessionHandle>>>,
    /// Last offset sent to each replica that is connected, by its process number.
    pub sent_offsets: RefCell<Map<i32, u64>>,
    last_pid: Cell<i32>,
    parse_cache: RefCell<Map<String, Rc<[Rc<Command>]>>>,
}

impl Member {
    /// Creates a member from its settings and its store.
    pub fn new(settings: Settings, log: Logger, store: Store) -> Rc<Self> {
        Rc::new(Self {
            slots: Slots::new(settings.slots),
            locks: Rc::default(),
            faults: Faults::new(settings.lag_ms),
            metrics: Metrics::new(),
            changed: Event::new(),
            leaving: Cell::new(false),
            stop_announced: Cell::new(false),
            stop_accepted: Cell::new(false),
            closing: Cell::new(false),
            stop: Event::new(),
            shutdown: Event::new(),
            connections: Cell::new(0),
            sessions: RefCell::default(),
            sent_offsets: RefCell::default(),
            last_pid: Cell::new(0),
            parse_cache: RefCell::default(),
            store: RefCell::new(store),
            settings,
            log,
        })
    }

    /// Registers a session and returns its process number.
    pub fn register_session(&self) -> (i32, Rc<SessionHandle>) {
        let pid = self.last_pid.get().wrapping_add(1).max(1);
        self.last_pid.set(pid);
        let handle = Rc::new(SessionHandle {
            secret: rand::random(),
            cancel: Event::new(),
        });
        self.sessions.borrow_mut().insert(pid, Rc::clone(&handle));
        (pid, handle)
    }

    /// Cancels the statement of a session if the secret key matches.
    pub fn cancel(&self, pid: i32, secret: i32) {
        if let Some(handle) = self.sessions.borrow().get(&pid)
            && handle.secret == secret
        {
            handle.cancel.notify(usize::MAX);
        }
    }

    /// Parses SQL text, using the parse cache.
    ///
    /// # Errors
    /// As [`crate::parse::parse`].
    pub fn parse(&self, sql: &str) -> Result<Rc<[Rc<Command>]>, SqlError> {
        if let Some(found) = self.parse_cache.borrow().get(sql) {
            return Ok(Rc::clone(found));
        }
        let parsed: Rc<[_]> = crate::parse::parse(sql)?.into();
        if sql.len() <= MAX_CACHED_BYTES {
            let mut parse_cache = self.parse_cache.borrow_mut();
            if parse_cache.len() >= MAX_CACHED_STATEMENTS {
                parse_cache.clear();
            }
            parse_cache.insert(sql.to_owned(), Rc::clone(&parsed));
        }
        Ok(parsed)
    }

    /// Simulated execution time of a statement.
    pub const fn statement_time(&self) -> Duration {
        Duration::from_micros(self.settings.statement_us)
    }

    /// Updates the gauges and notifies tasks of a change of the log, the term or the role.
    pub fn notify_change(&self) {
        let position = self.store.borrow().position();
        let gauge = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        self.metrics.offset.set(gauge(position.offset));
        self.metrics.term.set(gauge(position.term));
        self.changed.notify(usize::MAX);
    }

    /// Whether the whole log has been sent to every connected replica.
    pub fn all_entries_sent(&self) -> bool {
        let offset = self.store.borrow().position().offset;
        self.sent_offsets
            .borrow()
            .values()
            .all(|sent| *sent >= offset)
    }

    /// State of the member as JSON, for `/dump`.
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
            "feeds": &*self.sent_offsets.borrow(),
            "faults": self.faults.current(),
            "leaving": self.leaving.get(),
        })
    }
}
