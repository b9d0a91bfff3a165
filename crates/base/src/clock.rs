//! Clock that also counts the time during which the machine was suspended.

use std::{
    sync::OnceLock,
    time::{Duration, Instant},
};

use rustix::time::{ClockId, clock_gettime};

/// Number of attempts to read both clocks at nearly the same time.
const ANCHOR_READINGS: usize = 8;

/// Present time on a clock that also counts suspended time, for ages that decide about safety.
///
/// It equals [`Instant::now`] as long as nothing was suspended, never goes back, and stays ahead
/// after a suspension. Timers and deadlines use [`Instant::now`]; the two must not be compared.
///
/// ```
/// let earlier = base::clock::now();
/// assert!(base::clock::now() >= earlier);
/// ```
#[must_use]
pub fn now() -> Instant {
    static CLOCK: OnceLock<SuspendAware> = OnceLock::new();
    let clock = CLOCK.get_or_init(anchor);
    // In this order, so that a pause between the readings does not count as a suspension.
    let boot = boot_time();
    clock.at(Instant::now(), boot) + injected_suspension()
}

/// Relation between the steady clock and a clock that also counts suspended time.
#[derive(Debug, Clone, Copy)]
pub struct SuspendAware {
    steady: Instant,
    boot: Duration,
}

impl SuspendAware {
    /// Starts with a pair of readings. The steady clock must be read first.
    #[must_use]
    pub const fn new(steady: Instant, boot: Duration) -> Self {
        Self { steady, boot }
    }

    /// Time at a later pair of readings: the steady clock plus the time suspended since the start.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use base::clock::SuspendAware;
    ///
    /// let second = Duration::from_secs(1);
    /// let start = Instant::now();
    /// let clock = SuspendAware::new(start, 10 * second);
    /// assert_eq!(clock.at(start + second, 11 * second), start + second);
    /// assert_eq!(clock.at(start + second, 14 * second), start + 4 * second);
    /// ```
    #[must_use]
    pub fn at(&self, steady: Instant, boot: Duration) -> Instant {
        steady.max(self.steady + boot.saturating_sub(self.boot))
    }
}

fn anchor() -> SuspendAware {
    let readings = (0..ANCHOR_READINGS).map(|_| {
        let steady = Instant::now();
        let boot = boot_time();
        (steady.elapsed(), SuspendAware::new(steady, boot))
    });
    let closest = readings.min_by_key(|(gap, _)| *gap);
    closest.map_or_else(
        || SuspendAware::new(Instant::now(), boot_time()),
        |(_, clock)| clock,
    )
}

fn boot_time() -> Duration {
    Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
}

/// Suspended time that the fault point `clock-suspended` adds: `return(milliseconds)`.
#[cfg(feature = "failpoints")]
fn injected_suspension() -> Duration {
    fail::fail_point!("clock-suspended", |millis| {
        let millis = millis.and_then(|millis| millis.parse().ok());
        Duration::from_millis(millis.unwrap_or_default())
    });
    Duration::ZERO
}

#[cfg(not(feature = "failpoints"))]
const fn injected_suspension() -> Duration {
    Duration::ZERO
}
