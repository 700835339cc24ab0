//! Selects the hosts that track the first server crashes under a request.

use std::net;

use super::{HostRecord, PeerTable};
use crate::entry::fingerprint::RequestFingerprint;
use crate::entry::hash;
use crate::timer::Moment;

impl PeerTable {
    /// Addresses of the `count` hosts that track a fingerprint: the first live hosts by a hash of
    /// host and fingerprint (rendezvous hashing; Thaler and Ravishankar, 1998). Hosts that know the
    /// same peers select the same trackers, except that each leaves itself out.
    #[must_use]
    pub fn suspect_trackers(
        &self,
        fingerprint: RequestFingerprint,
        count: usize,
        now: Moment,
    ) -> Vec<net::SocketAddr> {
        let live = self.live_records(now);
        let mut ranked: Vec<(u64, net::SocketAddr)> = live
            .map(|record| (rank(record, fingerprint), record.heartbeat_address))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Whether `own` ranks first among all live hosts for this fingerprint.
    #[must_use]
    pub fn is_first_tracker(
        &self,
        own: &HostRecord,
        fingerprint: RequestFingerprint,
        now: Moment,
    ) -> bool {
        let own_rank = rank(own, fingerprint);
        let mut live = self.live_records(now);
        live.all(|record| rank(record, fingerprint) >= own_rank)
    }

    fn live_records(&self, now: Moment) -> impl Iterator<Item = &HostRecord> {
        let live = self.peers.values().filter(move |peer| {
            let timeout_ms = self.timeout_ms(&peer.record.region);
            peer.may_be_alive(now, timeout_ms) && !peer.leaving
        });
        live.map(|peer| &peer.record)
    }
}

fn rank(record: &HostRecord, fingerprint: RequestFingerprint) -> u64 {
    hash::mix(hash::of_name(&record.name) ^ hash::mix(fingerprint.0))
}
