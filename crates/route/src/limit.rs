//! Limits that an entry process finds out by itself, because it does not see what the others use.
//!
//! The load that this answers: several entry processes send statements to the same databases, each
//! from another distance and with another share of the callers. A database queues some statements
//! and answers at once that it has no room for more, which costs it nothing. Each process raises its
//! limit while it is used up, and lowers it when there was no room: additive increase and
//! multiplicative decrease, which ends at equal shares for equal demand.

use std::time::{Duration, Instant};

/// Part of the limit that is kept when there was no room.
const KEPT: f64 = 0.7;
/// Answers within this time after a decrease were caused by the same surplus: it takes one answer
/// time until a lower limit shows.
const SETTLE: Duration = Duration::from_millis(100);

/// A limit on something used at once.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    /// The limit, in fractions between two raises by one.
    now: f64,
    least: f64,
    most: f64,
    lowered: Option<Instant>,
}

impl AdaptiveLimit {
    /// Starts at `first`, and stays between `least` and `most`.
    ///
    /// ```
    /// use std::time::Instant;
    /// use route::limit::AdaptiveLimit;
    ///
    /// let mut limit = AdaptiveLimit::new(4, 1, 64);
    /// limit.record_accepted(4);
    /// limit.record_accepted(4);
    /// limit.record_rejected(Instant::now());
    /// assert_eq!(limit.get(), 3);
    /// ```
    #[must_use]
    pub fn new(first: u32, least: u32, most: u32) -> Self {
        let (least, most) = (f64::from(least), f64::from(most.max(least)));
        Self {
            now: f64::from(first).clamp(least, most),
            least,
            most,
            lowered: None,
        }
    }

    /// The limit.
    #[must_use]
    pub fn get(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the limit lies between two u32"
        )]
        let now = self.now as u32;
        now
    }

    /// Takes over changed bounds.
    pub fn set_bounds(&mut self, least: u32, most: u32) {
        self.least = f64::from(least);
        self.most = f64::from(most.max(least));
        self.now = self.now.clamp(self.least, self.most);
    }

    /// Notes that there was room while `used` were in use; raises the limit by one after as many
    /// uses as it allows at once, if it is used up.
    pub fn record_accepted(&mut self, used: u32) {
        if used >= self.get() {
            self.now = (self.now + 1.0 / self.now.max(1.0)).min(self.most);
        }
    }

    /// Notes at `now` that there was no room.
    pub fn record_rejected(&mut self, now: Instant) {
        let settling = self
            .lowered
            .is_some_and(|at| now.saturating_duration_since(at) < SETTLE);
        if !settling {
            self.lowered = Some(now);
            self.now = (self.now * KEPT).max(self.least);
        }
    }
}
