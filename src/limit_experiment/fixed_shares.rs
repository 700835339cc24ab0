//! Enforces limits by fixed shares alone: tracks what this host has left of its share of each
//! customer's limit.

use super::host_share::{self, HostSet};
use crate::entry::hash;
use crate::entry::limits::LimitBound;
use crate::entry::limits::bucket::TokenBucket;
use crate::timer::Moment;

/// The share of its bucket capacity that a process starts with: several starts of a host within one
/// window must not add up to more than its share.
const INITIAL_FILL_SHARE: f64 = 0.5;

/// Whether a request may be let through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FixedVerdict {
    /// The request may be let through.
    Admitted,
    /// The request would exceed the customer's limit.
    Refused {
        /// When a token will be available, in milliseconds.
        available_in_ms: u64,
    },
}

/// The buckets of this host.
#[derive(Debug, Default)]
pub struct FixedShares {
    buckets: rustc_hash::FxHashMap<String, TokenBucket>,
}

impl FixedShares {
    /// Lets one request of `customer` through if this host's share has a token left.
    pub fn admit(
        &mut self,
        customer: &str,
        bound: &LimitBound,
        hosts: &HostSet<'_>,
        now: Moment,
    ) -> FixedVerdict {
        let own_share = host_share::own_share(bound, hosts, hash::of_name(customer));
        let bucket = match self.buckets.get_mut(customer) {
            Some(bucket) => bucket,
            None => self.buckets.entry(customer.to_owned()).or_insert_with(|| {
                TokenBucket::with_tokens(own_share.capacity * INITIAL_FILL_SHARE, now)
            }),
        };
        bucket.refill(&own_share, now);
        if bucket.take(1.0) {
            return FixedVerdict::Admitted;
        }
        let wait_s = if own_share.per_s > 0.0 {
            (1.0 - bucket.tokens()) / own_share.per_s
        } else {
            bound.tolerance.window_s
        };
        FixedVerdict::Refused {
            available_in_ms: (wait_s.min(bound.tolerance.window_s) * 1_000.0) as u64,
        }
    }
}
