//! Settings of the rate limits, which entry processes and control hosts share.

use serde::Deserialize;

/// Enforcement of the organisations' rate limits: in any span of length `window_s`, an organisation
/// runs at most `(rate * window_s + burst) * (1 + overage) + slack` operations.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rates {
    /// Length of the span, in seconds.
    pub window_s: f64,
    /// Part of the limit by which it may be exceeded.
    pub overage: f64,
    /// Number of operations by which the limit may be exceeded.
    pub slack: u32,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            window_s: 5.0,
            overage: 0.1,
            slack: 20,
        }
    }
}

impl Rates {
    /// Checks the values. The cause of an invalid one is one sentence, and so is the fix.
    ///
    /// # Errors
    /// A value is negative, not finite, or zero where a length is needed.
    pub fn check(&self) -> Result<(), (&'static str, &'static str)> {
        if !(self.window_s.is_finite() && self.window_s > 0.0) {
            return Err((
                "rates.window_s is no length of time",
                "set it in seconds, for example 5",
            ));
        }
        if !(self.overage.is_finite() && self.overage >= 0.0) {
            return Err((
                "rates.overage is not a part of the limit",
                "set it to 0 or more, for example 0.1",
            ));
        }
        Ok(())
    }
}
