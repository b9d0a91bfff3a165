//! Share of a database's connections that one entry process may hold.

use std::time::{Duration, Instant};

/// Percentage by which a permit ends early: the bound on clock drift.
const DRIFT_PERCENT: u32 = 1;

#[derive(Debug, Clone, Copy)]
struct Permit {
    lent: u32,
    until: Instant,
}

/// Base share, which does not expire, and lent connections, which end with their permit.
#[derive(Debug, Clone)]
pub struct ConnectionShare {
    connections: u32,
    entries: u32,
    permits: Vec<Permit>,
}

impl ConnectionShare {
    /// Creates the share of one entry process in a database with `connections`, divided among at
    /// most `entries` entry processes.
    #[must_use]
    pub const fn new(connections: u32, entries: u32) -> Self {
        Self {
            connections,
            entries,
            permits: Vec::new(),
        }
    }

    /// Applies a changed configuration.
    pub const fn configure(&mut self, connections: u32, entries: u32) {
        self.connections = connections;
        self.entries = entries;
    }

    /// Connections that may be held without a permit.
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

    /// Adds a permit for `lent` connections that was requested at `requested` and is valid for
    /// `duration`.
    pub fn add_permit(&mut self, lent: u32, requested: Instant, duration: Duration) {
        let until = requested + duration * (100 - DRIFT_PERCENT) / 100;
        if self.permits.last().is_some_and(|last| until < last.until) {
            return;
        }
        // An older permit matters only if it lends more than all later ones.
        self.permits.retain(|old| old.lent > lent);
        self.permits.push(Permit { lent, until });
    }

    /// Connections that may be opened or kept idle: the base share and the latest permit.
    #[must_use]
    pub fn target(&self, now: Instant) -> u32 {
        let latest = self.permits.last().filter(|permit| now < permit.until);
        self.base() + latest.map_or(0, |permit| permit.lent)
    }

    /// Connections that may exist: the base share and the largest permit that has not ended.
    /// `margin` is the time that closing a connection takes.
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

    /// Maximum number of statements that this process may run at once on a database with `slots`.
    ///
    /// The slots are divided in the same proportion as the connections. The control leader lends
    /// those according to the demand of the entry processes that use the database.
    #[must_use]
    pub fn slots(&self, slots: u32, now: Instant) -> u32 {
        let all = (self.base() + self.lendable()).max(1);
        (slots.saturating_mul(self.target(now)) / all).clamp(1, slots.max(1))
    }
}
