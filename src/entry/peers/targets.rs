//! Selects the recipients of a host's datagrams.
//!
//! The traffic of a host must not grow with the number of hosts, and traffic between regions is
//! paid for. Heartbeats therefore go to a few hosts and spread by gossip; only messages that a
//! whole region needs at once go to all of it.

use std::{cmp, net};

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom as _;

use super::{HostRecord, PeerEntry, PeerTable, REMOVE_TIMEOUT_MS};
use crate::entry::hash;
use crate::entry::peer_message::WatchState;
use crate::load_exchange::schedule;
use crate::timer::Moment;

/// Maximum number of hosts of the own region that each heartbeat goes to. With eight, a status has
/// reached 80 other hosts after two rounds and 470 after three (Demers et al., 1987).
pub const HEARTBEAT_FANOUT: usize = 8;
/// Number of hosts to which a new configuration is first announced. A watcher on a link of 10
/// Mbit/s can send the configuration to a few of them within a tenth of a second.
const ANNOUNCE_FANOUT: usize = 16;
/// Hosts of each other region that relay host updates. With two, one host or datagram may be lost.
const RELAYS_PER_REGION: usize = 2;
/// Hosts of each other region that a host notifies when it is among the first to serve after a
/// start. One would be enough, but some may not have started yet.
const START_TARGETS_PER_REGION: usize = 3;
/// Number of hosts of other regions that each heartbeat goes to.
const REMOTE_HEARTBEAT_FANOUT: usize = 2;
/// Hosts of each other hall that relay fleet updates to their hall. With two, one of them may have
/// just crashed.
pub const RELAYS_PER_HALL: usize = 2;

/// Recipients of a fleet update.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UpdateTargets {
    /// Hosts that only apply the update.
    pub direct: Vec<net::SocketAddr>,
    /// Hosts that also relay the update to the others of their hall.
    pub relays: Vec<net::SocketAddr>,
}

impl PeerTable {
    /// Random hosts of the own region that a heartbeat goes to. The others learn of it by gossip.
    #[must_use]
    pub fn local_targets(&self, region: &str, random: &mut SmallRng) -> Vec<net::SocketAddr> {
        self.region_addresses(region)
            .choose_multiple(random, HEARTBEAT_FANOUT)
    }

    /// Random hosts of other regions that a heartbeat goes to. The others learn of it by gossip.
    #[must_use]
    pub fn remote_targets(&self, region: &str, random: &mut SmallRng) -> Vec<net::SocketAddr> {
        let peers = self.peers.values();
        let remote = peers.filter(|peer| peer.record.region != region);
        let remote = remote.map(|peer| peer.record.heartbeat_address);
        remote.choose_multiple(random, REMOTE_HEARTBEAT_FANOUT)
    }

    /// Random hosts of the own region, most of them in the hall of `own`, that get a digest of
    /// servers' loads.
    #[must_use]
    pub fn load_targets(&self, own: &HostRecord, random: &mut SmallRng) -> Vec<net::SocketAddr> {
        let local = self.in_region(&own.region);
        let (hall, others): (Vec<&PeerEntry>, Vec<&PeerEntry>) =
            local.partition(|peer| peer.record.hall == own.hall);
        let hall: Vec<_> = addresses(hall.into_iter()).collect();
        let others: Vec<_> = addresses(others.into_iter()).collect();
        schedule::recipients(&hall, &others, random)
    }

    /// Recipients of a message that spreads by gossip: some hosts of the own region and a few of
    /// others.
    #[must_use]
    pub fn gossip_targets(&self, region: &str, random: &mut SmallRng) -> Vec<net::SocketAddr> {
        let mut targets = self.local_targets(region, random);
        targets.extend(self.remote_targets(region, random));
        targets
    }

    /// Recipients of a message that the whole region needs at once. Other regions get it from their
    /// own watchers, or ask when a heartbeat shows that they are behind.
    #[must_use]
    pub fn broadcast_targets(&self, region: &str, random: &mut SmallRng) -> Vec<net::SocketAddr> {
        let remote = self.remote_targets(region, random);
        self.region_addresses(region).chain(remote).collect()
    }

    /// First recipients of the announcement of a new configuration. In a large region, hosts that
    /// have fetched the configuration announce it further, so that not all fetch from one host.
    #[must_use]
    pub fn announce_targets(&self, region: &str, random: &mut SmallRng) -> Vec<net::SocketAddr> {
        let local = self.region_addresses(region);
        let local = local.choose_multiple(random, ANNOUNCE_FANOUT);
        local
            .into_iter()
            .chain(self.remote_targets(region, random))
            .collect()
    }

    /// Recipients of the announcement of a host that is among the first to serve after a start: its
    /// region, and the largest hosts of each other region, which relay it there.
    #[must_use]
    pub fn start_targets(&self, region: &str) -> Vec<net::SocketAddr> {
        let mut remote: Vec<_> = self
            .records()
            .filter(|peer| peer.region != region)
            .collect();
        remote.sort_by_key(|peer| (&peer.region, cmp::Reverse(peer.processor_milli), &peer.name));
        let regions = remote.chunk_by(|a, b| a.region == b.region);
        let remote = regions.flat_map(|hosts| hosts.iter().take(START_TARGETS_PER_REGION));
        let remote = remote.map(|peer| peer.heartbeat_address);
        self.region_addresses(region).chain(remote).collect()
    }

    /// All known hosts of a region.
    #[must_use]
    pub fn region_targets(&self, region: &str) -> Vec<net::SocketAddr> {
        self.region_addresses(region).collect()
    }

    /// Hosts of each region except `region` that relay updates there: the largest that were seen
    /// recently, else the largest that are known.
    #[must_use]
    pub fn relay_targets(&self, region: &str, now: Moment) -> Vec<net::SocketAddr> {
        let mut remote: Vec<_> = self.peers.values().collect();
        remote.retain(|peer| peer.record.region != region && !peer.leaving);
        remote.sort_by_key(|peer| {
            let is_silent = !peer.is_alive(now, REMOVE_TIMEOUT_MS);
            let record = &peer.record;
            (&record.region, is_silent, record.watcher_rank())
        });
        let regions = remote.chunk_by(|a, b| a.record.region == b.record.region);
        let remote = regions.flat_map(|hosts| hosts.iter().take(RELAYS_PER_REGION));
        remote.map(|peer| peer.record.heartbeat_address).collect()
    }

    /// Whether [`Self::announce_targets`] leaves out part of the region.
    #[must_use]
    pub fn must_forward_announcement(&self, region: &str) -> bool {
        self.in_region(region).count() > ANNOUNCE_FANOUT
    }

    /// Recipients of a host update that `own` has observed in the store. Each watcher of the region
    /// observes the same changes and sends to its share of the region. Hosts that miss an update
    /// because their watcher fails catch up after a heartbeat.
    #[must_use]
    pub fn host_update_targets(&self, own: &HostRecord, now: Moment) -> Vec<net::SocketAddr> {
        let watchers = self.watcher_hashes(&own.region, now);
        let own_hash = hash::of_name(&own.name);
        let targets = self.in_region(&own.region).filter(|target| {
            let target = hash::of_name(&target.record.name);
            let own_rank = hash::mix(own_hash ^ target);
            watchers
                .iter()
                .all(|watcher| own_rank <= hash::mix(watcher ^ target))
        });
        targets.map(|peer| peer.record.heartbeat_address).collect()
    }

    /// Recipients of a fleet update that `own` has observed in the store. Each hall of the region
    /// is assigned to one watcher, which sends to two hosts of the hall that relay the update.
    /// Traffic between halls is paid for and every host needs each change: if watchers sent to
    /// every host, the traffic between halls would grow with the number of changes times the number
    /// of hosts.
    #[must_use]
    pub fn fleet_update_targets(&self, own: &HostRecord, now: Moment) -> UpdateTargets {
        let watchers = self.watcher_hashes(&own.region, now);
        let own_hash = hash::of_name(&own.name);
        let is_own_share = |hall: &str| {
            let hall = hash::of_name(hall);
            let own_rank = hash::mix(own_hash ^ hall);
            let mut others = watchers.iter();
            others.all(|watcher| own_rank <= hash::mix(watcher ^ hall))
        };
        let mut local: Vec<&PeerEntry> = self.in_region(&own.region).collect();
        local.retain(|peer| is_own_share(&peer.record.hall));
        local.sort_by_key(|peer| (&peer.record.hall, peer.record.watcher_rank()));
        // A relay that was just killed passes nothing on.
        let timeout_ms = self.watch_timeout_ms(&own.region);
        let mut targets = UpdateTargets::default();
        for hall in local.chunk_by(|a, b| a.record.hall == b.record.hall) {
            let is_own = hall.iter().any(|peer| peer.record.hall == own.hall);
            if is_own || hall.len() <= RELAYS_PER_HALL {
                targets.direct.extend(addresses(hall.iter().copied()));
                continue;
            }
            let live = hall.iter().filter(|peer| peer.is_active(now, timeout_ms));
            let relays: Vec<_> = addresses(live.copied().take(RELAYS_PER_HALL)).collect();
            if relays.len() < RELAYS_PER_HALL {
                targets.direct.extend(addresses(hall.iter().copied()));
            } else {
                targets.relays.extend(relays);
            }
        }
        targets
    }

    /// The other hosts in the hall of `own`.
    #[must_use]
    pub fn hall_targets(&self, own: &HostRecord) -> Vec<net::SocketAddr> {
        let local = self.in_region(&own.region);
        let hall = local.filter(|peer| peer.record.hall == own.hall);
        addresses(hall).collect()
    }

    /// A random host to fetch from when `source` does not answer: a live one of the own region,
    /// else of another.
    #[must_use]
    pub fn other_source(
        &self,
        region: &str,
        source: net::SocketAddr,
        now: Moment,
        random: &mut SmallRng,
    ) -> Option<net::SocketAddr> {
        let others = self.peers.values().filter(|peer| {
            let timeout_ms = self.timeout_ms(&peer.record.region);
            peer.is_active(now, timeout_ms) && peer.record.peer_address != source
        });
        let (local, remote): (Vec<_>, Vec<_>) =
            others.partition(|peer| peer.record.region == region);
        let other = local.into_iter().choose(random);
        let other = other.or_else(|| remote.into_iter().choose(random));
        other.map(|peer| peer.record.peer_address)
    }

    /// Up to `count` random hosts of any region that currently watch the store.
    #[must_use]
    pub fn sample_watchers(
        &self,
        count: usize,
        now: Moment,
        random: &mut SmallRng,
    ) -> Vec<net::SocketAddr> {
        let watchers = self.peers.values().filter(|peer| {
            let timeout_ms = self.timeout_ms(&peer.record.region);
            peer.watch == WatchState::Watching && peer.is_active(now, timeout_ms)
        });
        let addresses = watchers.map(|peer| peer.record.peer_address);
        addresses.choose_multiple(random, count)
    }

    /// Name hashes of the other hosts of `region` that currently watch the store.
    fn watcher_hashes(&self, region: &str, now: Moment) -> Vec<u64> {
        let timeout_ms = self.timeout_ms(region);
        let watchers = self
            .in_region(region)
            .filter(|peer| peer.watch == WatchState::Watching && peer.is_active(now, timeout_ms));
        watchers
            .map(|peer| hash::of_name(&peer.record.name))
            .collect()
    }

    fn region_addresses<'a>(&'a self, region: &'a str) -> impl Iterator<Item = net::SocketAddr> {
        let local = self.in_region(region);
        local.map(|peer| peer.record.heartbeat_address)
    }
}

fn addresses<'a>(
    peers: impl Iterator<Item = &'a PeerEntry>,
) -> impl Iterator<Item = net::SocketAddr> {
    peers.map(|peer| peer.record.heartbeat_address)
}
