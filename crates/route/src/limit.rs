//! Concurrency limits that an entry process adapts to rejections, because it does not see what the
//! other entry processes use.
//!
//! Designed for several entry processes that send statements to the same databases, each with
//! another latency and another share of the callers. A database queues some statements and rejects
//! further ones at once, which costs it nothing. Each process raises its limit while the limit is
//! reached, and lowers it after a rejection. This additive increase and multiplicative decrease
//! converges to equal shares for equal demand.

use std::time::{Duration, Instant};

/// Factor by which a rejection lowers the limit.
const DECREASE_FACTOR: f64 = 0.7;
/// Minimum time between two decreases. Rejections within it have the same cause as the last decrease,
/// because a lower limit takes one response time to show an effect.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Limit on the concurrent use of a resource.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    /// Current limit. Its fractional part accumulates until the limit rises by one.
    current: f64,
    min: f64,
    max: f64,
    decreased_at: Option<Instant>,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `initial` and stays between `min` and `max`.
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
    pub fn new(initial: u32, min: u32, max: u32) -> Self {
        let (min, max) = (f64::from(min), f64::from(max.max(min)));
        Self {
            current: f64::from(initial).clamp(min, max),
            min,
            max,
            decreased_at: None,
        }
    }

    /// Returns the current limit.
    #[must_use]
    pub fn get(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "both bounds of the limit are of type u32"
        )]
        let current = self.current as u32;
        current
    }

    /// Changes the bounds.
    pub fn set_bounds(&mut self, min: u32, max: u32) {
        self.min = f64::from(min);
        self.max = f64::from(max.max(min));
        self.current = self.current.clamp(self.min, self.max);
    }

    /// Records an accepted use while `in_use` were in use. If the limit was reached, raises it by
    /// the inverse of itself, which is one per `limit` accepted uses.
    pub fn record_accepted(&mut self, in_use: u32) {
        if in_use >= self.get() {
            self.current = (self.current + 1.0 / self.current.max(1.0)).min(self.max);
        }
    }

    /// Records at `now` that a use was rejected, and lowers the limit.
    pub fn record_rejected(&mut self, now: Instant) {
        let settling = self
            .decreased_at
            .is_some_and(|at| now.saturating_duration_since(at) < DECREASE_INTERVAL);
        if !settling {
            self.decreased_at = Some(now);
            self.current = (self.current * DECREASE_FACTOR).max(self.min);
        }
    }
}
