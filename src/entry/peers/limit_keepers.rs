//! Selects the host that hands out send tokens for a server with an advertised limit.

use std::{collections, net};

use super::{HostRecord, PeerEntry, PeerTable, REMOVE_TIMEOUT_MS};
use crate::timer::Moment;

/// The owner of a server's limit, as seen from this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeeperPlace {
    /// This host is the owner.
    Own,
    /// Another host is the owner, or is in the owner's region and forwards to it.
    At {
        /// Address for datagrams.
        address: net::SocketAddr,
        /// Whether that host is in this host's region.
        is_near: bool,
    },
    /// No possible owner is known.
    Nowhere,
}

/// A search for the owner of a server's limit.
#[derive(Debug, Clone, Copy)]
pub struct KeeperQuery<'a> {
    /// The server's region.
    pub region: &'a str,
    /// A hash of the server's identity and start.
    pub server: u64,
    /// The host that searches.
    pub own: &'a HostRecord,
    /// Whether `own` may itself be the owner.
    pub may_keep: bool,
}

impl PeerTable {
    /// Finds the owner of a server's limit. The owner is in the server's region, so that a
    /// partition between regions does not separate them; if all hosts there are gone, it is in the
    /// first other region by name. A host knows the peers of its own region well but those of other
    /// regions poorly, so it sends to a recently seen host of the other region, which forwards to
    /// the owner.
    #[must_use]
    pub fn limit_keeper(&self, query: &KeeperQuery<'_>, now: Moment) -> KeeperPlace {
        let own_region = query.own.region.as_str();
        let own = query.may_keep.then_some(query.own);
        let inhabited = self.inhabited_regions(own, now);
        let region = if inhabited.contains(query.region) {
            Some(query.region)
        } else {
            inhabited.first().copied()
        };
        match region {
            None => KeeperPlace::Nowhere,
            Some(region) if region == own_region => self.near_keeper(query, own, now),
            Some(region) => self.lately_heard(region, now),
        }
    }

    fn near_keeper(
        &self,
        query: &KeeperQuery<'_>,
        own: Option<&HostRecord>,
        now: Moment,
    ) -> KeeperPlace {
        let keeper = self.grantor_of(&query.own.region, query.server, own, |_| false, now);
        match keeper {
            None => KeeperPlace::Nowhere,
            Some(keeper) if keeper.name == query.own.name => KeeperPlace::Own,
            Some(keeper) => KeeperPlace::At {
                address: keeper.address,
                is_near: true,
            },
        }
    }

    fn lately_heard(&self, region: &str, now: Moment) -> KeeperPlace {
        let hosts = self
            .in_region(region)
            .filter(|peer| peer.was_alive_recently(now));
        let last = hosts.max_by_key(|peer| {
            (
                peer.last_seen.unwrap_or(peer.discovered_at),
                &peer.record.name,
            )
        });
        last.map_or(KeeperPlace::Nowhere, |peer| KeeperPlace::At {
            address: peer.record.heartbeat_address,
            is_near: false,
        })
    }

    /// The regions that have a recently seen host, and the region of `own`.
    fn inhabited_regions<'a>(
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
