//! Selects the host that hands out send tokens for a server with an advertised limit.

use std::{collections, net};

use super::{HostRecord, PeerEntry, PeerTable, REMOVE_TIMEOUT_MS};
use crate::timer::Moment;

/// The owner of a server's limit, as seen from this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitOwner {
    /// This host is the owner.
    ThisHost,
    /// Another host is the owner, or is in the owner's region and forwards to it.
    Peer {
        /// Address for datagrams.
        address: net::SocketAddr,
        /// Whether that host is in this host's region.
        is_local: bool,
    },
    /// No possible owner is known.
    Unknown,
}

/// A search for the owner of a server's limit.
#[derive(Debug, Clone, Copy)]
pub struct LimitOwnerQuery<'a> {
    /// The server's region.
    pub region: &'a str,
    /// Hash of the server's incarnation.
    pub server: u64,
    /// The host that searches.
    pub own: &'a HostRecord,
    /// Whether `own` may itself be the owner.
    pub may_own: bool,
}

impl PeerTable {
    /// Finds the owner of a server's limit. The owner is in the server's region, so that a
    /// partition between regions does not separate them; if all hosts there are gone, it is in the
    /// first other region by name. A host knows the peers of its own region well but those of other
    /// regions poorly, so it sends to a recently seen host of the other region, which forwards to
    /// the owner.
    #[must_use]
    pub fn limit_owner(&self, query: &LimitOwnerQuery<'_>, now: Moment) -> LimitOwner {
        let own_region = query.own.region.as_str();
        let own = query.may_own.then_some(query.own);
        let live = self.live_regions(own, now);
        let region = if live.contains(query.region) {
            Some(query.region)
        } else {
            live.first().copied()
        };
        match region {
            None => LimitOwner::Unknown,
            Some(region) if region == own_region => self.local_owner(query, own, now),
            Some(region) => self.last_seen_in(region, now),
        }
    }

    fn local_owner(
        &self,
        query: &LimitOwnerQuery<'_>,
        own: Option<&HostRecord>,
        now: Moment,
    ) -> LimitOwner {
        let owner = self.coordinator_of(&query.own.region, query.server, own, |_| false, now);
        match owner {
            None => LimitOwner::Unknown,
            Some(owner) if owner.name == query.own.name => LimitOwner::ThisHost,
            Some(owner) => LimitOwner::Peer {
                address: owner.address,
                is_local: true,
            },
        }
    }

    fn last_seen_in(&self, region: &str, now: Moment) -> LimitOwner {
        let hosts = self
            .in_region(region)
            .filter(|peer| peer.was_alive_recently(now));
        let last = hosts.max_by_key(|peer| {
            (
                peer.last_seen.unwrap_or(peer.discovered_at),
                &peer.record.name,
            )
        });
        last.map_or(LimitOwner::Unknown, |peer| LimitOwner::Peer {
            address: peer.record.heartbeat_address,
            is_local: false,
        })
    }

    /// The regions that have a recently seen host, and the region of `own`.
    fn live_regions<'a>(
        &'a self,
        own: Option<&'a HostRecord>,
        now: Moment,
    ) -> collections::BTreeSet<&'a str> {
        let live = self
            .peers
            .values()
            .filter(|peer| peer.was_alive_recently(now));
        let live = live.map(|peer| peer.record.region.as_str());
        live.chain(own.map(|own| own.region.as_str())).collect()
    }
}

impl PeerEntry {
    fn was_alive_recently(&self, now: Moment) -> bool {
        !self.leaving && self.may_be_alive(now, REMOVE_TIMEOUT_MS)
    }
}
