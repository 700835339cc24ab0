//! Gossip about third hosts.
//!
//! In a large region a heartbeat goes to a few hosts only, so that the traffic of a host does not
//! grow with the number of hosts. Each heartbeat therefore also carries the statuses of recently
//! seen hosts (Demers et al., 1987). The age of a status counts from when its host sent it, not
//! from when it was relayed.

use super::{INDIRECT_SILENT_MS, PeerEntry, PeerTable};
use crate::entry::hash;
use crate::entry::peer_message::HeardHost;
use crate::timer::Moment;

/// Maximum number of peer statuses in a heartbeat. With 40, a host of the target deployment stays
/// under 10 KB a second, and each host of a region of 160 appears in one or two of the eight
/// heartbeats that another host gets per round. With 32, some live host was advertised by fewer
/// than 98 in 100 others in 7 of 120 simulated regions of 157 hosts; with 40 in none of 60.
const TOLD_HOSTS: usize = 40;

/// Maximum number of statuses from other regions among them.
const TOLD_FAR_HOSTS: usize = 10;

/// Maximum network latency to another host of the region, in tenths of a second.
const WAY_TENTHS: u64 = 1;

impl PeerTable {
    /// The most recent statuses of hosts in `region`. The newest ones are unknown to most
    /// recipients.
    #[must_use]
    pub fn heard_lately(&self, region: &str, now: Moment) -> Vec<HeardHost> {
        newest(self.near(region), TOLD_HOSTS, now)
    }

    /// Like [`Self::recent_statuses`], with some hosts of other regions, for heartbeats that go to
    /// those regions too. Two hosts of one region may both be known only to a host of another
    /// region, and discover each other through its heartbeats.
    #[must_use]
    pub fn heard_anywhere(&self, region: &str, now: Moment) -> Vec<HeardHost> {
        let peers = self.peers.values();
        let far = peers.filter(|peer| peer.record.region != region);
        let mut told = newest(far, TOLD_FAR_HOSTS, now);
        told.extend(newest(self.near(region), TOLD_HOSTS - told.len(), now));
        told
    }

    /// Applies peer statuses reported by another host.
    pub fn on_told(&mut self, heard: &[HeardHost], now: Moment) {
        for told in heard {
            let name = self.names.get(&told.name_hash);
            if let Some(peer) = name.and_then(|name| self.peers.get_mut(name)) {
                peer.on_told(told, now);
            }
        }
    }
}

/// The statuses of the `limit` most recently seen hosts.
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
    /// The status to report to others; `None` if the host is leaving or its status would be older
    /// than `max_age_ms`.
    pub(super) fn told(&self, age_ms: u64, now: Moment) -> Option<HeardHost> {
        // The age is rounded up and a tenth is added for the network latency. If the age shrank
        // with each relay, gossip would keep a dead host alive forever.
        let age_tenths = now.since(self.heard?).div_ceil(100) + WAY_TENTHS;
        let is_worth_telling = age_tenths * 100 <= age_ms && !self.leaving;
        is_worth_telling.then_some(HeardHost {
            name_hash: short_hash(&self.record.name),
            run_low: run_low(self.record.run),
            // The check above bounds the age by `max_age_ms`, and all callers pass less than 25 s.
            age_tenths: age_tenths as u8,
            ready: self.ready,
            watch: self.watch,
        })
    }

    /// Applies a status reported by another host if it is newer than the known one.
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

/// The lower half of the hash of a name; enough to distinguish some hundred names.
pub(super) fn short_hash(name: &str) -> u32 {
    hash::of_name(name) as u32
}

/// The lower bits of a run number; enough to distinguish a run from the ones shortly before it.
pub(super) const fn run_low(run: u64) -> u16 {
    run as u16
}
