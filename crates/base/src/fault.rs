//! Mechanisms that a fault point of a test build switches off.

/// Whether the fault point `point` switches a mechanism off with the action `return`; never without
/// the feature `failpoints`.
///
/// ```
/// assert!(!base::fault::disabled("lease-disabled"));
/// ```
#[cfg(feature = "failpoints")]
#[must_use]
pub fn disabled(point: &str) -> bool {
    fail::fail_point!(point, |_| true);
    false
}

/// Whether the fault point `point` switches a mechanism off; never without the feature
/// `failpoints`.
#[cfg(not(feature = "failpoints"))]
#[must_use]
pub const fn disabled(_point: &str) -> bool {
    false
}
