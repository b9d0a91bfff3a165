//! Detection of refusing and silent members from probe results.

use std::time::{Duration, Instant};

/// Time without a successful answer after which a member is silent: three probe intervals of
/// 250 ms.
pub const SILENT_AFTER: Duration = Duration::from_millis(750);

/// Health of a member according to the probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The member answers.
    Ok,
    /// The address of the member refuses connections.
    Refused,
    /// The member does not answer.
    Silent,
}

/// Derives the health of one member from the results of its probes.
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
    /// Time of the last successful answer, or of the start.
    last_answer: Instant,
    refused: bool,
    has_answered: bool,
    /// Whether the last attempt timed out.
    timed_out: bool,
}

impl FailureDetector {
    /// Creates a detector for a member that has not answered yet.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            last_answer: now,
            refused: false,
            has_answered: false,
            timed_out: false,
        }
    }

    /// Records a successful answer to a probe.
    pub const fn record_answer(&mut self, now: Instant) {
        self.last_answer = now;
        self.refused = false;
        self.timed_out = false;
        self.has_answered = true;
    }

    /// Records that the address refused the connection or the probe.
    pub const fn record_refusal(&mut self) {
        self.refused = true;
    }

    /// Records that the address accepted a connection, before any answer to a probe.
    pub const fn record_connection(&mut self) {
        self.refused = false;
        self.timed_out = false;
    }

    /// Records a probe without an answer before its deadline.
    pub const fn record_timeout(&mut self) {
        self.refused = false;
        self.timed_out = true;
    }

    /// Health at `now`. A member that has never answered is silent.
    #[must_use]
    pub fn health(&self, now: Instant) -> Health {
        if self.refused {
            Health::Refused
        } else if !self.has_answered || self.since_last_answer(now) >= SILENT_AFTER {
            Health::Silent
        } else {
            Health::Ok
        }
    }

    /// Health according to the last attempt alone, for a member that is probed on demand only. A
    /// member that was never reached counts as healthy: after a restart of the entry processes, all
    /// of its connections may be taken.
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
        } else if self.timed_out {
            Health::Silent
        } else {
            Health::Ok
        }
    }

    /// Time since the last successful answer, or since the start if there was none.
    #[must_use]
    pub fn since_last_answer(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_answer)
    }
}
