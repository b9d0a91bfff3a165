//! Retry budget: retries stay a fixed part of the requests.

/// Tokens that a request adds; ten requests pay for one retry. More retries would multiply an
/// overload.
const EARNED: f64 = 0.1;
/// Tokens kept at most by default, so that a quiet hour does not pay for a burst of retries.
const KEPT: f64 = 10.0;

/// Allows one retry per ten requests.
///
/// ```
/// let mut budget = route::RetryBudget::default();
/// assert!(!budget.withdraw());
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.withdraw());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    kept: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: 0.0,
            kept: KEPT,
        }
    }
}

impl RetryBudget {
    /// Budget that keeps up to `burst` retries and starts with all of them.
    ///
    /// ```
    /// let mut budget = route::RetryBudget::full(3);
    /// assert_eq!((0..5).filter(|_| budget.withdraw()).count(), 3);
    /// ```
    #[must_use]
    pub fn full(burst: u32) -> Self {
        let kept = f64::from(burst);
        Self { tokens: kept, kept }
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + EARNED).min(self.kept);
    }

    /// Takes the tokens of one retry; `false` when the budget is spent.
    pub fn withdraw(&mut self) -> bool {
        // The sum of ten tenths is slightly under one in binary.
        let enough = self.tokens > 1.0 - 1e-6;
        if enough {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        enough
    }
}
