//! Share of a database's connections that one entry process may hold.

use std::time::{Duration, Instant};

/// Part of a permit's term that is not used, in percent: the bound on clock drift.
const DRIFT_PERCENT: u32 = 1;

#[derive(Debug, Clone, Copy)]
struct Permit {
    lent: u32,
    until: Instant,
}

/// Base share, which always holds, and lent connections, which end with their permit.
#[derive(Debug, Clone)]
pub struct ConnectionShare {
    connections: u32,
    entries: u32,
    permits: Vec<Permit>,
}

impl ConnectionShare {
    /// Share of a database with `connections`, divided over at most `entries` entry processes.
    #[must_use]
    pub const fn new(connections: u32, entries: u32) -> Self {
        Self {
            connections,
            entries,
            permits: Vec::new(),
        }
    }

    /// Takes over a changed configuration.
    pub const fn configure(&mut self, connections: u32, entries: u32) {
        self.connections = connections;
        self.entries = entries;
    }

    /// Connections that may always be held.
    #[must_use]
    pub const fn base(&self) -> u32 {
        match self.connections.checked_div(self.entries) {
            Some(base) => base,
            None => 0,
        }
    }

    /// Connections that the control leader may lend to all entry processes together.
    #[must_use]
    pub const fn lendable(&self) -> u32 {
        self.connections - self.base() * self.entries
    }

    /// Notes a permit for `lent` connections that was requested at `requested` and is valid for
    /// `term`.
    pub fn add_permit(&mut self, lent: u32, requested: Instant, term: Duration) {
        let until = requested + term * (100 - DRIFT_PERCENT) / 100;
        if self.permits.last().is_some_and(|last| until < last.until) {
            return;
        }
        // Only a permit that lends more than all later ones still matters.
        self.permits.retain(|old| old.lent > lent);
        self.permits.push(Permit { lent, until });
    }

    /// Connections that may be opened or kept idle: the base share and the latest permit.
    #[must_use]
    pub fn target(&self, now: Instant) -> u32 {
        let lent = self.permits.last().filter(|permit| now < permit.until);
        self.base() + lent.map_or(0, |permit| permit.lent)
    }

    /// Connections that may exist: the base share and the largest permit that has not ended.
    /// `margin` is the time that closing takes.
    #[must_use]
    pub fn limit(&self, now: Instant, margin: Duration) -> u32 {
        let lent = self
            .permits
            .iter()
            .filter(|permit| now + margin < permit.until)
            .map(|permit| permit.lent)
            .max();
        self.base() + lent.unwrap_or(0)
    }

    /// Statements that this process may run at once on a database with `slots`.
    ///
    /// The slots are divided in the proportion in which the control leader lends connections,
    /// which follows the demand of the entry processes that use the database.
    #[must_use]
    pub fn slots(&self, slots: u32, now: Instant) -> u32 {
        let all = (self.base() + self.lendable()).max(1);
        (slots * self.target(now) / all).clamp(1, slots.max(1))
    }
}
