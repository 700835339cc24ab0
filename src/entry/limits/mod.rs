//! How many requests of a customer all hosts together let through.
//!
//! Nothing here reads a clock or a socket: moments and messages come in, verdicts and messages go
//! out. The bound that holds for each sliding window, whatever is cut or restarted, is
//! [`LimitBound::allowed`]; docs/design/limits.md says how it is kept.

pub mod bucket;
pub mod fixed;
pub mod parts;

use super::customer::RateLimit;

/// How far the count of all hosts may go beyond what customers are promised.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// The window over which requests are counted, in seconds.
    pub window_s: f64,
    /// What may go beyond the limit, as a share of it.
    pub excess: f64,
    /// And this many requests in a window beside.
    pub slack: f64,
}

/// Whether a request may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitVerdict {
    /// It may.
    Admitted,
    /// It would go beyond the customer's limit.
    Refused {
        /// When there is room for one more, in milliseconds.
        room_in_ms: u64,
    },
}

/// What all hosts together may let through.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitBound {
    /// The customer's limit.
    pub limit: RateLimit,
    /// What may go beyond it.
    pub tolerance: LimitTolerance,
}

impl LimitBound {
    /// Requests that all hosts together may let through in any one window.
    ///
    /// ```
    /// use ledgespool::entry::customer::RateLimit;
    /// use ledgespool::entry::limits::{LimitBound, LimitTolerance};
    /// let bound = LimitBound {
    ///     limit: RateLimit { per_s: 4.0, burst: 4.0 },
    ///     tolerance: LimitTolerance { window_s: 5.0, excess: 0.5, slack: 20.0 },
    /// };
    /// assert_eq!(bound.allowed(), 56.0);
    /// ```
    #[must_use]
    pub fn allowed(&self) -> f64 {
        let promised = self.limit.per_s * self.tolerance.window_s + self.limit.burst;
        promised * (1.0 + self.tolerance.excess) + self.tolerance.slack
    }
}
