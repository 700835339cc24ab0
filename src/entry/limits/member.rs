//! Leases this host's share of each limit to a coordinator, and decides how each request gets a
//! token.

use super::bucket::TokenBucket;
use super::message::{GrantorStamp, LeaseOffer, LeaseReply, RightVerdict};
use super::{GROUPS, LEASE_MS, LimitBound, MOST_ASKED, ROUND_MS, START_SHARE};
use crate::entry::hash;
use crate::timer::Moment;

/// A coordinator that has not answered lease offers for this long is skipped, in milliseconds:
/// three rounds.
const SILENT_MS: u64 = 600;
/// How long a silent coordinator is skipped, in milliseconds: a host that is alive again has been
/// seen by then.
const PASSED_OVER_MS: u64 = 3_000;
/// A coordinator that left one request unanswered is not asked again for this long, in
/// milliseconds, unless it is seen alive.
const UNANSWERED_MS: u64 = 300;
/// A coordinator that pools nothing for a customer is not asked again for this long, in
/// milliseconds: one round, after which that may have changed.
const NOTHING_POOLED_MS: u64 = 200;

/// The coordinators of one group: that of this region first, then one of each other region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GrantorList {
    /// Names, nearest first.
    pub names: Vec<String>,
}

impl GrantorList {
    /// Whether this coordinator is the one of the own region.
    #[must_use]
    pub fn is_nearest(&self, grantor: &str) -> bool {
        self.names.first().is_some_and(|name| name == grantor)
    }
}

/// The next step for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RightStep {
    /// Let the request through.
    Admit,
    /// Ask this coordinator for a token.
    Ask(String),
    /// Refuse the request.
    Refuse {
        /// When a token will be available, in milliseconds.
        room_in_ms: u64,
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
    parts: [OwnPart; GROUPS],
    /// Coordinators that did not answer lease offers are skipped until then.
    silent: rustc_hash::FxHashMap<String, Moment>,
    /// Coordinators that left a request unanswered are not asked until then; by hashes of their
    /// names. Shares stay leased to them: when hosts switched to another coordinator, that one
    /// pooled nothing, which was behind 1,087 of 1,220 limit refusals within 12 s without faults
    /// (67 hosts, 2,000 requests a second).
    unanswered: rustc_hash::FxHashMap<u64, Moment>,
    /// Until when a coordinator has no token for a customer, by its own answer; by hashes of both
    /// names.
    denied: rustc_hash::FxHashMap<(u64, u64), Moment>,
}

/// This host's share of the limits of one group.
#[derive(Debug, Default)]
struct OwnPart {
    lease: Option<PartLease>,
    /// Until when a coordinator may use the share; afterwards it is this host's own.
    lent_until: Moment,
    /// Whether the share was ever leased or used, so that its initial tokens are spent.
    touched: bool,
    /// Whether a coordinator has ever confirmed that it uses the share.
    used: bool,
    buckets: rustc_hash::FxHashMap<u64, TokenBucket>,
}

/// The coordinator that a share is leased to, or is going to be.
#[derive(Debug, Clone)]
struct PartLease {
    grantor: String,
    stamp: Option<GrantorStamp>,
    /// When the stamp was received.
    stamp_at: Moment,
    /// When the coordinator last answered, or the lease began.
    heard: Moment,
    last_number: u64,
    /// Whether the share is being taken back.
    ends: bool,
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
            parts: std::array::from_fn(|_| OwnPart::default()),
            silent: rustc_hash::FxHashMap::default(),
            unanswered: rustc_hash::FxHashMap::default(),
            denied: rustc_hash::FxHashMap::default(),
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
    pub fn has_lent(&self, group: usize, now: Moment) -> bool {
        self.parts.get(group).is_some_and(|part| part.is_lent(now))
    }

    /// Whether a coordinator has ever confirmed that it uses this host's share of the limits of a
    /// group.
    #[must_use]
    pub fn was_lent(&self, group: usize) -> bool {
        self.parts.get(group).is_some_and(|part| part.used)
    }

    fn share(&self) -> f64 {
        if self.hosts == 0 {
            return 0.0;
        }
        1.0 / f64::from(self.hosts)
    }

    /// Whether a coordinator is skipped because it did not answer.
    #[must_use]
    pub fn passes_over(&self, grantor: &str, now: Moment) -> bool {
        self.silent.get(grantor).is_some_and(|until| now < *until)
    }

    /// Returns the lease offers of this round. `hosts` is the number of hosts that share all
    /// limits, `wanted` the preferred coordinator of each group.
    pub fn round(
        &mut self,
        hosts: u32,
        wanted: [Option<&str>; GROUPS],
        now: Moment,
    ) -> Vec<AddressedOffer> {
        self.hosts = hosts.max(1);
        self.silent.retain(|_, until| now < *until);
        self.unanswered.retain(|_, until| now < *until);
        self.denied.retain(|_, until| now < *until);
        self.forgive_own_pause(now);
        let mut offers = Vec::new();
        for (group, wanted) in wanted.into_iter().enumerate() {
            self.look_after_lease(group, wanted, now);
            offers.extend(self.next_offer(group));
        }
        offers
    }

    /// If this host itself was stalled, gives the coordinators time to answer again.
    fn forgive_own_pause(&mut self, now: Moment) {
        let before = self.last_round.replace(now);
        if before.is_none_or(|before| now.since(before) <= 2 * ROUND_MS) {
            return;
        }
        for lease in self.parts.iter_mut().filter_map(|part| part.lease.as_mut()) {
            lease.heard = now;
        }
    }

    /// Ends the lease with a coordinator that is silent or no longer wanted; then begins the next
    /// one.
    fn look_after_lease(&mut self, group: usize, wanted: Option<&str>, now: Moment) {
        let part = &mut self.parts[group];
        if let Some(lease) = &mut part.lease {
            if now.since(lease.heard) > SILENT_MS {
                let until = now.plus(PASSED_OVER_MS);
                self.silent.insert(lease.grantor.clone(), until);
                lease.ends = true;
            }
            lease.ends |= wanted != Some(lease.grantor.as_str());
            if !lease.ends || now <= part.lent_until {
                return;
            }
            part.lease = None;
        }
        let Some(wanted) = wanted else {
            return;
        };
        if self.silent.get(wanted).is_some_and(|until| now < *until) {
            return;
        }
        part.lease = Some(PartLease {
            grantor: wanted.to_owned(),
            stamp: None,
            stamp_at: now,
            heard: now,
            last_number: 0,
            ends: false,
        });
    }

    fn next_offer(&mut self, group: usize) -> Option<AddressedOffer> {
        let share = self.share();
        let part = &mut self.parts[group];
        let lease = part.lease.as_mut()?;
        self.number += 1;
        lease.last_number = self.number;
        let lends = lease.stamp.is_some() && !lease.ends;
        let unused = lends && !part.touched;
        if lends {
            let until = lease.stamp_at.plus(LEASE_MS);
            part.touched = true;
            part.lent_until = part.lent_until.max(until);
            part.buckets.clear();
        }
        let ends = lease.ends;
        let stamp = lease.stamp;
        Some(AddressedOffer {
            to: lease.grantor.clone(),
            offer: LeaseOffer {
                host: self.name.clone(),
                run: self.run,
                number: self.number,
                group: u8::try_from(group).unwrap_or(u8::MAX),
                share: if ends { 0.0 } else { share },
                unused,
                stamp,
            },
        })
    }

    /// Handles the reply to an offer. Returns the next offer if it must not wait for the next
    /// round.
    pub fn on_reply(&mut self, reply: &LeaseReply, now: Moment) -> Option<AddressedOffer> {
        self.silent.remove(&reply.host);
        self.unanswered.remove(&hash::of_name(&reply.host));
        let group = usize::from(reply.group);
        let part = self.parts.get_mut(group)?;
        let lease = part.lease.as_mut()?;
        if lease.grantor != reply.host {
            return None;
        }
        lease.heard = now;
        part.used |= reply.uses;
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
        let ends = lease.ends;
        part.lent_until = part.lent_until.min(now);
        if ends {
            part.lease = None;
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
        grantors: &GrantorList,
        asked: usize,
        now: Moment,
    ) -> RightStep {
        if asked == 0 && self.take_own(customer, bound, now) {
            return RightStep::Admit;
        }
        let mut room_in_ms = None;
        for grantor in &grantors.names {
            match self.nothing_until(customer, grantor, now) {
                Some(until) => {
                    let wait_ms = until.since(now);
                    room_in_ms = Some(room_in_ms.map_or(wait_ms, |least: u64| least.min(wait_ms)));
                }
                None if asked < MOST_ASKED => return RightStep::Ask(grantor.clone()),
                None => {}
            }
        }
        RightStep::Refuse {
            room_in_ms: room_in_ms.unwrap_or(ROUND_MS),
        }
    }

    /// Until when asking this coordinator is known to be useless.
    fn nothing_until(&self, customer: u64, grantor: &str, now: Moment) -> Option<Moment> {
        let name = hash::of_name(grantor);
        let waits = [
            self.silent.get(grantor),
            self.unanswered.get(&name),
            self.denied.get(&(customer, name)),
        ];
        let until = waits.into_iter().flatten().max().copied();
        until.filter(|until| now < *until)
    }

    /// Records a coordinator's answer about a customer.
    pub fn on_verdict(&mut self, grantor: &str, customer: u64, verdict: RightVerdict, now: Moment) {
        self.unanswered.remove(&hash::of_name(grantor));
        let millis = match verdict {
            RightVerdict::Granted => return,
            RightVerdict::Denied { room_in_ms } => u64::from(room_in_ms),
            RightVerdict::NotHere => NOTHING_POOLED_MS,
        };
        let key = (customer, hash::of_name(grantor));
        self.denied.insert(key, now.plus(millis));
    }

    /// Records that a coordinator left a request unanswered.
    pub fn on_unanswered(&mut self, grantor: &str, now: Moment) {
        let until = now.plus(UNANSWERED_MS);
        self.unanswered.insert(hash::of_name(grantor), until);
    }

    /// Takes a token from this host's own share, unless the share is leased.
    fn take_own(&mut self, customer: u64, bound: &LimitBound, now: Moment) -> bool {
        let pace = bound.pace().part(self.share());
        let part = &mut self.parts[super::group_of(customer)];
        if part.is_lent(now) {
            return false;
        }
        let start = if part.touched { 0.0 } else { START_SHARE };
        let bucket = part.buckets.entry(customer);
        let bucket =
            bucket.or_insert_with(|| TokenBucket::with_rights(pace.most * start, part.lent_until));
        bucket.fill(&pace, now);
        if !bucket.take(1.0) {
            return false;
        }
        part.touched = true;
        true
    }
}

impl OwnPart {
    fn is_lent(&self, now: Moment) -> bool {
        self.touched && now <= self.lent_until
    }
}
