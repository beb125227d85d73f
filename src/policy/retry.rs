//! Retry budget: keeps retries from multiplying the load during a failure.

/// Bounds retries to a tenth of the requests, beyond [`MAX_SAVED_RETRIES`].
const RETRIES_PER_REQUEST: f64 = 0.1;
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Token bucket of retries: requests fill it, retries drain it.
///
/// ```
/// use plantainnotch::policy::retry::RetryBudget;
/// let mut budget = RetryBudget::default();
/// let allowed = (0..100).filter(|_| budget.try_spend()).count();
/// assert_eq!(allowed, 10);
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    retries_left: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            retries_left: MAX_SAVED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Adds the share of a retry that one request allows, up to 10 retries in total.
    pub fn earn(&mut self) {
        self.retries_left = (self.retries_left + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        if self.retries_left < 1.0 {
            return false;
        }
        self.retries_left -= 1.0;
        true
    }
}
