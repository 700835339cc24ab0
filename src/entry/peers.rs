//! The entry hosts that this one knows: who lives, who is ready, whom callers are sent to.

use std::{collections, net, rc};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use xxhash_rust::xxh3;

use super::peer_message::{PeerHeartbeat, WatchState};
use crate::timer::Moment;

/// A host that was not heard for this long is not named to callers. Four heartbeats, so that one
/// lost datagram changes nothing; well inside the time in which callers must not be sent to a host
/// that is gone.
pub const SILENT_MS: u64 = 2_000;
/// A silent host's entry is removed from the store after this long.
pub const REMOVE_MS: u64 = 20_000;
/// Hosts of a region that watch the store. A second one sees what the first may miss.
pub const WATCHERS: usize = 2;
/// Hosts that are assumed until the whole list was read: the largest deployments in use have about
/// as many.
const UNLISTED_HOSTS: u32 = 100;
/// Hosts of other regions that each heartbeat goes to.
const FAR_TARGETS: usize = 2;
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
    /// The part of a core that it has, in thousandths; the larger hosts watch the store.
    pub processor_milli: u32,
}

impl HostRecord {
    /// The order in which hosts of a region watch the store: the larger first, then by a hash.
    fn watch_order(&self) -> (std::cmp::Reverse<u32>, u64) {
        let hash = xxh3::xxh3_64(self.name.as_bytes());
        (std::cmp::Reverse(self.processor_milli), hash)
    }
}

#[derive(Debug)]
struct PeerEntry {
    record: HostRecord,
    heard: Option<Moment>,
    met: Moment,
    ready: bool,
    leaving: bool,
    watch: WatchState,
}

impl PeerEntry {
    fn is_heard(&self, now: Moment) -> bool {
        self.heard
            .is_some_and(|heard| now.since(heard) <= SILENT_MS)
    }

    /// Heard, or met so lately that its first heartbeat may be on its way.
    fn may_live(&self, now: Moment) -> bool {
        now.since(self.heard.unwrap_or(self.met)) <= SILENT_MS
    }
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
    hashes: rc::Rc<[u64]>,
    listed: bool,
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
                watch: WatchState::Idle,
            },
        );
        self.rehash();
    }

    /// A host was heard.
    pub fn on_heartbeat(&mut self, heartbeat: &PeerHeartbeat, now: Moment) -> PeerChange {
        if let Some(record) = &heartbeat.record {
            self.on_record(record, now);
        }
        let Some(peer) = self.peers.get_mut(&heartbeat.host) else {
            return PeerChange::None;
        };
        if peer.record.run != heartbeat.run {
            return PeerChange::None;
        }
        let silent = peer.heard.is_none_or(|heard| now.since(heard) > SILENT_MS);
        let turned = heartbeat.leaving && !peer.leaving;
        peer.heard = Some(now);
        peer.ready = heartbeat.ready;
        peer.watch = heartbeat.watch;
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
        self.rehash();
    }

    fn rehash(&mut self) {
        let hash = |name: &String| xxh3::xxh3_64(name.as_bytes());
        self.hashes = self.peers.keys().map(hash).collect();
    }

    /// Hashes of the names of all others; `None` until the whole list was read.
    #[must_use]
    pub fn other_hashes(&self) -> Option<rc::Rc<[u64]>> {
        self.listed.then(|| rc::Rc::clone(&self.hashes))
    }

    /// Where heartbeats go: to the hosts of the own region, whose callers must not be sent to one
    /// that is gone, and to a few others, by whom news travels on.
    #[must_use]
    pub fn heartbeat_targets(&self, region: &str, random: &mut SmallRng) -> Vec<net::SocketAddr> {
        let (near, far): (Vec<_>, Vec<_>) = self
            .peers
            .values()
            .map(|peer| &peer.record)
            .partition(|record| record.region == region);
        let far = far.choose_multiple(random, FAR_TARGETS);
        near.iter()
            .chain(far)
            .map(|record| record.heartbeat_address)
            .collect()
    }

    /// Where news goes that all hosts need at once.
    pub fn all_targets(&self) -> impl Iterator<Item = net::SocketAddr> {
        self.peers
            .values()
            .map(|peer| peer.record.heartbeat_address)
    }

    /// Where the peer address of a host is, if it is known.
    #[must_use]
    pub fn peer_address(&self, host: &str) -> Option<net::SocketAddr> {
        self.peers.get(host).map(|peer| peer.record.peer_address)
    }

    /// Whether any other host is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Whether `own` is one of the hosts of its region that watch the store: fewer than
    /// [`WATCHERS`] hosts come before it that live and do not say that the store is lost to them.
    #[must_use]
    pub fn is_watcher(&self, own: &HostRecord, now: Moment) -> bool {
        let before = self.peers.values().filter(|peer| {
            peer.record.region == own.region
                && peer.record.watch_order() < own.watch_order()
                && peer.may_live(now)
                && !peer.leaving
                && peer.watch != WatchState::Blind
        });
        before.count() < WATCHERS
    }

    /// The records of all others.
    pub fn records(&self) -> impl Iterator<Item = &HostRecord> {
        self.peers.values().map(|peer| &peer.record)
    }

    /// The whole list of hosts was read, from the store or from a host that had read it.
    pub const fn on_listed(&mut self) {
        self.listed = true;
    }

    /// Whether the whole list of hosts was ever read.
    #[must_use]
    pub const fn is_listed(&self) -> bool {
        self.listed
    }

    /// All hosts that shared limits are divided by, this one included. A host that has just
    /// started and has met few others must not take their parts, so it counts many.
    #[must_use]
    pub fn host_count(&self) -> u32 {
        let known = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        if self.listed {
            known
        } else {
            known.max(UNLISTED_HOSTS)
        }
    }

    /// Whether `own` is the first by name of the live hosts of its region.
    #[must_use]
    pub fn is_first_alive(&self, own: &HostRecord, now: Moment) -> bool {
        !self.peers.values().any(|peer| {
            let near = peer.record.region == own.region;
            near && peer.is_heard(now) && !peer.leaving && peer.record.name < own.name
        })
    }

    /// Hosts of a region that were silent for so long that their entries may be removed.
    #[must_use]
    pub fn removable(&self, region: &str, now: Moment) -> Vec<String> {
        self.peers
            .values()
            .filter(|peer| peer.record.region == region)
            .filter(|peer| now.since(peer.heard.unwrap_or(peer.met)) > REMOVE_MS)
            .map(|peer| peer.record.name.clone())
            .collect()
    }

    /// The hosts to name to a caller in `region`: those that live, are ready and stay. Its own
    /// region's, if there are any, else all.
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
            .filter(|peer| peer.is_heard(now) && peer.ready && !peer.leaving)
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
