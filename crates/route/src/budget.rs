//! Retry budget, which limits retries to a fixed ratio of the requests.

/// Tokens added per request; a retry costs one token. A higher ratio would amplify an overload.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Default maximum of tokens, so that a quiet hour does not pay for a burst of retries.
const DEFAULT_CAPACITY: f64 = 10.0;

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
    capacity: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: 0.0,
            capacity: DEFAULT_CAPACITY,
        }
    }
}

impl RetryBudget {
    /// Creates a full budget with a capacity of `burst` retries.
    ///
    /// ```
    /// let mut budget = route::RetryBudget::full(3);
    /// assert_eq!((0..5).filter(|_| budget.withdraw()).count(), 3);
    /// ```
    #[must_use]
    pub fn full(burst: u32) -> Self {
        let capacity = f64::from(burst);
        Self {
            tokens: capacity,
            capacity,
        }
    }

    /// Adds the tokens of one request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(self.capacity);
    }

    /// Takes the token of one retry; returns `false` when the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        // Ten times 0.1 adds up to slightly less than 1 in binary floating point.
        let enough = self.tokens > 1.0 - 1e-6;
        if enough {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        enough
    }
}
