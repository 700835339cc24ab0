//! How long idle connections to servers are kept: a decision by what was observed.
//!
//! **Load pattern.** A host of a large fleet meets each of a thousand servers every minute or two, so most
//! connections that it keeps are never used again, and each holds 16.2 KB (measured with 900 kept connections of
//! the client in use). A host of a small one uses nearly all again within a second. So connections
//! may rest long only where those that do so are used again.

/// How long a connection rests that hardly ever serves again, in milliseconds: requests that must not run
/// twice use no connection that rested longer anyway.
pub const SHORT_REST_MS: u64 = 2_000;
/// Connections are kept for longer where at least this share of those that rested longer served again: one
/// in four, as a new connection costs a way there and back and a kept one memory for some seconds.
const WORTH_SHARE: f64 = 0.25;
/// Weight of the newest such connection in the moving average; about the last fifty count.
const NEWEST_WEIGHT: f64 = 0.02;
/// Where they are not worth it, one in so many is kept long all the same, to see when that changes.
const SAMPLE_EVERY: u32 = 8;

/// What connections that rested long were worth.
#[derive(Debug)]
pub struct RestTime {
    /// The share of them that served again.
    used_again: f64,
    kept: u32,
}

impl Default for RestTime {
    /// A host that has seen nothing keeps connections as long as servers do.
    fn default() -> Self {
        Self {
            used_again: 1.0,
            kept: 0,
        }
    }
}

impl RestTime {
    /// How long the next connection may rest that its server keeps for `told_ms`.
    ///
    /// ```
    /// use ledgespool::entry::rest_time::{RestTime, SHORT_REST_MS};
    /// let mut rest = RestTime::default();
    /// assert_eq!(rest.next_ms(9_000), 9_000);
    /// for _ in 0..100 {
    ///     rest.on_end(9_000, false);
    /// }
    /// assert_eq!(rest.next_ms(9_000), SHORT_REST_MS);
    /// ```
    pub fn next_ms(&mut self, told_ms: u64) -> u64 {
        self.kept = self.kept.wrapping_add(1);
        let is_sample = self.kept.is_multiple_of(SAMPLE_EVERY);
        if self.used_again >= WORTH_SHARE || is_sample {
            told_ms
        } else {
            told_ms.min(SHORT_REST_MS)
        }
    }

    /// A connection that had rested for `rested_ms` was used again, or given up.
    pub fn on_end(&mut self, rested_ms: u64, was_used: bool) {
        if rested_ms <= SHORT_REST_MS {
            return;
        }
        let outcome = if was_used { 1.0 } else { 0.0 };
        self.used_again += NEWEST_WEIGHT * (outcome - self.used_again);
    }
}
