//! What a request is owed.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Owner, importance and time limits of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// Organisation of the caller; `None` without one.
    pub owner: Option<Rc<str>>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// When the answer should be there, and how long after the start of the operation that is.
    /// Without one, the answer is worth the same at any time before the deadline.
    pub objective: Option<(Instant, Duration)>,
    /// When the answer is no longer of use.
    pub deadline: Instant,
}

impl Terms {
    /// Terms with nothing but a deadline. Among such requests, the first in is the first out.
    ///
    /// ```
    /// use std::time::Instant;
    /// use order::Terms;
    ///
    /// let now = Instant::now();
    /// assert_eq!(Terms::until(now).priority, 0);
    /// assert!(!Terms::until(now).is_late(now));
    /// ```
    #[must_use]
    pub const fn until(deadline: Instant) -> Self {
        Self {
            owner: None,
            priority: 0,
            objective: None,
            deadline,
        }
    }

    /// Whether an answer at `done` misses the objective.
    #[must_use]
    pub fn is_late(&self, done: Instant) -> bool {
        self.objective.is_some_and(|(due, _)| done > due)
    }

    /// Priority at `now`: it rises by one for each half of the objective that the request has waited.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use order::Terms;
    ///
    /// let (now, limit) = (Instant::now(), Duration::from_secs(1));
    /// let objective = Some((now + limit, limit));
    /// let terms = Terms { priority: 2, objective, ..Terms::until(now + 2 * limit) };
    /// assert_eq!(terms.priority_at(now), 2);
    /// assert_eq!(terms.priority_at(now + limit / 2), 1);
    /// ```
    #[must_use]
    pub fn priority_at(&self, now: Instant) -> u32 {
        let Some((due, limit)) = self.objective else {
            return self.priority;
        };
        let left = due.saturating_duration_since(now);
        let waited = limit.saturating_sub(left).as_millis();
        let risen = (2 * waited).checked_div(limit.as_millis()).unwrap_or(2);
        self.priority
            .saturating_sub(u32::try_from(risen).unwrap_or(u32::MAX))
    }
}
