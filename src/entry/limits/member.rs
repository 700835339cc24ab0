//! Leases this host's share of each limit to a coordinator, and decides how each request gets a
//! token.

use super::bucket::TokenBucket;
use super::message::{CoordinatorStamp, LeaseOffer, LeaseReply, TokenVerdict};
use super::{
    GROUPS, INITIAL_FILL_SHARE, LEASE_DURATION_MS, LimitBound, MAX_ASKED, ROUND_INTERVAL_MS,
};
use crate::entry::hash;
use crate::timer::Moment;

/// A coordinator that has not answered lease offers for this long is skipped, in milliseconds:
/// three rounds.
const SILENCE_TIMEOUT_MS: u64 = 600;
/// How long a silent coordinator is skipped, in milliseconds: a host that is alive again has been
/// seen by then.
const SILENT_SKIP_MS: u64 = 3_000;
/// A coordinator that left one request unanswered is not asked again for this long, in
/// milliseconds, unless it is seen alive.
const UNANSWERED_SKIP_MS: u64 = 300;
/// A coordinator that pools nothing for a customer is not asked again for this long, in
/// milliseconds: one round, after which that may have changed.
const NOT_HERE_SKIP_MS: u64 = 200;

/// The coordinators of one group: that of this region first, then one of each other region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CoordinatorList {
    /// Names, nearest first.
    pub names: Vec<String>,
}

impl CoordinatorList {
    /// Whether this coordinator is the one of the own region.
    #[must_use]
    pub fn is_local(&self, coordinator: &str) -> bool {
        self.names.first().is_some_and(|name| name == coordinator)
    }
}

/// The next step for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionStep {
    /// Let the request through.
    Admit,
    /// Ask this coordinator for a token.
    Ask(String),
    /// Refuse the request.
    Refuse {
        /// When a token will be available, in milliseconds.
        available_in_ms: u64,
    },
}

/// A lease offer and its receiver.
#[derive(Debug, Clone, PartialEq)]
pub struct AddressedOffer {
    /// The coordinator's name.
    pub to: String,
    /// The offer.
    pub offer: LeaseOffer,
}

/// The shares of one host.
#[derive(Debug)]
pub struct LimitMember {
    name: String,
    run: u64,
    number: u64,
    last_round: Option<Moment>,
    hosts: u32,
    shares: [OwnShare; GROUPS],
    /// Coordinators that did not answer lease offers are skipped until then.
    silent_until: rustc_hash::FxHashMap<String, Moment>,
    /// Coordinators that left a request unanswered are not asked until then; by hashes of their
    /// names. Shares stay leased to them: when hosts switched to another coordinator, that one
    /// pooled nothing, which was behind 1,087 of 1,220 limit refusals within 12 s of normal
    /// operation (67 hosts, 2,000 requests a second).
    unanswered_until: rustc_hash::FxHashMap<u64, Moment>,
    /// Until when a coordinator has no token for a customer, by its own answer; by hashes of both
    /// names.
    denied_until: rustc_hash::FxHashMap<(u64, u64), Moment>,
}

/// This host's share of the limits of one group.
#[derive(Debug, Default)]
struct OwnShare {
    lease: Option<ShareLease>,
    /// Until when a coordinator may use the share; afterwards it is this host's own.
    leased_until: Moment,
    /// Whether the share was ever leased or used, so that its initial tokens are spent.
    initial_tokens_spent: bool,
    /// Whether a coordinator has ever confirmed that it uses the share.
    was_used: bool,
    buckets: rustc_hash::FxHashMap<u64, TokenBucket>,
}

/// The coordinator that a share is leased to, or is going to be.
#[derive(Debug, Clone)]
struct ShareLease {
    coordinator: String,
    stamp: Option<CoordinatorStamp>,
    /// When the stamp was received.
    stamp_at: Moment,
    /// When the coordinator last answered, or the lease began.
    last_seen: Moment,
    last_number: u64,
    /// Whether the share is being taken back.
    is_ending: bool,
}

impl LimitMember {
    /// A member that has leased nothing yet.
    #[must_use]
    pub fn with_name(name: &str, run: u64) -> Self {
        Self {
            name: name.to_owned(),
            run,
            number: 0,
            last_round: None,
            hosts: 0,
            shares: std::array::from_fn(|_| OwnShare::default()),
            silent_until: rustc_hash::FxHashMap::default(),
            unanswered_until: rustc_hash::FxHashMap::default(),
            denied_until: rustc_hash::FxHashMap::default(),
        }
    }

    /// The number of hosts that limits are divided by, as far as this host knows; 0 before the
    /// first round.
    #[must_use]
    pub const fn hosts(&self) -> u32 {
        self.hosts
    }

    /// Whether its share of the limits of a group is leased.
    #[must_use]
    pub fn is_leased(&self, group: usize, now: Moment) -> bool {
        self.shares
            .get(group)
            .is_some_and(|share| share.is_leased(now))
    }

    /// Whether a coordinator has ever confirmed that it uses this host's share of the limits of a
    /// group.
    #[must_use]
    pub fn was_used(&self, group: usize) -> bool {
        self.shares.get(group).is_some_and(|share| share.was_used)
    }

    fn fraction(&self) -> f64 {
        if self.hosts == 0 {
            return 0.0;
        }
        1.0 / f64::from(self.hosts)
    }

    /// Whether a coordinator is skipped because it did not answer.
    #[must_use]
    pub fn is_skipped(&self, coordinator: &str, now: Moment) -> bool {
        self.silent_until
            .get(coordinator)
            .is_some_and(|until| now < *until)
    }

    /// Returns the lease offers of this round. `hosts` is the number of hosts that share all
    /// limits, `preferred` the preferred coordinator of each group.
    pub fn round(
        &mut self,
        hosts: u32,
        preferred: [Option<&str>; GROUPS],
        now: Moment,
    ) -> Vec<AddressedOffer> {
        self.hosts = hosts.max(1);
        self.silent_until.retain(|_, until| now < *until);
        self.unanswered_until.retain(|_, until| now < *until);
        self.denied_until.retain(|_, until| now < *until);
        self.allow_for_own_stall(now);
        let mut offers = Vec::new();
        for (group, preferred) in preferred.into_iter().enumerate() {
            self.update_lease(group, preferred, now);
            offers.extend(self.next_offer(group));
        }
        offers
    }

    /// If this host itself was stalled, gives the coordinators time to answer again.
    fn allow_for_own_stall(&mut self, now: Moment) {
        let before = self.last_round.replace(now);
        if before.is_none_or(|before| now.since(before) <= 2 * ROUND_INTERVAL_MS) {
            return;
        }
        for lease in self
            .shares
            .iter_mut()
            .filter_map(|share| share.lease.as_mut())
        {
            lease.last_seen = now;
        }
    }

    /// Ends the lease with a coordinator that is silent or no longer wanted; then begins the next
    /// one.
    fn update_lease(&mut self, group: usize, preferred: Option<&str>, now: Moment) {
        let share = &mut self.shares[group];
        if let Some(lease) = &mut share.lease {
            if now.since(lease.last_seen) > SILENCE_TIMEOUT_MS {
                let until = now.plus(SILENT_SKIP_MS);
                self.silent_until.insert(lease.coordinator.clone(), until);
                lease.is_ending = true;
            }
            lease.is_ending |= preferred != Some(lease.coordinator.as_str());
            if !lease.is_ending || now <= share.leased_until {
                return;
            }
            share.lease = None;
        }
        let Some(preferred) = preferred else {
            return;
        };
        if self
            .silent_until
            .get(preferred)
            .is_some_and(|until| now < *until)
        {
            return;
        }
        share.lease = Some(ShareLease {
            coordinator: preferred.to_owned(),
            stamp: None,
            stamp_at: now,
            last_seen: now,
            last_number: 0,
            is_ending: false,
        });
    }

    fn next_offer(&mut self, group: usize) -> Option<AddressedOffer> {
        let fraction = self.fraction();
        let share = &mut self.shares[group];
        let lease = share.lease.as_mut()?;
        self.number += 1;
        lease.last_number = self.number;
        let is_leasing = lease.stamp.is_some() && !lease.is_ending;
        let unused = is_leasing && !share.initial_tokens_spent;
        if is_leasing {
            let until = lease.stamp_at.plus(LEASE_DURATION_MS);
            share.initial_tokens_spent = true;
            share.leased_until = share.leased_until.max(until);
            share.buckets.clear();
        }
        let is_ending = lease.is_ending;
        let stamp = lease.stamp;
        Some(AddressedOffer {
            to: lease.coordinator.clone(),
            offer: LeaseOffer {
                host: self.name.clone(),
                run: self.run,
                number: self.number,
                group: u8::try_from(group).unwrap_or(u8::MAX),
                share: if is_ending { 0.0 } else { fraction },
                unused,
                stamp,
            },
        })
    }

    /// Handles the reply to an offer. Returns the next offer if it must not wait for the next
    /// round.
    pub fn on_reply(&mut self, reply: &LeaseReply, now: Moment) -> Option<AddressedOffer> {
        self.silent_until.remove(&reply.host);
        self.unanswered_until.remove(&hash::of_name(&reply.host));
        let group = usize::from(reply.group);
        let share = self.shares.get_mut(group)?;
        let lease = share.lease.as_mut()?;
        if lease.coordinator != reply.host {
            return None;
        }
        lease.last_seen = now;
        share.was_used |= reply.uses;
        let known = lease.stamp.filter(|stamp| stamp.run == reply.stamp.run);
        if known.is_none_or(|stamp| stamp.at_ms < reply.stamp.at_ms) {
            lease.stamp = Some(reply.stamp);
            lease.stamp_at = now;
        }
        if reply.uses || reply.number != lease.last_number {
            return None;
        }
        // The coordinator has read the last offer and does not use the share, and no earlier offer
        // can make it do so.
        let is_ending = lease.is_ending;
        share.leased_until = share.leased_until.min(now);
        if is_ending {
            share.lease = None;
            return None;
        }
        known.is_none().then(|| self.next_offer(group)).flatten()
    }

    /// The next step for a request of the customer with this hash, after `asked` coordinators had
    /// no token. When the maximum number was asked, their answers say when a token will be
    /// available.
    pub fn next_step(
        &mut self,
        customer: u64,
        bound: &LimitBound,
        coordinators: &CoordinatorList,
        asked: usize,
        now: Moment,
    ) -> AdmissionStep {
        if asked == 0 && self.take_own_token(customer, bound, now) {
            return AdmissionStep::Admit;
        }
        let mut available_in_ms = None;
        for coordinator in &coordinators.names {
            match self.useless_until(customer, coordinator, now) {
                Some(until) => {
                    let wait_ms = until.since(now);
                    available_in_ms = Some(
                        available_in_ms.map_or(wait_ms, |shortest: u64| shortest.min(wait_ms)),
                    );
                }
                None if asked < MAX_ASKED => return AdmissionStep::Ask(coordinator.clone()),
                None => {}
            }
        }
        AdmissionStep::Refuse {
            available_in_ms: available_in_ms.unwrap_or(ROUND_INTERVAL_MS),
        }
    }

    /// Until when asking this coordinator is known to be useless.
    fn useless_until(&self, customer: u64, coordinator: &str, now: Moment) -> Option<Moment> {
        let name = hash::of_name(coordinator);
        let waits = [
            self.silent_until.get(coordinator),
            self.unanswered_until.get(&name),
            self.denied_until.get(&(customer, name)),
        ];
        let until = waits.into_iter().flatten().max().copied();
        until.filter(|until| now < *until)
    }

    /// Records a coordinator's answer about a customer.
    pub fn on_verdict(
        &mut self,
        coordinator: &str,
        customer: u64,
        verdict: TokenVerdict,
        now: Moment,
    ) {
        self.unanswered_until.remove(&hash::of_name(coordinator));
        let wait_ms = match verdict {
            TokenVerdict::Granted => return,
            TokenVerdict::Denied { available_in_ms } => u64::from(available_in_ms),
            TokenVerdict::NotHere => NOT_HERE_SKIP_MS,
        };
        let key = (customer, hash::of_name(coordinator));
        self.denied_until.insert(key, now.plus(wait_ms));
    }

    /// Records that a coordinator left a request unanswered.
    pub fn on_unanswered(&mut self, coordinator: &str, now: Moment) {
        let until = now.plus(UNANSWERED_SKIP_MS);
        self.unanswered_until
            .insert(hash::of_name(coordinator), until);
    }

    /// Takes a token from this host's own share, unless the share is leased.
    fn take_own_token(&mut self, customer: u64, bound: &LimitBound, now: Moment) -> bool {
        let config = bound.bucket_config().scaled(self.fraction());
        let share = &mut self.shares[super::group_of(customer)];
        if share.is_leased(now) {
            return false;
        }
        let start = if share.initial_tokens_spent {
            0.0
        } else {
            INITIAL_FILL_SHARE
        };
        let bucket = share.buckets.entry(customer);
        let bucket = bucket.or_insert_with(|| {
            TokenBucket::with_tokens(config.capacity * start, share.leased_until)
        });
        bucket.refill(&config, now);
        if !bucket.take(1.0) {
            return false;
        }
        share.initial_tokens_spent = true;
        true
    }
}

impl OwnShare {
    fn is_leased(&self, now: Moment) -> bool {
        self.initial_tokens_spent && now <= self.leased_until
    }
}
