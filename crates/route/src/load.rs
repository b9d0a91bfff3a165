//! Expected response time of a member, by which a read chooses among members that may serve it.
//!
//! Designed for many short reads from several entry processes to a few databases with a few slots
//! each. An entry process does not see what the others send, so it estimates the queue at a database
//! from the response times of its own recent statements.

use std::time::{Duration, Instant};

use crate::Proximity;

/// Divisor of a new sample in the exponential moving average of response times.
const SMOOTHING: u32 = 8;
/// Age at which the average is discarded, so that a member that was slow once is tried again.
/// Latency objectives of operations are of about this length.
const AVERAGE_TTL: Duration = Duration::from_secs(1);
/// Response times assumed before any is measured: a statement of some milliseconds plus the round
/// trip within a zone, within a region and between regions.
const DEFAULT_RESPONSE_TIMES: [Duration; 3] = [
    Duration::from_millis(10),
    Duration::from_millis(12),
    Duration::from_millis(70),
];

/// Statements in flight and average response time of one member, as seen by this process.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemberLoad {
    running: u32,
    average: Duration,
    measured_at: Option<Instant>,
}

impl MemberLoad {
    /// Records that a statement was sent.
    pub const fn begin(&mut self) {
        self.running += 1;
    }

    /// Records that a statement ended. `took` is its response time if it was answered.
    pub fn end(&mut self, took: Option<Duration>, now: Instant) {
        self.running = self.running.saturating_sub(1);
        let Some(took) = took else { return };
        let recent = self.is_recent(now);
        self.average = if recent {
            (self.average * (SMOOTHING - 1) + took) / SMOOTHING
        } else {
            took
        };
        self.measured_at = Some(now);
    }

    /// Whether an answer arrived recently enough for the average to count.
    #[must_use]
    pub fn is_recent(&self, now: Instant) -> bool {
        self.measured_at
            .is_some_and(|at| now.saturating_duration_since(at) < AVERAGE_TTL)
    }

    /// Number of statements in flight.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Expected response time of a statement sent now to a member that runs `slots` at once.
    ///
    /// ```
    /// use std::time::Instant;
    /// use route::{Proximity::{OtherRegion, SameZone}, load::MemberLoad};
    ///
    /// let (idle, mut busy) = (MemberLoad::default(), MemberLoad::default());
    /// (0..4).for_each(|_| busy.begin());
    /// let now = Instant::now();
    /// let nearby = idle.expected_response_time(SameZone, 2, now);
    /// assert!(nearby < busy.expected_response_time(SameZone, 2, now));
    /// let distant = idle.expected_response_time(OtherRegion, 2, now);
    /// assert!(busy.expected_response_time(SameZone, 2, now) < distant);
    /// ```
    #[must_use]
    pub fn expected_response_time(
        &self,
        proximity: Proximity,
        slots: u32,
        now: Instant,
    ) -> Duration {
        let average = if self.is_recent(now) {
            self.average
        } else {
            DEFAULT_RESPONSE_TIMES[match proximity {
                Proximity::SameZone => 0,
                Proximity::SameRegion => 1,
                Proximity::OtherRegion => 2,
            }]
        };
        average + average * self.running / slots.max(1)
    }
}
