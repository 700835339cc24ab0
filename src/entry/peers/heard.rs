//! What hosts tell each other of third ones.
//!
//! In a large region a heartbeat goes to a few hosts only, since what a host sends must not grow
//! with the number of hosts. So each heartbeat also tells whom its sender has heard of lately, and
//! how long ago that host spoke itself: the word goes round (Demers et al., 1987), and its age is
//! counted from there, not from when it was repeated.

use super::{INDIRECT_SILENT_MS, PeerEntry, PeerTable};
use crate::entry::hash;
use crate::entry::peer_message::HeardHost;
use crate::timer::Moment;

/// Others of the region that each heartbeat tells of, at most: with them a host of the target's
/// deployment stays under its 10 KB a second, and a host of a region of 160 is told of by one or
/// two of the eight heartbeats that another gets in each round. With 32 some living host was named by
/// fewer than 98 in 100 others in 7 of 120 simulated regions of 157 hosts, with 40 in none of 60.
const TOLD_HOSTS: usize = 40;

/// Hosts of other regions among them, where such are told of.
const TOLD_FAR_HOSTS: usize = 10;

/// What a datagram takes to another host of the region at most, in tenths of a second.
const WAY_TENTHS: u64 = 1;

impl PeerTable {
    /// What a heartbeat tells of the other hosts of `region`: of those that spoke last, when they
    /// are many. What is newest is new to most.
    #[must_use]
    pub fn heard_lately(&self, region: &str, now: Moment) -> Vec<HeardHost> {
        newest(self.near(region), TOLD_HOSTS, now)
    }

    /// The same with some hosts of other regions, for heartbeats that go there as well: two hosts of one region
    /// whom only a host of another knows meet by its word.
    #[must_use]
    pub fn heard_anywhere(&self, region: &str, now: Moment) -> Vec<HeardHost> {
        let peers = self.peers.values();
        let far = peers.filter(|peer| peer.record.region != region);
        let mut told = newest(far, TOLD_FAR_HOSTS, now);
        told.extend(newest(self.near(region), TOLD_HOSTS - told.len(), now));
        told
    }

    /// Others tell of hosts that they have heard.
    pub fn on_told(&mut self, heard: &[HeardHost], now: Moment) {
        for told in heard {
            let name = self.names.get(&told.name_hash);
            if let Some(peer) = name.and_then(|name| self.peers.get_mut(name)) {
                peer.on_told(told, now);
            }
        }
    }
}

/// What to tell of the `most` hosts that spoke last.
fn newest<'a>(
    peers: impl Iterator<Item = &'a PeerEntry>,
    most: usize,
    now: Moment,
) -> Vec<HeardHost> {
    let mut told: Vec<HeardHost> = peers
        .filter_map(|peer| peer.told(INDIRECT_SILENT_MS, now))
        .collect();
    told.sort_unstable_by_key(|heard| (heard.age_tenths, heard.name_hash));
    told.truncate(most);
    told
}

impl PeerEntry {
    /// What to tell others of it; `None` when it was not heard for `age_ms`, or leaves.
    pub(super) fn told(&self, age_ms: u64, now: Moment) -> Option<HeardHost> {
        // Rounded up, and a tenth for the way: an age that shrank as it was told on would keep a dead
        // host alive for as long as the others talk of it.
        let age_tenths = now.since(self.heard?).div_ceil(100) + WAY_TENTHS;
        let is_worth_telling = age_tenths * 100 <= age_ms && !self.leaving;
        is_worth_telling.then_some(HeardHost {
            name_hash: short_hash(&self.record.name),
            run_low: run_low(self.record.run),
            // At most the times that are told, by the line above; they are below 25 s.
            age_tenths: age_tenths as u8,
            ready: self.ready,
            watch: self.watch,
        })
    }

    /// Takes in what another host has heard of it, if that is newer than what is known here.
    fn on_told(&mut self, told: &HeardHost, now: Moment) {
        let spoke = now.before(u64::from(told.age_tenths) * 100);
        let is_news = self.heard.is_none_or(|heard| heard < spoke);
        if told.run_low == run_low(self.record.run) && is_news {
            self.heard = Some(spoke);
            self.ready = told.ready;
            self.watch = told.watch;
        }
    }
}

/// The lower half of the hash of a name, which is enough to tell some hundred names apart.
pub(super) fn short_hash(name: &str) -> u32 {
    hash::of_name(name) as u32
}

/// The lower part of a run's number, which tells it from those shortly before.
pub(super) const fn run_low(run: u64) -> u16 {
    run as u16
}
