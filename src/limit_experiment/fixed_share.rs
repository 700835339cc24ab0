//! Fixed shares of a limit: each host uses its own share and needs no messages from other hosts.

use crate::entry::hash;
use crate::entry::limits::LimitBound;
use crate::entry::limits::bucket::BucketPace;

/// The hosts that share a limit, as one of them knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostShare<'a> {
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
