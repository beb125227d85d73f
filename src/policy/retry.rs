//! Retry budget: keeps retries from multiplying the load during a failure.

/// Tokens that a request adds; a retry takes 1.
const RETRIES_PER_REQUEST: f64 = 0.1;
const MAX_RETRY_TOKENS: f64 = 10.0;

/// Token bucket that requests fill and retries drain.
///
/// ```
/// use plantainnotch::policy::retry::RetryBudget;
/// let mut budget = RetryBudget::default();
/// let allowed = (0..100).filter(|_| budget.try_spend()).count();
/// assert_eq!(allowed, 10);
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: MAX_RETRY_TOKENS,
        }
    }
}

impl RetryBudget {
    /// Adds the tokens of one request, up to the maximum of 10.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_RETRY_TOKENS);
    }

    /// Takes the token for one retry; returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
