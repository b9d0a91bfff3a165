//! Shares of a rate limit.

use base::{
    organisation::{KeyDigest, RateLimit},
    rates::Rates,
};

/// Thousandths of operations, or of operations per second.
pub type Milli = u32;
/// Id of an organisation, derived from its name.
pub type OrgId = u64;

/// One operation.
pub(crate) const OPERATION: Milli = 1_000;
/// Least depth of a limit whose rate is lent: enough for dozens of holders with a few operations each.
const RATE_DEPTH: Milli = 200 * OPERATION;
/// Part of the rate by which clocks may differ.
const DRIFT: f64 = 0.02;
/// Number of hexadecimal digits of an id.
const ID_DIGITS: usize = 16;

/// Rate and depth of a token bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Share {
    /// Thousandths of operations per second.
    pub rate: Milli,
    /// Thousandths of operations that the bucket holds at most.
    pub depth: Milli,
}

impl Share {
    /// The larger of both rates and the larger of both depths.
    ///
    /// ```
    /// use rate::Share;
    ///
    /// let (a, b) = (Share { rate: 1, depth: 4 }, Share { rate: 2, depth: 3 });
    /// assert_eq!(a.max(b), Share { rate: 2, depth: 4 });
    /// ```
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            depth: self.depth.max(other.depth),
        }
    }

    /// The smaller of both rates and the smaller of both depths.
    ///
    /// ```
    /// use rate::Share;
    ///
    /// let (a, b) = (Share { rate: 1, depth: 4 }, Share { rate: 2, depth: 3 });
    /// assert_eq!(a.min(b), Share { rate: 1, depth: 3 });
    /// ```
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            depth: self.depth.min(other.depth),
        }
    }

    pub(crate) const fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            depth: self.depth.saturating_add(other.depth),
        }
    }

    pub(crate) const fn minus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            depth: self.depth.saturating_sub(other.depth),
        }
    }

    pub(crate) fn is_zero(self) -> bool {
        self == Self::default()
    }
}

/// Id of the organisation with this name; the same in every version of the program.
///
/// ```
/// assert_eq!(rate::org_id("a"), rate::org_id("a"));
/// assert_ne!(rate::org_id("a"), rate::org_id("b"));
/// ```
#[must_use]
pub fn org_id(name: &str) -> OrgId {
    let digest = KeyDigest::of(name.as_bytes()).to_string();
    OrgId::from_str_radix(&digest[..ID_DIGITS], 16).unwrap_or_default()
}

/// Rate and depth that all shares of a limit together may have, so that no window of the settings
/// exceeds the limit by more than they allow.
///
/// ```
/// use base::{organisation::RateLimit, rates::Rates};
///
/// let limit = RateLimit { per_second: 100, burst: 50 };
/// // 50 + 0.1 * (100 * 5 + 50) + 20, less the drift of the clocks and one operation.
/// let all = rate::capacity(limit, &Rates::default());
/// assert_eq!(all, rate::Share { rate: 100_000, depth: 114_000 });
/// ```
#[must_use]
pub fn capacity(limit: RateLimit, rates: &Rates) -> Share {
    let per_second = f64::from(limit.per_second);
    let steady = per_second * rates.window_s;
    let burst = f64::from(limit.burst);
    let excess = rates.overage * (steady + burst) + f64::from(rates.slack);
    let margin = DRIFT * steady + 1.0;
    if excess >= margin {
        return Share {
            rate: milli(per_second),
            depth: milli(burst + excess - margin),
        };
    }
    Share {
        rate: milli(per_second * (1.0 - DRIFT)),
        depth: milli(burst + excess),
    }
}

/// The part of a limit that may be lent as shares. The rest only serves operations that wait for an
/// answer, and a new leader may use it while shares that it doesn't know are in force. So the part
/// depends on nothing but the limit.
///
/// A bucket with a rate needs a depth of some operations, or most of what flows in is lost. Where the
/// depth is too small for that, no rate is lent.
///
/// ```
/// use rate::{Share, lendable};
///
/// let small = lendable(Share { rate: 2_000, depth: 20_000 });
/// assert_eq!(small, Share { rate: 0, depth: 10_000 });
/// let large = lendable(Share { rate: 500_000, depth: 600_000 });
/// assert_eq!(large, Share { rate: 400_000, depth: 480_000 });
/// ```
#[must_use]
pub const fn lendable(limit: Share) -> Share {
    if limit.depth < RATE_DEPTH {
        return Share {
            rate: 0,
            depth: limit.depth / 2,
        };
    }
    Share {
        rate: limit.rate / 5 * 4,
        depth: limit.depth / 5 * 4,
    }
}

/// Converts operations to thousandths, rounded down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
pub(crate) fn milli(operations: f64) -> Milli {
    (operations * 1_000.0).clamp(0.0, f64::from(Milli::MAX)) as Milli
}
