//! Limits kept by fixed parts alone: what this host has left of its part of each customer's limit.

use super::bucket::TokenBucket;
use super::parts::{self, HostShare};
use super::{LimitBound, LimitVerdict};
use crate::entry::hash;
use crate::timer::Moment;

/// Of what its bucket holds at most, a process starts with this share: several lives of a host
/// within one window must not add up to more than its part.
const START_SHARE: f64 = 0.5;

/// The buckets of this host.
#[derive(Debug, Default)]
pub struct FixedParts {
    buckets: rustc_hash::FxHashMap<String, TokenBucket>,
}

impl FixedParts {
    /// Lets one request of `customer` through if this host's part has room.
    pub fn admit(
        &mut self,
        customer: &str,
        bound: &LimitBound,
        share: &HostShare<'_>,
        now: Moment,
    ) -> LimitVerdict {
        let part = parts::own_part(bound, share, hash::of_name(customer));
        let bucket = match self.buckets.get_mut(customer) {
            Some(bucket) => bucket,
            None => self
                .buckets
                .entry(customer.to_owned())
                .or_insert_with(|| TokenBucket::with_rights(part.most * START_SHARE, now)),
        };
        bucket.fill(&part, now);
        if bucket.take(1.0) {
            return LimitVerdict::Admitted;
        }
        let wait_s = if part.per_s > 0.0 {
            (1.0 - bucket.rights()) / part.per_s
        } else {
            bound.tolerance.window_s
        };
        LimitVerdict::Refused {
            room_in_ms: (wait_s.min(bound.tolerance.window_s) * 1_000.0) as u64,
        }
    }

    /// Gives the right of a request back that has not run.
    pub fn give_back(&mut self, customer: &str, bound: &LimitBound, share: &HostShare<'_>) {
        let part = parts::own_part(bound, share, hash::of_name(customer));
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.put(1.0, &part);
        }
    }
}
