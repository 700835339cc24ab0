//! Where a host's datagrams go.
//!
//! What a host sends must not grow with the number of hosts, and bytes between regions are paid
//! for. So heartbeats go to a few hosts, whose word goes round; only what a whole region needs at
//! once goes to all of it.

use std::{cmp, net};

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom as _;

use super::{HostRecord, PeerEntry, PeerTable, REMOVE_MS};
use crate::entry::hash;
use crate::entry::peer_message::WatchState;
use crate::timer::Moment;

/// Hosts of the own region that each heartbeat goes to, at most. With eight, the word of a host has
/// reached 80 others after two rounds and 470 after three (Demers et al., 1987).
pub const NEAR_TARGETS: usize = 8;
/// Hosts that are told at first of a new configuration: what a watcher on a link of 10 Mbit/s can
/// send a few of within a tenth of a second.
const ANNOUNCE_TARGETS: usize = 16;
/// Hosts of each other region that pass word of hosts on: one may be lost, or its datagram.
const RELAY_TARGETS: usize = 2;
/// Hosts of each other region that are told when a host is among the first to serve after a start: one
/// is enough there, and some may not have started yet.
const START_TARGETS: usize = 3;
/// Hosts of other regions that each heartbeat goes to.
const FAR_TARGETS: usize = 2;
/// Hosts of each other hall that pass news of servers on to their hall: one may have ended a moment ago.
pub const NEWS_RELAYS: usize = 2;

/// Where news of servers goes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NewsTargets {
    /// Hosts that keep it.
    pub direct: Vec<net::SocketAddr>,
    /// Hosts that pass it on to the others of their hall.
    pub relays: Vec<net::SocketAddr>,
}

impl PeerTable {
    /// Where a heartbeat goes in the own region: to some hosts, by whom the others hear of this one.
    #[must_use]
    pub fn near_targets(&self, region: &str, random: &mut SmallRng) -> Vec<net::SocketAddr> {
        self.near_addresses(region)
            .choose_multiple(random, NEAR_TARGETS)
    }

    /// Where it goes in other regions: to a few, by whom news travels on.
    #[must_use]
    pub fn far_targets(&self, region: &str, random: &mut SmallRng) -> Vec<net::SocketAddr> {
        let peers = self.peers.values();
        let far = peers.filter(|peer| peer.record.region != region);
        let far = far.map(|peer| peer.record.heartbeat_address);
        far.choose_multiple(random, FAR_TARGETS)
    }

    /// Where word goes that those who get it tell on: to some hosts of the own region and a few of others.
    #[must_use]
    pub fn word_targets(&self, region: &str, random: &mut SmallRng) -> Vec<net::SocketAddr> {
        let mut targets = self.near_targets(region, random);
        targets.extend(self.far_targets(region, random));
        targets
    }

    /// Where word goes that all hosts of a region need at once; those of other regions have it
    /// from their own watchers, or ask when a heartbeat shows that they lack it.
    #[must_use]
    pub fn all_near(&self, region: &str, random: &mut SmallRng) -> Vec<net::SocketAddr> {
        let far = self.far_targets(region, random);
        self.near_addresses(region).chain(far).collect()
    }

    /// Where word of a new configuration goes at first. In a large region those who have fetched
    /// it pass the word on, so that not all fetch from one host.
    #[must_use]
    pub fn some_near(&self, region: &str, random: &mut SmallRng) -> Vec<net::SocketAddr> {
        let near = self.near_addresses(region);
        let near = near.choose_multiple(random, ANNOUNCE_TARGETS);
        near.into_iter()
            .chain(self.far_targets(region, random))
            .collect()
    }

    /// Where a host that is among the first to serve after a start says so: its region, and the largest
    /// hosts of each other one, who pass it on there.
    #[must_use]
    pub fn start_targets(&self, region: &str) -> Vec<net::SocketAddr> {
        let mut far: Vec<_> = self
            .records()
            .filter(|peer| peer.region != region)
            .collect();
        far.sort_by_key(|peer| (&peer.region, cmp::Reverse(peer.processor_milli), &peer.name));
        let regions = far.chunk_by(|a, b| a.region == b.region);
        let far = regions.flat_map(|hosts| hosts.iter().take(START_TARGETS));
        let far = far.map(|peer| peer.heartbeat_address);
        self.near_addresses(region).chain(far).collect()
    }

    /// All hosts of a region.
    #[must_use]
    pub fn region_targets(&self, region: &str) -> Vec<net::SocketAddr> {
        self.near_addresses(region).collect()
    }

    /// Some hosts of each region but `region` that pass word on there: the largest that were heard, else
    /// the largest that are known.
    #[must_use]
    pub fn relay_targets(&self, region: &str, now: Moment) -> Vec<net::SocketAddr> {
        let mut far: Vec<_> = self.peers.values().collect();
        far.retain(|peer| peer.record.region != region && !peer.leaving);
        far.sort_by_key(|peer| {
            let is_silent = !peer.is_heard(now, REMOVE_MS);
            let record = &peer.record;
            (&record.region, is_silent, record.watch_order())
        });
        let regions = far.chunk_by(|a, b| a.record.region == b.record.region);
        let far = regions.flat_map(|hosts| hosts.iter().take(RELAY_TARGETS));
        far.map(|peer| peer.record.heartbeat_address).collect()
    }

    /// Whether word that goes to [`Self::some_near`] does not reach the whole region.
    #[must_use]
    pub fn must_pass_on(&self, region: &str) -> bool {
        self.near(region).count() > ANNOUNCE_TARGETS
    }

    /// Where news of servers goes that `own` has seen in the store: to its part of the region, since
    /// the other watchers of the region see the same. A host that misses news of a watcher that
    /// falls silent hears of it by heartbeats.
    #[must_use]
    pub fn news_targets(&self, own: &HostRecord, now: Moment) -> Vec<net::SocketAddr> {
        let watchers = self.watcher_hashes(&own.region, now);
        let own_hash = hash::of_name(&own.name);
        let targets = self.near(&own.region).filter(|target| {
            let target = hash::of_name(&target.record.name);
            let own_rank = hash::mix(own_hash ^ target);
            watchers
                .iter()
                .all(|watcher| own_rank <= hash::mix(watcher ^ target))
        });
        targets.map(|peer| peer.record.heartbeat_address).collect()
    }

    /// Where news of servers goes that `own` has seen in the store: each hall of the region is told by one of the region's
    /// watchers, by two of its hosts, who pass it on. Bytes between halls are paid for, and each change concerns every
    /// host: told to each of them by a watcher, they would grow with changes times hosts.
    #[must_use]
    pub fn fleet_news_targets(&self, own: &HostRecord, now: Moment) -> NewsTargets {
        let watchers = self.watcher_hashes(&own.region, now);
        let own_hash = hash::of_name(&own.name);
        let is_own_part = |hall: &str| {
            let hall = hash::of_name(hall);
            let own_rank = hash::mix(own_hash ^ hall);
            let mut others = watchers.iter();
            others.all(|watcher| own_rank <= hash::mix(watcher ^ hall))
        };
        let mut near: Vec<&PeerEntry> = self.near(&own.region).collect();
        near.retain(|peer| is_own_part(&peer.record.hall));
        near.sort_by_key(|peer| (&peer.record.hall, peer.record.watch_order()));
        let silent_ms = self.silent_ms(&own.region);
        let mut targets = NewsTargets::default();
        for hall in near.chunk_by(|a, b| a.record.hall == b.record.hall) {
            let is_own = hall.iter().any(|peer| peer.record.hall == own.hall);
            if is_own || hall.len() <= NEWS_RELAYS {
                targets.direct.extend(addresses(hall.iter().copied()));
                continue;
            }
            let live = hall.iter().filter(|peer| peer.stays(now, silent_ms));
            let relays: Vec<_> = addresses(live.copied().take(NEWS_RELAYS)).collect();
            if relays.len() < NEWS_RELAYS {
                targets.direct.extend(addresses(hall.iter().copied()));
            } else {
                targets.relays.extend(relays);
            }
        }
        targets
    }

    /// The other hosts of the hall of `own`.
    #[must_use]
    pub fn hall_targets(&self, own: &HostRecord) -> Vec<net::SocketAddr> {
        let near = self.near(&own.region);
        let hall = near.filter(|peer| peer.record.hall == own.hall);
        addresses(hall).collect()
    }

    /// Another host to ask than `source`, which does not answer: a live one of the own region, else of
    /// any other.
    #[must_use]
    pub fn other_source(
        &self,
        region: &str,
        source: net::SocketAddr,
        now: Moment,
        random: &mut SmallRng,
    ) -> Option<net::SocketAddr> {
        let others = self.peers.values().filter(|peer| {
            let silent_ms = self.silent_ms(&peer.record.region);
            peer.stays(now, silent_ms) && peer.record.peer_address != source
        });
        let (near, far): (Vec<_>, Vec<_>) = others.partition(|peer| peer.record.region == region);
        let other = near.into_iter().choose(random);
        let other = other.or_else(|| far.into_iter().choose(random));
        other.map(|peer| peer.record.peer_address)
    }

    /// Hashes of the names of the other hosts of `region` that watch the store now.
    fn watcher_hashes(&self, region: &str, now: Moment) -> Vec<u64> {
        let silent_ms = self.silent_ms(region);
        let watchers = self
            .near(region)
            .filter(|peer| peer.watch == WatchState::Watching && peer.stays(now, silent_ms));
        watchers
            .map(|peer| hash::of_name(&peer.record.name))
            .collect()
    }

    fn near_addresses<'a>(&'a self, region: &'a str) -> impl Iterator<Item = net::SocketAddr> {
        let near = self.near(region);
        near.map(|peer| peer.record.heartbeat_address)
    }
}

fn addresses<'a>(
    peers: impl Iterator<Item = &'a PeerEntry>,
) -> impl Iterator<Item = net::SocketAddr> {
    peers.map(|peer| peer.record.heartbeat_address)
}
