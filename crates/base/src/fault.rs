//! Fault points that disable a mechanism in test builds.

/// Whether the fault point `point` disables a mechanism by its action `return`; always `false`
/// without the feature `failpoints`.
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

/// Whether the fault point `point` disables a mechanism; always `false` without the feature
/// `failpoints`.
#[cfg(not(feature = "failpoints"))]
#[must_use]
pub const fn disabled(_point: &str) -> bool {
    false
}
