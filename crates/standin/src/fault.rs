//! Faults that a test switches on while the process runs.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use event_listener::{Event, EventListener};
use serde::{Deserialize, Serialize};

/// Faults in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Delay before a replica applies what it received, in milliseconds.
    pub lag_ms: u64,
    /// Whether connections are accepted but nothing is answered; announcements and HTTP go on.
    pub frozen: bool,
    /// Whether newer terms are ignored.
    pub stubborn: bool,
}

/// Change of the faults; what is not named stays.
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
    /// Starts with a lag and no other fault.
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

    /// Faults in force.
    pub fn current(&self) -> Fault {
        *self.current.borrow()
    }

    /// Changes the faults and returns those in force afterwards.
    pub fn change(&self, change: FaultChange) -> Fault {
        let mut current = self.current.borrow_mut();
        current.lag_ms = change.lag_ms.unwrap_or(current.lag_ms);
        current.frozen = change.frozen.unwrap_or(current.frozen);
        current.stubborn = change.stubborn.unwrap_or(current.stubborn);
        self.frozen.set(current.frozen);
        self.changed.notify(usize::MAX);
        *current
    }

    /// Delay before a replica applies what it received.
    pub fn lag(&self) -> Duration {
        Duration::from_millis(self.current.borrow().lag_ms)
    }

    /// Listens for the next change.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Waits until the process is not frozen.
    pub async fn thaw(&self) {
        while self.frozen.get() {
            let changed = self.changed.listen();
            if self.frozen.get() {
                changed.await;
            }
        }
    }
}
