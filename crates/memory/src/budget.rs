//! Decides which connections may hold large messages, and which one is closed.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::Limits;

/// Identifies a connection that holds memory beyond its floor.
pub type HolderId = u64;

/// A connection that holds memory while others wait may be closed once it moved less than
/// [`STEP_BYTES`] in this time.
const STALL_LIMIT: Duration = Duration::from_secs(2);
/// Bytes that count as progress of a connection. Fewer let a slow client hold its memory forever.
const STEP_BYTES: usize = 64 << 10;

/// What a connection holds.
#[derive(Debug, Clone, Copy)]
struct Holder {
    bytes: usize,
    /// Whether the connection waits for its client, rather than for this process or a database.
    on_client: bool,
    /// When the last step was complete.
    step_at: Instant,
    /// Bytes moved since.
    moved: usize,
}

/// Memory beyond the floors that the connections of a process share. Not every connection is known
/// to it, only those that hold some.
///
/// ```
/// use std::time::Instant;
/// use memory::{Budget, Limits};
///
/// let mut budget = Budget::new(Limits::new(64 << 20, None));
/// let now = Instant::now();
/// assert!(budget.reserve(1, 12 << 20, now));
/// assert!(!budget.reserve(2, 8 << 20, now));
/// budget.release(1);
/// assert!(budget.reserve(2, 8 << 20, now));
/// ```
#[derive(Debug)]
pub struct Budget {
    limits: Limits,
    used: usize,
    kept: usize,
    holders: BTreeMap<HolderId, Holder>,
}

impl Budget {
    /// An unused budget.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            used: 0,
            kept: 0,
            holders: BTreeMap::new(),
        }
    }

    /// Bytes that connections hold beyond their floors, with what their sessions keep.
    #[must_use]
    pub const fn used(&self) -> usize {
        self.used + self.kept
    }

    /// Whether `bytes` could be held by one connection if no other held any.
    #[must_use]
    pub const fn is_possible(&self, bytes: usize) -> bool {
        bytes <= self.room(bytes)
    }

    /// Memory that reservations may take up together with one of `bytes`. A quarter is left to smaller
    /// ones than an eighth, so that a crowd of large messages doesn't keep them waiting.
    const fn room(&self, bytes: usize) -> usize {
        let all = self.limits.large_bytes;
        if bytes > all / 8 { all - all / 4 } else { all }
    }

    /// Raises what a connection holds to `bytes` in total if that fits. Smaller reservations than
    /// those that wait may go first, so that a large one delays no small one.
    pub fn reserve(&mut self, id: HolderId, bytes: usize, now: Instant) -> bool {
        let held = self.holders.get(&id).map_or(0, |holder| holder.bytes);
        let more = bytes.saturating_sub(held);
        if more > 0 && self.used + more > self.room(bytes) {
            return false;
        }
        self.charge(id, bytes, now);
        true
    }

    /// As [`Self::reserve`], for bytes that are in memory already: they count even if they don't fit.
    pub fn charge(&mut self, id: HolderId, bytes: usize, now: Instant) {
        let holder = self.holders.entry(id).or_insert(Holder {
            bytes: 0,
            on_client: true,
            step_at: now,
            moved: 0,
        });
        let more = bytes.saturating_sub(holder.bytes);
        holder.bytes += more;
        self.used += more;
    }

    /// Records that a connection now waits for its client, or that it doesn't.
    pub fn set_on_client(&mut self, id: HolderId, on_client: bool, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&id) {
            if on_client && !holder.on_client {
                (holder.step_at, holder.moved) = (now, 0);
            }
            holder.on_client = on_client;
        }
    }

    /// Records that the client sent or received `bytes`.
    pub fn record_moved(&mut self, id: HolderId, bytes: usize, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.moved += bytes;
            if holder.moved >= STEP_BYTES {
                (holder.step_at, holder.moved) = (now, 0);
            }
        }
    }

    /// Whether a connection holds memory.
    #[must_use]
    pub fn holds(&self, id: HolderId) -> bool {
        self.holders.contains_key(&id)
    }

    /// Frees what a connection holds. Returns whether that was anything.
    pub fn release(&mut self, id: HolderId) -> bool {
        let holder = self.holders.remove(&id);
        self.used -= holder.map_or(0, |holder| holder.bytes);
        holder.is_some()
    }

    /// Connection to close while others wait: the one that waits for its client without progress for
    /// the longest. `None` if none does for long enough.
    #[must_use]
    pub fn stalled(&self, now: Instant) -> Option<HolderId> {
        let waiting = self.holders.iter().filter(|(_, holder)| {
            holder.on_client && now.saturating_duration_since(holder.step_at) >= STALL_LIMIT
        });
        let longest = waiting.min_by_key(|(_, holder)| holder.step_at);
        longest.map(|(id, _)| *id)
    }

    /// Takes `bytes` for what a session keeps; false if they don't fit.
    pub const fn keep(&mut self, bytes: usize) -> bool {
        let fits = self.kept + bytes <= self.limits.kept_bytes;
        if fits {
            self.kept += bytes;
        }
        fits
    }

    /// Returns bytes taken with [`Self::keep`].
    pub const fn forget(&mut self, bytes: usize) {
        self.kept -= bytes;
    }
}
