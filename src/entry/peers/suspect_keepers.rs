//! Which hosts count the first ends of servers under a request.

use std::net;

use super::PeerTable;
use crate::entry::fingerprint::RequestFingerprint;
use crate::entry::hash;
use crate::timer::Moment;

impl PeerTable {
    /// Where the `count` hosts are that a request's fingerprint names: of those that live the first by a hash
    /// of host and request (rendezvous hashing; Thaler and Ravishankar, 1998). Hosts that know the same others
    /// name the same ones, but for the host that asks.
    #[must_use]
    pub fn suspect_keepers(
        &self,
        fingerprint: RequestFingerprint,
        count: usize,
        now: Moment,
    ) -> Vec<net::SocketAddr> {
        let peers = self.peers.values().filter(|peer| {
            let silent_ms = self.silent_ms(&peer.record.region);
            peer.may_live(now, silent_ms) && !peer.leaving
        });
        let mut ranked: Vec<(u64, net::SocketAddr)> = peers
            .map(|peer| {
                let name = hash::of_name(&peer.record.name);
                let rank = hash::mix(name ^ hash::mix(fingerprint.0));
                (rank, peer.record.heartbeat_address)
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(_, address)| address).collect()
    }
}
