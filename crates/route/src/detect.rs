//! Detection of refused and silent members from probe results.

use std::time::{Duration, Instant};

/// A member without a good answer for this long is silent: three probe intervals of 250 ms.
pub const SILENT_AFTER: Duration = Duration::from_millis(750);

/// State of a member as the probes see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answers.
    Ok,
    /// Its address refuses connections.
    Refused,
    /// It does not answer.
    Silent,
}

/// Results of the probes of one member.
///
/// ```
/// use std::time::{Duration, Instant};
/// use route::{FailureDetector, Health};
///
/// let now = Instant::now();
/// let mut member = FailureDetector::new(now);
/// member.record_answer(now);
/// assert_eq!(member.health(now), Health::Ok);
/// assert_eq!(member.health(now + Duration::from_secs(1)), Health::Silent);
/// ```
#[derive(Debug, Clone)]
pub struct FailureDetector {
    good: Instant,
    refused: bool,
    answered: bool,
    /// Whether the last attempt got no answer.
    silent: bool,
}

impl FailureDetector {
    /// Starts with a member that has not answered yet.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            good: now,
            refused: false,
            answered: false,
            silent: false,
        }
    }

    /// Notes a good answer to a probe.
    pub const fn record_answer(&mut self, now: Instant) {
        self.good = now;
        self.refused = false;
        self.silent = false;
        self.answered = true;
    }

    /// Notes that the address refused the connection or the probe.
    pub const fn record_refusal(&mut self) {
        self.refused = true;
    }

    /// Notes that the address accepts connections, though nothing was answered yet.
    pub const fn record_connection(&mut self) {
        self.refused = false;
        self.silent = false;
    }

    /// Notes a probe that got no answer before its deadline.
    pub const fn record_timeout(&mut self) {
        self.refused = false;
        self.silent = true;
    }

    /// State at `now`. A member that has never answered is silent.
    #[must_use]
    pub fn health(&self, now: Instant) -> Health {
        if self.refused {
            Health::Refused
        } else if !self.answered || self.since_last_answer(now) >= SILENT_AFTER {
            Health::Silent
        } else {
            Health::Ok
        }
    }

    /// State by the last attempt alone, for a member that is asked only when there is a reason. One
    /// that was never reached is not failed: after a restart its connections may all be taken.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use route::{FailureDetector, Health};
    ///
    /// let now = Instant::now();
    /// let mut member = FailureDetector::new(now);
    /// member.record_answer(now);
    /// assert_eq!(member.last_attempt(), Health::Ok);
    /// member.record_timeout();
    /// assert_eq!(member.last_attempt(), Health::Silent);
    /// ```
    #[must_use]
    pub const fn last_attempt(&self) -> Health {
        if self.refused {
            Health::Refused
        } else if self.silent {
            Health::Silent
        } else {
            Health::Ok
        }
    }

    /// Time since the last good answer, or since the start when there was none.
    #[must_use]
    pub fn since_last_answer(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.good)
    }
}
