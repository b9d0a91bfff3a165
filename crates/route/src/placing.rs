//! Placing of a read on one of several members that may serve it.
//!
//! The load that this answers: many short reads from several entry processes on a few databases
//! with a few slots each. An entry process does not see what the others send, so that the time of
//! its own last answers stands for the queue at a database.

use std::time::{Duration, Instant};

use crate::Nearness;

/// Weight of a new measurement in the mean of answer times: one in so many.
const WEIGHT: u32 = 8;
/// A mean that was not renewed for this long counts no longer, so that a member that was slow once
/// is tried again. Objectives of operations are about this long.
const FORGET: Duration = Duration::from_secs(1);
/// Answer times assumed before any is measured: a statement of some milliseconds, and the round
/// trip within a zone, within a region and between regions.
const ASSUMED: [Duration; 3] = [
    Duration::from_millis(10),
    Duration::from_millis(12),
    Duration::from_millis(70),
];

/// Work of this process on one member.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    running: u32,
    mean: Duration,
    measured: Option<Instant>,
}

impl Load {
    /// Notes that a statement was sent.
    pub const fn begin(&mut self) {
        self.running += 1;
    }

    /// Notes that a statement ended; `took` is its answer time, if it was answered.
    pub fn end(&mut self, took: Option<Duration>, now: Instant) {
        self.running = self.running.saturating_sub(1);
        let Some(took) = took else { return };
        let fresh = self.fresh(now);
        self.mean = if fresh {
            (self.mean * (WEIGHT - 1) + took) / WEIGHT
        } else {
            took
        };
        self.measured = Some(now);
    }

    fn fresh(&self, now: Instant) -> bool {
        self.measured
            .is_some_and(|at| now.saturating_duration_since(at) < FORGET)
    }

    /// Statements that run.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Expected time until a statement that is sent now is answered, by a member with `slots`.
    ///
    /// ```
    /// use std::time::Instant;
    /// use route::{Nearness, placing::Load};
    ///
    /// let (idle, mut busy) = (Load::default(), Load::default());
    /// (0..4).for_each(|_| busy.begin());
    /// let now = Instant::now();
    /// assert!(idle.expected(Nearness::Zone, 2, now) < busy.expected(Nearness::Zone, 2, now));
    /// assert!(busy.expected(Nearness::Zone, 2, now) < idle.expected(Nearness::Far, 2, now));
    /// ```
    #[must_use]
    pub fn expected(&self, nearness: Nearness, slots: u32, now: Instant) -> Duration {
        let mean = if self.fresh(now) {
            self.mean
        } else {
            ASSUMED[match nearness {
                Nearness::Zone => 0,
                Nearness::Region => 1,
                Nearness::Far => 2,
            }]
        };
        mean + mean * self.running / slots.max(1)
    }
}
