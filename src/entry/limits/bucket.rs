//! A token bucket; each request that is let through takes one token.

use crate::timer::Moment;

/// Refill rate and capacity of a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketPace {
    /// Tokens added per second.
    pub per_s: f64,
    /// Maximum number of tokens.
    pub most: f64,
}

impl BucketPace {
    /// Rate and capacity multiplied by a share from 0 to 1.
    ///
    /// ```
    /// use ledgespool::entry::limits::bucket::BucketPace;
    /// let pace = BucketPace { per_s: 8.0, most: 2.0 };
    /// assert_eq!(pace.part(0.5), BucketPace { per_s: 4.0, most: 1.0 });
    /// ```
    #[must_use]
    pub fn part(&self, share: f64) -> Self {
        Self {
            per_s: self.per_s * share,
            most: self.most * share,
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
    pub fn fill(&mut self, pace: &BucketPace, now: Moment) {
        let accrued = pace.per_s * now.since(self.updated_at) as f64 / 1_000.0;
        self.tokens = (self.tokens + accrued).min(pace.most);
        self.updated_at = self.updated_at.max(now);
    }

    /// Takes `count` tokens if the bucket holds that many.
    ///
    /// ```
    /// use ledgespool::entry::limits::bucket::{BucketPace, TokenBucket};
    /// use ledgespool::timer::Moment;
    /// let pace = BucketPace { per_s: 2.0, most: 1.0 };
    /// let mut bucket = TokenBucket::with_tokens(0.0, Moment(0));
    /// bucket.fill(&pace, Moment(400));
    /// assert!(!bucket.take(1.0));
    /// bucket.fill(&pace, Moment(500));
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
    pub fn put(&mut self, count: f64, pace: &BucketPace) {
        self.tokens = (self.tokens + count).min(pace.most);
    }

    /// The number of tokens held.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }
}
