//! Fixed parts of a limit: each host lets through its own part of a limit and needs no word of any other.

use crate::entry::hash;
use crate::entry::limits::LimitBound;
use crate::entry::limits::bucket::BucketPace;

/// Where this host stands among all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostShare<'a> {
    /// All hosts; counting too many makes a part smaller, which is safe.
    pub hosts: u32,
    /// A hash of this host's name.
    pub own_hash: u64,
    /// Hashes of the names of all others, as far as they are known.
    pub other_hashes: &'a [u64],
}

/// The part of `bound` that is this host's, for the customer with this hash.
///
/// The paces of all hosts sum up to the limit's, and what their buckets hold at most to what the
/// bound leaves beside, so any window holds no more than the bound allows. Where that is less than
/// one right a host, as many hosts as there are rights get one each, the first by a hash of host and
/// customer, so that the parts of small customers are not all too small for one request.
#[must_use]
pub fn own_part(bound: &LimitBound, share: &HostShare<'_>, customer: u64) -> BucketPace {
    let per_s = bound.limit.per_s;
    let beside = (bound.allowed() - per_s * bound.tolerance.window_s).max(0.0);
    let hosts = f64::from(share.hosts.max(1));
    if beside >= hosts {
        return BucketPace {
            per_s: per_s / hosts,
            most: beside / hosts,
        };
    }
    let place = |host: u64| hash::mix(host ^ customer);
    let own_place = place(share.own_hash);
    let before = share.other_hashes.iter();
    let before = before.filter(|host| place(**host) < own_place).count();
    let holders = beside.floor();
    if before as f64 >= holders {
        return BucketPace {
            per_s: 0.0,
            most: 0.0,
        };
    }
    BucketPace {
        per_s: per_s / holders,
        most: 1.0,
    }
}
