//! The entry hosts that this one knows: who lives, who is ready, whom callers are sent to.

use std::{collections, net};

use super::configuration::ServiceConfiguration;
use super::server::ServerRecord;
use crate::timer::Moment;

/// A host that was not heard for this long is not named to callers. Four heartbeats, so that one
/// lost datagram changes nothing; well inside the time in which callers must not be sent to a host
/// that is gone.
pub const SILENT_MS: u64 = 2_000;
/// A silent host's entry is removed from the store after this long.
pub const REMOVE_MS: u64 = 20_000;
/// Hosts that one look-up names at most (the wire's own limit).
const MAX_NAMED: usize = 64;

/// One run of an entry host, as the store and other hosts hold it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HostRecord {
    /// The host's name.
    pub name: String,
    /// Rises with each start of the host's process.
    pub run: u64,
    /// The hall that it stands in.
    pub hall: String,
    /// The region of that hall.
    pub region: String,
    /// Where callers connect.
    pub caller_address: net::SocketAddr,
    /// Where other hosts fetch what it knows.
    pub peer_address: net::SocketAddr,
    /// Where heartbeats go (UDP).
    pub heartbeat_address: net::SocketAddr,
}

/// What a host tells the others at regular times.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PeerHeartbeat {
    /// Who it is.
    pub host: HostRecord,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it was told to stop.
    pub leaving: bool,
    /// The configuration that it has in force; 0 for none.
    pub configuration_version: u64,
    /// The store's count up to which its list of servers is current.
    pub fleet_revision: u64,
    /// The store's count up to which its list of evacuated halls is current.
    pub evacuation_revision: u64,
}

/// Everything that a host can tell another whom the store does not answer.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub struct PeerSnapshot {
    /// The configuration in force.
    pub configuration: Option<ServiceConfiguration>,
    /// The backend servers.
    pub servers: Vec<ServerRecord>,
    /// The store's count up to which the servers are current; 0 when they were never listed.
    pub fleet_revision: u64,
    /// Halls that get no work.
    pub evacuated: Vec<String>,
    /// The store's count up to which these halls are current; 0 when they were never listed.
    pub evacuation_revision: u64,
    /// The entry hosts.
    pub hosts: Vec<HostRecord>,
}

#[derive(Debug)]
struct PeerEntry {
    record: HostRecord,
    heard: Option<Moment>,
    met: Moment,
    ready: bool,
    leaving: bool,
}

/// What a heartbeat changed, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerChange {
    /// A host, or a new run of it, is heard for the first time, or again after a silence.
    Heard,
    /// It leaves.
    Leaving,
    /// Nothing that callers would notice.
    None,
}

/// The other entry hosts.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: collections::HashMap<String, PeerEntry>,
}

impl PeerTable {
    /// Learns of a host from the store or another host.
    pub fn on_record(&mut self, record: &HostRecord, now: Moment) {
        let known = self.peers.get(&record.name);
        if known.is_some_and(|known| known.record.run >= record.run) {
            return;
        }
        self.peers.insert(
            record.name.clone(),
            PeerEntry {
                record: record.clone(),
                heard: None,
                met: now,
                ready: false,
                leaving: false,
            },
        );
    }

    /// A host was heard.
    pub fn on_heartbeat(&mut self, heartbeat: &PeerHeartbeat, now: Moment) -> PeerChange {
        self.on_record(&heartbeat.host, now);
        let Some(peer) = self.peers.get_mut(&heartbeat.host.name) else {
            return PeerChange::None;
        };
        if peer.record.run > heartbeat.host.run {
            return PeerChange::None;
        }
        let silent = peer.heard.is_none_or(|heard| now.since(heard) > SILENT_MS);
        let turned = heartbeat.leaving && !peer.leaving;
        peer.heard = Some(now);
        peer.ready = heartbeat.ready;
        // A host that leaves never comes back in the same run; a late datagram must not undo that.
        peer.leaving |= heartbeat.leaving;
        match (turned, silent) {
            (true, _) => PeerChange::Leaving,
            (false, true) => PeerChange::Heard,
            (false, false) => PeerChange::None,
        }
    }

    /// A host's entry is gone from the store.
    pub fn on_removed(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Where heartbeats go: every host that may live.
    pub fn heartbeat_targets(&self) -> impl Iterator<Item = net::SocketAddr> {
        self.peers
            .values()
            .map(|peer| peer.record.heartbeat_address)
    }

    /// Where what others know can be fetched, the last heard first.
    #[must_use]
    pub fn snapshot_sources(&self) -> Vec<net::SocketAddr> {
        let mut peers: Vec<_> = self.peers.values().collect();
        peers.sort_by_key(|peer| std::cmp::Reverse(peer.heard));
        peers
            .into_iter()
            .map(|peer| peer.record.peer_address)
            .collect()
    }

    /// The records of all others.
    pub fn records(&self) -> impl Iterator<Item = &HostRecord> {
        self.peers.values().map(|peer| &peer.record)
    }

    /// All hosts that shared limits are divided by, this one included.
    #[must_use]
    pub fn host_count(&self) -> u32 {
        u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Whether `own` is the first by name of the hosts that are heard.
    #[must_use]
    pub fn is_first_alive(&self, own: &str, now: Moment) -> bool {
        !self.peers.values().any(|peer| {
            let heard = peer.heard.is_some_and(|heard| now.since(heard) <= SILENT_MS);
            heard && !peer.leaving && peer.record.name.as_str() < own
        })
    }

    /// Hosts that were silent for so long that their entries may be removed.
    #[must_use]
    pub fn removable(&self, now: Moment) -> Vec<String> {
        self.peers
            .values()
            .filter(|peer| now.since(peer.heard.unwrap_or(peer.met)) > REMOVE_MS)
            .map(|peer| peer.record.name.clone())
            .collect()
    }

    /// The hosts to name to a caller of `hall` in `region`: those that live, are ready and stay.
    /// Its own region's, if there are any, else all.
    #[must_use]
    pub fn named_for(
        &self,
        region: &str,
        own: Option<&HostRecord>,
        now: Moment,
    ) -> Vec<net::SocketAddr> {
        let live: Vec<&HostRecord> = self
            .peers
            .values()
            .filter(|peer| {
                let heard = peer.heard.is_some_and(|heard| now.since(heard) <= SILENT_MS);
                heard && peer.ready && !peer.leaving
            })
            .map(|peer| &peer.record)
            .chain(own)
            .collect();
        let near = live.iter().filter(|record| record.region == region);
        let mut named: Vec<_> = near.map(|record| record.caller_address).collect();
        if named.is_empty() {
            named = live.iter().map(|record| record.caller_address).collect();
        }
        named.sort_unstable();
        named.truncate(MAX_NAMED);
        named
    }
}
