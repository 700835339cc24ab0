//! Selects the hosts that may take requests over from a host that reaches no server.

use std::net;

use super::{HostRecord, PeerEntry, PeerTable};
use crate::entry::hash;
use crate::timer::Moment;

/// Number of candidates in the own region, and in all others together. A few suffice to spread the
/// requests, and bound the number of connections between hosts.
const CANDIDATES: usize = 3;

/// A search for hosts that take a request over.
#[derive(Debug, Clone, Copy)]
pub struct HandoffQuery<'a> {
    /// The host that searches.
    pub own: &'a HostRecord,
    /// The only regions that may get the request; empty if all may.
    pub homes: &'a [String],
}

/// A host that may take requests over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandoffTarget {
    /// Its name.
    pub name: String,
    /// Its peer address.
    pub address: net::SocketAddr,
    /// Whether it is in the region of the host that searches.
    pub is_local: bool,
    /// Its share of a core, in thousandths.
    pub processor_milli: u32,
}

impl PeerTable {
    /// Hosts that serve callers and reach servers: a few of the own region, then a few of others.
    /// They are ranked by a hash of both hosts, so that the hosts of a partitioned hall do not all
    /// select the same ones.
    #[must_use]
    pub fn handoff_targets(&self, query: &HandoffQuery<'_>, now: Moment) -> Vec<HandoffTarget> {
        let own_hash = hash::of_name(&query.own.name);
        let is_home = |region: &String| query.homes.is_empty() || query.homes.contains(region);
        let mut peers: Vec<(u64, &PeerEntry)> = self
            .peers
            .values()
            .filter(|peer| {
                let timeout_ms = self.timeout_ms(&peer.record.region);
                let serves = peer.is_active(now, timeout_ms) && peer.ready;
                serves && peer.reaches_servers && is_home(&peer.record.region)
            })
            .map(|peer| {
                let rank = hash::mix(own_hash ^ hash::of_name(&peer.record.name));
                (rank, peer)
            })
            .collect();
        peers.sort_unstable_by_key(|(rank, _)| *rank);
        let targets = peers.into_iter().map(|(_, peer)| HandoffTarget {
            name: peer.record.name.clone(),
            address: peer.record.peer_address,
            is_local: peer.record.region == query.own.region,
            processor_milli: peer.record.processor_milli,
        });
        let (mut local, mut remote): (Vec<_>, Vec<_>) = targets.partition(|host| host.is_local);
        local.truncate(CANDIDATES);
        remote.truncate(CANDIDATES);
        local.append(&mut remote);
        local
    }
}
