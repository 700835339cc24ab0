//! A token bucket; each request that is let through takes one token.

use crate::timer::Moment;

/// Refill rate and capacity of a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketConfig {
    /// Tokens added per second.
    pub per_s: f64,
    /// Maximum number of tokens.
    pub capacity: f64,
}

impl BucketConfig {
    /// Rate and capacity multiplied by a share from 0 to 1.
    ///
    /// ```
    /// use ledgespool::entry::limits::bucket::BucketConfig;
    /// let config = BucketConfig { per_s: 8.0, capacity: 2.0 };
    /// assert_eq!(config.scaled(0.5), BucketConfig { per_s: 4.0, capacity: 1.0 });
    /// ```
    #[must_use]
    pub fn scaled(&self, share: f64) -> Self {
        Self {
            per_s: self.per_s * share,
            capacity: self.capacity * share,
        }
    }
}

/// Holds tokens, which are added at a steady rate until the bucket is full.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    updated_at: Moment,
}

impl TokenBucket {
    /// A bucket that holds `tokens` tokens at `now`.
    #[must_use]
    pub const fn with_tokens(tokens: f64, now: Moment) -> Self {
        Self {
            tokens,
            updated_at: now,
        }
    }

    /// Adds the tokens that accrued up to `now`.
    pub fn refill(&mut self, config: &BucketConfig, now: Moment) {
        let accrued = config.per_s * now.since(self.updated_at) as f64 / 1_000.0;
        self.tokens = (self.tokens + accrued).min(config.capacity);
        self.updated_at = self.updated_at.max(now);
    }

    /// Takes `count` tokens if the bucket holds that many.
    ///
    /// ```
    /// use ledgespool::entry::limits::bucket::{BucketConfig, TokenBucket};
    /// use ledgespool::timer::Moment;
    /// let config = BucketConfig { per_s: 2.0, capacity: 1.0 };
    /// let mut bucket = TokenBucket::with_tokens(0.0, Moment(0));
    /// bucket.refill(&config, Moment(400));
    /// assert!(!bucket.take(1.0));
    /// bucket.refill(&config, Moment(500));
    /// assert!(bucket.take(1.0));
    /// ```
    pub fn take(&mut self, count: f64) -> bool {
        if self.tokens < count {
            return false;
        }
        self.tokens -= count;
        true
    }

    /// Adds tokens, up to the capacity: returns unused ones, or takes in those from other hosts.
    pub fn add(&mut self, count: f64, config: &BucketConfig) {
        self.tokens = (self.tokens + count).min(config.capacity);
    }

    /// The number of tokens held.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }
}
