//! A budget that keeps retries from multiplying the load of a failure.

/// Retries may be this share of requests.
const RETRY_SHARE: f64 = 0.1;
const BURST_RETRIES: f64 = 10.0;

/// Tokens that requests earn and retries spend.
///
/// ```
/// use plantainnotch::policy::retry::RetryBudget;
/// let mut budget = RetryBudget::default();
/// let taken = (0..100).filter(|_| budget.try_spend()).count();
/// assert_eq!(taken, 10);
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: BURST_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Notes a request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(BURST_RETRIES);
    }

    /// Spends one retry if the budget allows it.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
