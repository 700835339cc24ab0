//! How many requests of a customer all hosts together let through.
//!
//! Each host owns a part of every limit. It lends that part, for a short lease at a time, to one host
//! of its region, the [`grantor`], which pools the parts of all and grants single rights to whoever
//! asks; [`member`] is the other side. A host that reaches no grantor goes by its own part. Rights are
//! only ever moved, so their sum stays within the bound of each sliding window,
//! [`LimitBound::allowed`], whatever is cut, killed or late; docs/design/limits.md has the proof and
//! the other ways that were measured.
//!
//! Nothing here reads a clock or a socket: moments and messages come in, verdicts and messages go out.

pub mod bucket;
pub mod grantor;
pub mod member;
pub mod message;

use self::bucket::BucketPace;
use super::customer::RateLimit;
use super::hash;

/// Customers are dealt out to this many groups, each with a grantor of its own: the loss of one
/// grantor concerns a quarter of them, and a host sends as many lease messages a round.
pub const GROUPS: usize = 4;
/// How long a grantor may use a part after it last told its owner the time, in milliseconds: four
/// rounds of [`ROUND_MS`], so that single lost datagrams change nothing.
pub const LEASE_MS: u64 = 800;
/// The time between two lease messages of a host, in milliseconds.
pub const ROUND_MS: u64 = 200;
/// A granted right must be used within this time after it was asked for, in milliseconds: two ways
/// between far regions, and some waiting on small hosts.
pub const RIGHT_LIFE_MS: u64 = 250;
/// Grantors that are asked for one request at most, so that a refusal comes after [`NEAR_WAIT_MS`] and
/// [`FAR_WAIT_MS`] at the latest.
pub const MOST_ASKED: usize = 2;
/// The longest wait for the answer of a grantor of the own region, in milliseconds: some ways there and
/// back, and the turn of a small host's processor, which may take a tenth of a second.
pub const NEAR_WAIT_MS: u64 = 120;
/// The same in another region, in milliseconds; a right is good for little longer.
pub const FAR_WAIT_MS: u64 = 200;
/// Of what a part may hold at most, a process starts with this share: else the first requests after a
/// return of all hosts would wait for rights to come in.
const START_SHARE: f64 = 0.25;
/// Starts of one host within a window that the bound has room for.
const STARTS_IN_WINDOW: f64 = 2.0;
/// Of what the bound allows, at least this share is left for rights that are held at one time: where
/// it leaves little beside the pace, no host would ever hold a whole right.
const LEAST_HELD_SHARE: f64 = 0.15;

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

    /// How rights come in for all hosts together: a window, and the life of rights that were granted
    /// just before it, hold no more than [`Self::allowed`].
    #[must_use]
    pub fn pace(&self) -> BucketPace {
        let allowed = self.allowed();
        let counted_s = self.tolerance.window_s + RIGHT_LIFE_MS as f64 / 1_000.0;
        // Half of the excess goes to the pace, the other half to what is held.
        let wanted = self.limit.per_s * (1.0 + self.tolerance.excess / 2.0);
        let per_s = wanted.min(allowed * (1.0 - LEAST_HELD_SHARE) / counted_s);
        let held = allowed - per_s * counted_s;
        BucketPace {
            per_s,
            most: held / (1.0 + START_SHARE * STARTS_IN_WINDOW),
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
