//! Faults that tests inject at run time.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use event_listener::{Event, EventListener};
use serde::{Deserialize, Serialize};

/// Active faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Delay before a replica applies received entries, in milliseconds.
    pub lag_ms: u64,
    /// Whether connections are accepted but get no response; announcements and HTTP are unaffected.
    pub frozen: bool,
    /// Whether PROMOTE and FOLLOW with newer terms are ignored but reported as successful.
    pub stubborn: bool,
}

/// Partial update of the faults; fields not given stay unchanged.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultChange {
    /// As in [`Fault`].
    pub lag_ms: Option<u64>,
    /// As in [`Fault`].
    pub frozen: Option<bool>,
    /// As in [`Fault`].
    pub stubborn: Option<bool>,
}

/// Faults shared by the tasks of the process.
#[derive(Debug)]
pub struct Faults {
    current: RefCell<Fault>,
    frozen: Cell<bool>,
    changed: Event,
}

impl Faults {
    /// Creates faults with a lag and no other fault active.
    pub fn new(lag_ms: u64) -> Self {
        Self {
            current: RefCell::new(Fault {
                lag_ms,
                frozen: false,
                stubborn: false,
            }),
            frozen: Cell::new(false),
            changed: Event::new(),
        }
    }

    /// Active faults.
    pub fn current(&self) -> Fault {
        *self.current.borrow()
    }

    /// Changes the faults and returns the result.
    pub fn change(&self, change: FaultChange) -> Fault {
        let mut current = self.current.borrow_mut();
        current.lag_ms = change.lag_ms.unwrap_or(current.lag_ms);
        current.frozen = change.frozen.unwrap_or(current.frozen);
        current.stubborn = change.stubborn.unwrap_or(current.stubborn);
        self.frozen.set(current.frozen);
        self.changed.notify(usize::MAX);
        *current
    }

    /// Delay before a replica applies received entries.
    pub fn lag(&self) -> Duration {
        Duration::from_millis(self.current.borrow().lag_ms)
    }

    /// Listens for the next change.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Waits until the process is not frozen.
    pub async fn wait_unfrozen(&self) {
        while self.frozen.get() {
            let changed = self.changed.listen();
            if self.frozen.get() {
                changed.await;
            }
        }
    }
}
