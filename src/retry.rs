//! The retry budget of a service. Retries are limited to a share of the successes, so that they
//! can't multiply load.

/// Retries that may accumulate.
const MAX_TOKENS: f64 = 10.0;

/// A token bucket that successes fill and retries empty.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A budget that allows `share` retries for each success and starts with one.
    ///
    /// ```
    /// use ledgespool::retry;
    /// let mut budget = retry::RetryBudget::with_share(0.5);
    /// assert!(budget.try_retry());
    /// assert!(!budget.try_retry());
    /// ```
    #[must_use]
    pub const fn with_share(share: f64) -> Self {
        Self { share, tokens: 1.0 }
    }

    /// Changes the share, after a new declaration.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Records a successful request.
    pub fn on_success(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes one retry if one is available.
    pub fn try_retry(&mut self) -> bool {
        if self.share <= 0.0 || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
