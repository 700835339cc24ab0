//! The retry budget of a service: retries are a share of successes, so they never multiply load.

/// Retries that may be saved up.
const MAX_SAVED: f64 = 10.0;

/// A bucket that successes fill and retries empty.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// A budget that allows `share` retries for each success.
    ///
    /// ```
    /// use ledgespool::retry;
    /// let mut budget = retry::RetryBudget::with_share(0.5);
    /// assert!(budget.try_retry());
    /// assert!(!budget.try_retry());
    /// ```
    #[must_use]
    pub const fn with_share(share: f64) -> Self {
        Self { share, saved: 1.0 }
    }

    /// Changes the share, as a new declaration may.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// A request succeeded.
    pub fn on_success(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Takes one retry if there is one.
    pub fn try_retry(&mut self) -> bool {
        if self.share <= 0.0 || self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
