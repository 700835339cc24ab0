//! Gossip about third hosts.
//!
//! In a large region a heartbeat goes to a few hosts only, so that the traffic of a host does not
//! grow with the number of hosts. Each heartbeat therefore also carries the statuses of recently
//! seen hosts (Demers et al., 1987). The age of a status counts from when its host sent it, not
//! from when it was relayed.

use super::{INDIRECT_PEER_TIMEOUT_MS, PeerEntry, PeerTable};
use crate::entry::hash;
use crate::entry::peer_message::PeerStatus;
use crate::timer::Moment;

/// Maximum number of peer statuses in a heartbeat. With 40, a host of the target deployment stays
/// under 10 KB a second, and each host of a region of 160 appears in one or two of the eight
/// heartbeats that another host gets per round. With 32, some live host was advertised by fewer
/// than 98 in 100 others in 7 of 120 simulated regions of 157 hosts; with 40 in none of 60.
const MAX_STATUSES: usize = 40;

/// Maximum number of statuses from other regions among them.
const MAX_REMOTE_STATUSES: usize = 10;

/// Maximum network latency to another host of the region, in tenths of a second.
const MAX_LATENCY_TENTHS: u64 = 1;

impl PeerTable {
    /// The most recent statuses of hosts in `region`. The newest ones are unknown to most
    /// recipients.
    #[must_use]
    pub fn recent_statuses(&self, region: &str, now: Moment) -> Vec<PeerStatus> {
        newest(self.in_region(region), MAX_STATUSES, now)
    }

    /// Like [`Self::recent_statuses`], with some hosts of other regions, for heartbeats that go to
    /// those regions too. Two hosts of one region may both be known only to a host of another
    /// region, and discover each other through its heartbeats.
    #[must_use]
    pub fn recent_statuses_all_regions(&self, region: &str, now: Moment) -> Vec<PeerStatus> {
        let peers = self.peers.values();
        let remote = peers.filter(|peer| peer.record.region != region);
        let mut statuses = newest(remote, MAX_REMOTE_STATUSES, now);
        statuses.extend(newest(
            self.in_region(region),
            MAX_STATUSES - statuses.len(),
            now,
        ));
        statuses
    }

    /// Applies peer statuses reported by another host.
    pub fn on_statuses(&mut self, statuses: &[PeerStatus], now: Moment) {
        for status in statuses {
            let name = self.names_by_hash.get(&status.name_hash);
            if let Some(peer) = name.and_then(|name| self.peers.get_mut(name)) {
                peer.on_status(status, now);
            }
        }
    }
}

/// The statuses of the `limit` most recently seen hosts.
fn newest<'a>(
    peers: impl Iterator<Item = &'a PeerEntry>,
    limit: usize,
    now: Moment,
) -> Vec<PeerStatus> {
    let mut statuses: Vec<PeerStatus> = peers
        .filter_map(|peer| peer.status(INDIRECT_PEER_TIMEOUT_MS, now))
        .collect();
    statuses.sort_unstable_by_key(|status| (status.age_tenths, status.name_hash));
    statuses.truncate(limit);
    statuses
}

impl PeerEntry {
    /// The status to report to others; `None` if the host is leaving or its status would be older
    /// than `max_age_ms`.
    pub(super) fn status(&self, max_age_ms: u64, now: Moment) -> Option<PeerStatus> {
        // The age is rounded up and a tenth is added for the network latency. If the age shrank
        // with each relay, gossip would keep a dead host alive forever.
        let age_tenths = now.since(self.last_seen?).div_ceil(100) + MAX_LATENCY_TENTHS;
        let is_recent = age_tenths * 100 <= max_age_ms && !self.leaving;
        is_recent.then_some(PeerStatus {
            name_hash: short_hash(&self.record.name),
            run_low: run_low(self.record.run),
            // The check above bounds the age by `max_age_ms`, and all callers pass less than 25 s.
            age_tenths: age_tenths as u8,
            ready: self.ready,
            reaches_servers: self.reaches_servers,
            watch: self.watch,
        })
    }

    /// Applies a status reported by another host if it is newer than the known one.
    fn on_status(&mut self, status: &PeerStatus, now: Moment) {
        let sent_at = now.before(u64::from(status.age_tenths) * 100);
        let is_newer = self.last_seen.is_none_or(|seen| seen < sent_at);
        if status.run_low == run_low(self.record.run) && is_newer {
            self.last_seen = Some(sent_at);
            self.ready = status.ready;
            self.reaches_servers = status.reaches_servers;
            self.watch = status.watch;
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
