//! Limits on the requests that all hosts together let through for a customer.
//!
//! Each host owns a share of every limit. It leases that share, for a short time, to one host of
//! its region, the [`coordinator`], which pools the shares of all members and grants single tokens
//! on request; [`member`] is the other side. A host that reaches no coordinator uses its own share.
//! Tokens are only ever moved, so their sum stays within the bound of each sliding window,
//! [`LimitBound::allowed`], whatever is partitioned, killed or delayed; docs/design/limits.md has
//! the proof and a comparison with other strategies.
//!
//! Nothing here reads a clock or a socket: times and messages are passed in, decisions and messages
//! are returned.

pub mod bucket;
pub mod coordinator;
pub mod member;
pub mod message;

use self::bucket::BucketConfig;
use super::customer::RateLimit;
use super::hash;

/// The number of groups that customers are divided into, each with its own coordinator: the loss of
/// one coordinator affects a quarter of them. A host sends one lease message per group and round.
pub const GROUPS: usize = 4;
/// How long a coordinator may use a share after it sent the stamp that the share's owner echoes
/// back, in milliseconds: four rounds of [`ROUND_INTERVAL_MS`], so that the loss of single
/// datagrams has no effect.
pub const LEASE_DURATION_MS: u64 = 800;
/// The time between two rounds of lease messages of a host, in milliseconds.
pub const ROUND_INTERVAL_MS: u64 = 200;
/// A granted token must be used within this time after it was requested, in milliseconds: the round
/// trip between distant regions, and some delay on small hosts.
pub const TOKEN_LIFETIME_MS: u64 = 250;
/// The maximum number of coordinators that are asked for one request, so that a refusal comes after
/// [`LOCAL_ANSWER_TIMEOUT_MS`] and [`REMOTE_ANSWER_TIMEOUT_MS`] at the latest.
pub const MAX_ASKED: usize = 2;
/// Timeout for the answer of a coordinator of the own region, in milliseconds: a few round trips,
/// and the scheduling delay on a small host, which may reach 100 ms.
pub const LOCAL_ANSWER_TIMEOUT_MS: u64 = 120;
/// Timeout for the answer of a coordinator of another region, in milliseconds; a token is valid for
/// little longer.
pub const REMOTE_ANSWER_TIMEOUT_MS: u64 = 200;
/// The share of its bucket capacity that a process starts with: otherwise the first requests after
/// a restart of all hosts would wait for tokens to accrue.
const INITIAL_FILL_SHARE: f64 = 0.25;
/// The number of starts of one host within a window that the bound allows for.
const MAX_STARTS_PER_WINDOW: f64 = 2.0;
/// The minimum share of the bound that is left for bucket capacity: if the rate took nearly all of
/// it, no host would ever hold a whole token.
const MIN_CAPACITY_SHARE: f64 = 0.15;

/// How far the count of all hosts may exceed the limit that customers are promised.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// The window over which requests are counted, in seconds.
    pub window_s: f64,
    /// The allowed excess, as a share of the limit.
    pub excess: f64,
    /// The number of requests in a window that are allowed in addition.
    pub slack: f64,
}

/// The bound on what all hosts together may let through.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitBound {
    /// The customer's limit.
    pub limit: RateLimit,
    /// How far it may be exceeded.
    pub tolerance: LimitTolerance,
}

impl LimitBound {
    /// The number of requests that all hosts together may let through in any one window.
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
        let nominal = self.limit.per_s * self.tolerance.window_s + self.limit.burst;
        nominal * (1.0 + self.tolerance.excess) + self.tolerance.slack
    }

    /// The bucket configuration for all hosts together: the tokens of a window, and those granted
    /// up to one token lifetime before it, do not exceed [`Self::allowed`].
    #[must_use]
    pub fn bucket_config(&self) -> BucketConfig {
        let allowed = self.allowed();
        let counted_s = self.tolerance.window_s + TOKEN_LIFETIME_MS as f64 / 1_000.0;
        // Half of the excess raises the rate, the other half the capacity.
        let target_per_s = self.limit.per_s * (1.0 + self.tolerance.excess / 2.0);
        let per_s = target_per_s.min(allowed * (1.0 - MIN_CAPACITY_SHARE) / counted_s);
        let remaining = allowed - per_s * counted_s;
        BucketConfig {
            per_s,
            capacity: remaining / (1.0 + INITIAL_FILL_SHARE * MAX_STARTS_PER_WINDOW),
        }
    }
}

/// The group of a customer, by the hash of its name.
///
/// ```
/// use ledgespool::entry::limits;
/// assert!(limits::group_of(7) < limits::GROUPS);
/// ```
#[must_use]
pub const fn group_of(customer: u64) -> usize {
    // Less than the number of groups.
    (hash::mix(customer) % GROUPS as u64) as usize
}
