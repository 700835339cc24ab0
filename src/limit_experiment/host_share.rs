//! Fixed shares of a limit: each host uses its own share and needs no messages from other hosts.

use crate::entry::hash;
use crate::entry::limits::LimitBound;
use crate::entry::limits::bucket::BucketConfig;

/// The hosts that share a limit, as one of them knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostSet<'a> {
    /// The number of all hosts; too high a number makes the shares smaller, which is safe.
    pub hosts: u32,
    /// A hash of this host's name.
    pub own_hash: u64,
    /// Hashes of the names of all other known hosts.
    pub other_hashes: &'a [u64],
}

/// This host's share of `bound`, for the customer with this hash.
///
/// The rates of all hosts sum up to the limit's, and their bucket capacities to what the bound
/// leaves in addition, so no window exceeds the bound. If that leaves less than one token per host,
/// as many hosts as there are tokens get one each, the first by a hash of host and customer.
/// Otherwise the shares of a small customer would all be too small for one request.
#[must_use]
pub fn own_share(bound: &LimitBound, set: &HostSet<'_>, customer: u64) -> BucketConfig {
    let per_s = bound.limit.per_s;
    let extra = (bound.allowed() - per_s * bound.tolerance.window_s).max(0.0);
    let hosts = f64::from(set.hosts.max(1));
    if extra >= hosts {
        return BucketConfig {
            per_s: per_s / hosts,
            capacity: extra / hosts,
        };
    }
    let rank = |host: u64| hash::mix(host ^ customer);
    let own_rank = rank(set.own_hash);
    let ranked_before = set.other_hashes.iter();
    let ranked_before = ranked_before.filter(|host| rank(**host) < own_rank).count();
    let holders = extra.floor();
    if ranked_before as f64 >= holders {
        return BucketConfig {
            per_s: 0.0,
            capacity: 0.0,
        };
    }
    BucketConfig {
        per_s: per_s / holders,
        capacity: 1.0,
    }
}
