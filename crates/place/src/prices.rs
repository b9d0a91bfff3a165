//! Price of leaving the zone.

use std::time::Duration;

use route::Proximity;
use serde::Deserialize;

/// How much sooner an answer has to come from further away for leaving to pay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Price of a read in another zone of the region, in milliseconds.
    pub zone_ms: u64,
    /// Price of a read in another region, in milliseconds.
    pub region_ms: u64,
}

/// Callers don't notice a few milliseconds, and latency objectives start at some tens of them.
impl Default for Prices {
    fn default() -> Self {
        Self {
            zone_ms: 3,
            region_ms: 20,
        }
    }
}

impl Prices {
    /// Longest price. Beyond it no caller would wait for the nearer answer.
    const MAX_MS: u64 = 10_000;

    /// Price of a read at this distance.
    ///
    /// ```
    /// use std::time::Duration;
    /// use place::Prices;
    /// use route::Proximity::{SameRegion, SameZone};
    ///
    /// let prices = Prices { zone_ms: 3, region_ms: 20 };
    /// assert_eq!(prices.at(SameZone), Duration::ZERO);
    /// assert_eq!(prices.at(SameRegion), Duration::from_millis(3));
    /// ```
    #[must_use]
    pub const fn at(&self, proximity: Proximity) -> Duration {
        Duration::from_millis(match proximity {
            Proximity::SameZone => 0,
            Proximity::SameRegion => self.zone_ms,
            Proximity::OtherRegion => self.region_ms,
        })
    }

    /// Checks the values. The cause of an invalid one is one sentence, and so is the fix.
    ///
    /// ```
    /// use place::Prices;
    ///
    /// assert!(Prices::default().check().is_ok());
    /// assert!(Prices { zone_ms: 5, region_ms: 1 }.check().is_err());
    /// ```
    ///
    /// # Errors
    /// Another region costs less than another zone, or a price is too high.
    pub const fn check(&self) -> Result<(), (&'static str, &'static str)> {
        if self.region_ms < self.zone_ms {
            return Err((
                "place.region_ms is less than place.zone_ms",
                "set place.region_ms to place.zone_ms or more",
            ));
        }
        if self.region_ms > Self::MAX_MS {
            return Err((
                "place.region_ms is longer than any read waits",
                "set it to 10000 or less",
            ));
        }
        Ok(())
    }
}
