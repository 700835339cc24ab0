//! Lends this host's part of each limit to a grantor, and finds a right for each request.

use super::bucket::TokenBucket;
use super::message::{GrantorStamp, LeaseOffer, LeaseReply, RightVerdict};
use super::{GROUPS, LEASE_MS, LimitBound, MOST_ASKED, ROUND_MS, START_SHARE};
use crate::entry::hash;
use crate::timer::Moment;

/// A grantor that has not answered for this long is passed over, in milliseconds: three rounds.
const SILENT_MS: u64 = 600;
/// And for as long as this after it, in milliseconds: a host that lives again is heard by then.
const PASSED_OVER_MS: u64 = 3_000;
/// A grantor that left one request without an answer is not asked again for this long, in
/// milliseconds, unless it is heard.
const UNANSWERED_MS: u64 = 300;
/// The same for one that pools nothing, in milliseconds: a round, after which that may have changed.
const NOTHING_POOLED_MS: u64 = 200;

/// The hosts that pool the parts of one group: this region's first, then one of each other region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GrantorList {
    /// Names, nearest first.
    pub names: Vec<String>,
}

impl GrantorList {
    /// Whether this grantor stands in the own region.
    #[must_use]
    pub fn is_nearest(&self, grantor: &str) -> bool {
        self.names.first().is_some_and(|name| name == grantor)
    }
}

/// What to do about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RightStep {
    /// Let it through.
    Admit,
    /// Ask this grantor for a right.
    Ask(String),
    /// Refuse it.
    Refuse {
        /// When there is room, in milliseconds.
        room_in_ms: u64,
    },
}

/// An offer and the grantor that it is for.
#[derive(Debug, Clone, PartialEq)]
pub struct AddressedOffer {
    /// The grantor's name.
    pub to: String,
    /// The offer.
    pub offer: LeaseOffer,
}

/// The parts of one host.
#[derive(Debug)]
pub struct LimitMember {
    name: String,
    run: u64,
    number: u64,
    last_round: Option<Moment>,
    hosts: u32,
    parts: [OwnPart; GROUPS],
    /// Grantors that did not answer offers are passed over until then.
    silent: rustc_hash::FxHashMap<String, Moment>,
    /// Grantors that left a request without an answer are not asked until then; by hashes of their names.
    /// They stay grantors: when a host went over to another one, that one pooled nothing. Of 1,220 refusals for
    /// limits in 12 calm seconds 1,087 had asked such a host (one play, 67 hosts, 2,000 requests a second).
    unanswered: rustc_hash::FxHashMap<u64, Moment>,
    /// Until when a grantor has nothing for a customer, as it told; by hashes of both names.
    denied: rustc_hash::FxHashMap<(u64, u64), Moment>,
}

/// This host's part of the limits of one group.
#[derive(Debug, Default)]
struct OwnPart {
    lease: Option<PartLease>,
    /// Until when some grantor may use the part; it is this host's own from then on.
    lent_until: Moment,
    /// Whether it was ever lent or used.
    touched: bool,
    /// Whether a grantor has said that it uses it.
    used: bool,
    buckets: rustc_hash::FxHashMap<u64, TokenBucket>,
}

/// The grantor that a part is lent to, or about to be.
#[derive(Debug, Clone)]
struct PartLease {
    grantor: String,
    stamp: Option<GrantorStamp>,
    /// When the stamp was got.
    stamp_at: Moment,
    /// When the grantor was last heard, or the lease began.
    heard: Moment,
    last_number: u64,
    /// Whether the part is asked back.
    ends: bool,
}

impl LimitMember {
    /// A host that has lent nothing yet.
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

    /// All hosts that limits are divided by, as far as this one knows; 0 before the first round.
    #[must_use]
    pub const fn hosts(&self) -> u32 {
        self.hosts
    }

    /// Whether its part of the limits of a group is lent.
    #[must_use]
    pub fn has_lent(&self, group: usize, now: Moment) -> bool {
        self.parts.get(group).is_some_and(|part| part.is_lent(now))
    }

    /// Whether its part of the limits of a group was ever used by a grantor, or here.
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

    /// Whether a grantor is to be passed over, since it was silent.
    #[must_use]
    pub fn passes_over(&self, grantor: &str, now: Moment) -> bool {
        self.silent.get(grantor).is_some_and(|until| now < *until)
    }

    /// What to send in this round: `hosts` share all limits, and `wanted` should pool each group.
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

    /// After a pause of this host itself, grantors get the time to be heard again.
    fn forgive_own_pause(&mut self, now: Moment) {
        let before = self.last_round.replace(now);
        if before.is_none_or(|before| now.since(before) <= 2 * ROUND_MS) {
            return;
        }
        for lease in self.parts.iter_mut().filter_map(|part| part.lease.as_mut()) {
            lease.heard = now;
        }
    }

    /// Ends the lease of a grantor that is silent or not wanted any more; begins the next one.
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

    /// A grantor has read an offer. Returns the next one, if it must not wait for the next round.
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
        // It has read the last offer and does not use the part, nor will it by an earlier one.
        let ends = lease.ends;
        part.lent_until = part.lent_until.min(now);
        if ends {
            part.lease = None;
            return None;
        }
        known.is_none().then(|| self.next_offer(group)).flatten()
    }

    /// What to do about a request of the customer with this hash; `asked` grantors had no right. When no more
    /// may be asked, those that were say when there is room.
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

    /// Until when asking this grantor is of no use, if that is known.
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

    /// What a grantor answered about a customer.
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

    /// A grantor left a request without an answer.
    pub fn on_unanswered(&mut self, grantor: &str, now: Moment) {
        let until = now.plus(UNANSWERED_MS);
        self.unanswered.insert(hash::of_name(grantor), until);
    }

    /// Takes a right from this host's own part, if that is not lent.
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
