//! Pools the shares of limits that members lease to it, and grants single tokens from the pool.
//!
//! Serves customers whose requests are spread over many hosts: with 67 hosts and 30 requests a
//! second at each, a customer of 4 requests a second reaches any one host only every 17 s. Fixed
//! shares then refuse requests far below the limit: 17.8 % of all requests in normal
//! operation, against 1.3 % with pools.

use super::bucket::BucketConfig;
use super::message::{CoordinatorStamp, LeaseOffer, LeaseReply, TokenVerdict};
use super::{GROUPS, INITIAL_FILL_SHARE, LEASE_DURATION_MS, LimitBound};
use crate::timer::Moment;

/// Upper bound of the wait that a denial reports, in milliseconds.
const MAX_WAIT_MS: f64 = 5_000.0;

/// The pools of one host, one per group.
#[derive(Debug)]
pub struct LimitCoordinator {
    name: String,
    run: u64,
    stopped: bool,
    pools: [TokenPool; GROUPS],
}

/// The share that one member leases.
#[derive(Debug, Clone, Copy)]
struct LeasedShare {
    run: u64,
    number: u64,
    fraction: f64,
    expires_at: Moment,
}

/// The pooled shares and buckets for one group of customers.
#[derive(Debug, Default)]
struct TokenPool {
    shares: rustc_hash::FxHashMap<String, LeasedShare>,
    /// The sum of the shares in use.
    total_share: f64,
    /// The earliest time at which a lease expires.
    next_expiry: Moment,
    inflow: PoolInflow,
    /// The inflow that a new bucket has already accounted for.
    base_inflow: PoolInflow,
    updated_at: Moment,
    buckets: rustc_hash::FxHashMap<u64, PoolBucket>,
}

/// What has flowed into the pool since the process started, as multiples of a customer's bucket
/// configuration.
#[derive(Debug, Clone, Copy, Default)]
struct PoolInflow {
    /// Shares in use, integrated over time in seconds.
    share_seconds: f64,
    /// Sum of the shares that members added with their initial tokens.
    started: f64,
}

/// The tokens of one customer.
#[derive(Debug, Clone, Copy)]
struct PoolBucket {
    config: BucketConfig,
    tokens: f64,
    counted: PoolInflow,
}

impl LimitCoordinator {
    /// A coordinator without members.
    #[must_use]
    pub fn with_name(name: &str, run: u64) -> Self {
        Self {
            name: name.to_owned(),
            run,
            stopped: false,
            pools: std::array::from_fn(|_| TokenPool::default()),
        }
    }

    /// Handles a lease offer of a member; `None` for an unknown group.
    pub fn on_offer(&mut self, offer: &LeaseOffer, now: Moment) -> Option<LeaseReply> {
        let stamp = CoordinatorStamp {
            run: self.run,
            at_ms: now.0,
        };
        let expires_at = match offer.stamp {
            Some(stamp) if stamp.run == self.run => stamp.moment().plus(LEASE_DURATION_MS),
            _ => Moment(0),
        };
        let stopped = self.stopped;
        let pool = self.pools.get_mut(usize::from(offer.group))?;
        pool.advance(now);
        let uses = !stopped && expires_at > now && offer.share > 0.0;
        let number = if uses {
            pool.lease(offer, expires_at)
        } else {
            pool.return_share(offer, now)
        };
        Some(LeaseReply {
            host: self.name.clone(),
            stamp,
            group: offer.group,
            number,
            uses,
        })
    }

    /// Grants one token for a customer if its pool has one.
    pub fn grant(&mut self, customer: u64, bound: &LimitBound, now: Moment) -> TokenVerdict {
        let pool = &mut self.pools[super::group_of(customer)];
        pool.advance(now);
        if pool.total_share <= 0.0 || self.stopped {
            return TokenVerdict::NotHere;
        }
        let bucket = pool.bucket(customer, bound);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return TokenVerdict::Granted;
        }
        let missing = 1.0 - bucket.tokens;
        let wait_ms = 1_000.0 * missing / (bucket.config.per_s * pool.total_share);
        TokenVerdict::Denied {
            available_in_ms: wait_ms.clamp(1.0, MAX_WAIT_MS) as u32,
        }
    }

    /// Releases all shares: this host is about to stop, and its members may use their shares at
    /// once.
    pub fn stop(&mut self, now: Moment) {
        self.stopped = true;
        for pool in &mut self.pools {
            pool.advance(now);
            pool.shares.clear();
            pool.set_total_share(0.0);
        }
    }

    /// The share of all limits of a group that this host pools.
    #[must_use]
    pub fn share(&self, group: usize) -> f64 {
        self.pools.get(group).map_or(0.0, |pool| pool.total_share)
    }
}

impl TokenPool {
    /// Advances the pool to `now` and drops expired leases on the way.
    fn advance(&mut self, now: Moment) {
        while self.updated_at < now {
            let step_end = self.next_expiry.min(now).max(self.updated_at);
            self.inflow.share_seconds +=
                self.total_share * step_end.since(self.updated_at) as f64 / 1_000.0;
            self.updated_at = step_end;
            if self.next_expiry > now {
                return;
            }
            self.shares.retain(|_, share| share.expires_at > step_end);
            self.update_total_share();
        }
    }

    /// Counts a share in the pool until `expires_at`; returns the number of the newest offer.
    fn lease(&mut self, offer: &LeaseOffer, expires_at: Moment) -> u64 {
        let known = self.shares.get(&offer.host);
        if let Some(known) = known
            && (known.run, known.number) >= (offer.run, offer.number)
        {
            return known.number;
        }
        if offer.unused {
            self.inflow.started += offer.share;
        }
        let share = LeasedShare {
            run: offer.run,
            number: offer.number,
            fraction: offer.share,
            expires_at,
        };
        self.shares.insert(offer.host.clone(), share);
        self.update_total_share();
        offer.number
    }

    /// Returns a share to its owner; returns the number of the newest offer. That number is
    /// remembered for as long as an earlier offer could still count.
    fn return_share(&mut self, offer: &LeaseOffer, now: Moment) -> u64 {
        let known = self.shares.get(&offer.host);
        if let Some(known) = known
            && (known.run, known.number) >= (offer.run, offer.number)
        {
            return known.number;
        }
        let share = LeasedShare {
            run: offer.run,
            number: offer.number,
            fraction: 0.0,
            expires_at: now.plus(LEASE_DURATION_MS),
        };
        self.shares.insert(offer.host.clone(), share);
        self.update_total_share();
        offer.number
    }

    fn update_total_share(&mut self) {
        let expiries = self.shares.values().map(|share| share.expires_at);
        self.next_expiry = expiries.min().unwrap_or(Moment(u64::MAX));
        self.set_total_share(self.shares.values().map(|share| share.fraction).sum());
    }

    /// Sets a new sum of shares. If it shrinks, tokens beyond the capacity of the smaller pool are
    /// dropped at once: they must not reappear when the share is leased again.
    fn set_total_share(&mut self, total_share: f64) {
        let before = self.total_share;
        self.total_share = total_share;
        if total_share >= before {
            return;
        }
        let inflow = self.inflow;
        for bucket in self.buckets.values_mut() {
            bucket.refill(&inflow, before);
            bucket.tokens = bucket.tokens.min(bucket.config.capacity * total_share);
        }
        self.base_inflow = inflow;
    }

    fn bucket(&mut self, customer: u64, bound: &LimitBound) -> &mut PoolBucket {
        let config = bound.bucket_config();
        let fresh = PoolBucket {
            config,
            tokens: 0.0,
            counted: self.base_inflow,
        };
        let bucket = self.buckets.entry(customer).or_insert(fresh);
        bucket.refill(&self.inflow, self.total_share);
        if bucket.config != config {
            // A lowered limit applies at once; a raised one fills with time.
            bucket.config = config;
            bucket.tokens = bucket.tokens.min(config.capacity * self.total_share);
        }
        bucket
    }
}

impl PoolBucket {
    /// Adds what has flowed in since the last refill, while the pool had `total_share`.
    fn refill(&mut self, inflow: &PoolInflow, total_share: f64) {
        let by_rate = self.config.per_s * (inflow.share_seconds - self.counted.share_seconds);
        let by_starts =
            self.config.capacity * INITIAL_FILL_SHARE * (inflow.started - self.counted.started);
        self.tokens = (self.tokens + by_rate + by_starts).min(self.config.capacity * total_share);
        self.counted = *inflow;
    }
}
