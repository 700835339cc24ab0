//! The entry hosts that this one knows: who lives, who is ready, whom callers are sent to.
//!
//! What hosts tell of third ones stands in `heard`, how they find out whom they lack in `reconcile`, how many there are in `region_size`, where datagrams go in `targets`, and who
//! watches the store in `watchers`.

mod grantors;
mod heard;
mod keepers;
mod limit_keepers;
mod reconcile;
mod region_size;
mod suspect_keepers;
mod targets;
mod watchers;

use std::{cell, collections, net, rc};

pub use self::grantors::GrantorPlace;
pub use self::keepers::ENTRY_KEEPERS;
pub use self::limit_keepers::{KeeperPlace, KeeperQuery};
pub use self::targets::{NEAR_TARGETS, NEWS_RELAYS, NewsTargets};
pub use self::watchers::WATCHERS;
use super::hash;
use super::peer_message::{PeerHeartbeat, WatchState};
use crate::timer::Moment;

/// A host that was not heard for this long is not named to callers, in milliseconds. Four
/// heartbeats, so that one lost datagram changes nothing; well inside the time in which callers
/// must not be sent to a host that is gone.
pub const SILENT_MS: u64 = 2_000;
/// The same in a region so large that most hosts are heard of through others: two more heartbeats,
/// in which the word goes round, in milliseconds.
pub const INDIRECT_SILENT_MS: u64 = 3_000;
/// A host of the own region that was silent for this long is forgotten, and its entry is removed from the
/// store, in milliseconds.
const REMOVE_MS: u64 = 20_000;
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
    /// The hosts that it knew in its region when this was written, itself included; 0 where it did not tell.
    #[serde(default)]
    pub region_hosts: u32,
}

/// What is known of one of them.
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
    fn is_heard(&self, now: Moment, silent_ms: u64) -> bool {
        self.heard
            .is_some_and(|heard| now.since(heard) <= silent_ms)
    }

    /// Heard, or met so lately that its first heartbeat may be on its way.
    fn may_live(&self, now: Moment, silent_ms: u64) -> bool {
        now.since(self.heard.unwrap_or(self.met)) <= silent_ms
    }

    /// Heard lately, and not about to stop.
    fn stays(&self, now: Moment, silent_ms: u64) -> bool {
        self.is_heard(now, silent_ms) && !self.leaving
    }

    /// It was heard itself.
    fn on_heartbeat(
        &mut self,
        heartbeat: &PeerHeartbeat,
        now: Moment,
        silent_ms: u64,
    ) -> PeerChange {
        let silent = !self.is_heard(now, silent_ms);
        let turned = heartbeat.leaving && !self.leaving;
        self.heard = Some(now);
        self.ready = heartbeat.ready;
        self.watch = heartbeat.watch;
        // A host that leaves never comes back in the same run; a late datagram must not undo that.
        self.leaving |= heartbeat.leaving;
        match (turned, silent) {
            (true, _) => PeerChange::Leaving,
            (false, true) => PeerChange::Heard,
            (false, false) => PeerChange::None,
        }
    }
}

/// The hosts that callers may be sent to.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NamedHosts {
    /// Where callers connect.
    pub addresses: Vec<net::SocketAddr>,
    /// Whether they stand in other regions than the caller, since none of its own is known to live.
    pub is_elsewhere: bool,
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
    /// Its order is the same in each run, so that what a random source of the same seed chooses from it is.
    peers: rustc_hash::FxHashMap<String, PeerEntry>,
    /// Names by their short hashes.
    names: collections::HashMap<u32, String>,
    /// What was asked of others.
    reconcile: reconcile::ReconcileState,
    /// How many hosts of each region are known.
    region_counts: collections::BTreeMap<String, u32>,
    /// Hashes of all names; made when asked for, since a host that starts meets hundreds. With all
    /// indexes made anew for each, meeting 295 hosts took 7.3 ms of a whole core; now 0.17 ms
    /// (five runs of a loop over new records).
    hashes: cell::RefCell<Option<rc::Rc<[u64]>>>,
    /// Entries of hosts in the store, on hosts that watch it.
    entries: collections::HashMap<String, keepers::HostEntry>,
    /// The most hosts of each region that others told of lately.
    told_sizes: collections::BTreeMap<String, region_size::ToldSize>,
    /// Whether the entries in the store were ever read.
    entries_read: bool,
    /// Whether all hosts are known, as far as can be told.
    listed: bool,
    /// Whether the settings name seeds beside this host, so that there probably are other hosts.
    may_have_peers: bool,
}

impl PeerTable {
    /// Learns of a host from the store or another host.
    pub fn on_record(&mut self, record: &HostRecord, now: Moment) {
        self.on_told_size(&record.region, record.region_hosts, now);
        let known = self.peers.get(&record.name);
        if known.is_some_and(|known| known.record.run >= record.run) {
            return;
        }
        let entry = PeerEntry {
            record: record.clone(),
            heard: None,
            met: now,
            ready: false,
            leaving: false,
            watch: WatchState::Idle,
        };
        let before = self.peers.insert(record.name.clone(), entry);
        match before {
            Some(before) => self.uncount(&before.record.region),
            None => self.on_new_name(&record.name),
        }
        // Those that start together find the store without entries, and know each other by heartbeats.
        if self.entries_read && self.entries.is_empty() {
            self.on_listed();
        }
        let count = self.region_counts.entry(record.region.clone());
        *count.or_default() += 1;
    }

    fn on_new_name(&mut self, name: &str) {
        self.reconcile.on_new_name();
        self.names.insert(heard::short_hash(name), name.to_owned());
        *self.hashes.get_mut() = None;
    }

    fn uncount(&mut self, region: &str) {
        if let Some(count) = self.region_counts.get_mut(region) {
            *count = count.saturating_sub(1);
        }
    }

    /// A host was heard.
    pub fn on_heartbeat(&mut self, heartbeat: &PeerHeartbeat, now: Moment) -> PeerChange {
        if let Some(record) = &heartbeat.record {
            self.on_record(record, now);
        }
        self.on_told(&heartbeat.heard, now);
        let region = self
            .peers
            .get(&heartbeat.host)
            .map(|peer| &peer.record.region);
        let silent_ms = region.map_or(SILENT_MS, |region| self.silent_ms(region));
        match self.peers.get_mut(&heartbeat.host) {
            Some(peer) if peer.record.run == heartbeat.run => {
                peer.on_heartbeat(heartbeat, now, silent_ms)
            }
            _ => PeerChange::None,
        }
    }

    /// The entry of a host's run is gone from the store. Word of an earlier run's end may come late.
    pub fn on_removed(&mut self, name: &str, run: u64) {
        let known = self.peers.get(name);
        if known.is_some_and(|known| known.record.run <= run)
            && let Some(removed) = self.peers.remove(name)
        {
            self.uncount(&removed.record.region);
            self.names.remove(&heard::short_hash(name));
            *self.hashes.get_mut() = None;
        }
    }

    /// The run of a host that is known; 0 for none.
    #[must_use]
    pub fn run_of(&self, name: &str) -> u64 {
        self.peers.get(name).map_or(0, |peer| peer.record.run)
    }

    /// Hashes of the names of all others; `None` until the whole list was read.
    #[must_use]
    pub fn other_hashes(&self) -> Option<rc::Rc<[u64]>> {
        let hash_all = || self.peers.keys().map(|name| hash::of_name(name)).collect();
        self.listed.then(|| {
            let mut hashes = self.hashes.borrow_mut();
            rc::Rc::clone(hashes.get_or_insert_with(hash_all))
        })
    }

    fn near<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a PeerEntry> {
        let peers = self.peers.values();
        peers.filter(move |peer| peer.record.region == region)
    }

    /// How long a host of `region` may be silent before it counts as gone, in milliseconds.
    fn silent_ms(&self, region: &str) -> u64 {
        let count = self.region_counts.get(region);
        if count.is_some_and(|count| *count as usize > NEAR_TARGETS) {
            INDIRECT_SILENT_MS
        } else {
            SILENT_MS
        }
    }

    /// Where the peer address of a host is, if it is known.
    #[must_use]
    pub fn peer_address(&self, host: &str) -> Option<net::SocketAddr> {
        self.peers.get(host).map(|peer| peer.record.peer_address)
    }

    /// Where the datagrams of a host go, if it is known.
    #[must_use]
    pub fn heartbeat_address(&self, host: &str) -> Option<net::SocketAddr> {
        self.peers
            .get(host)
            .map(|peer| peer.record.heartbeat_address)
    }

    /// Whether the host with this peer address is known to stand in `region`.
    #[must_use]
    pub fn stands_in(&self, peer_address: net::SocketAddr, region: &str) -> bool {
        let mut near = self.near(region);
        near.any(|peer| peer.record.peer_address == peer_address)
    }

    /// Whether any other host is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The records of all others.
    pub fn records(&self) -> impl Iterator<Item = &HostRecord> {
        self.peers.values().map(|peer| &peer.record)
    }

    /// Whether the entries of hosts in the store were ever read here.
    #[must_use]
    pub const fn has_read_entries(&self) -> bool {
        self.entries_read
    }

    /// The settings name seeds beside this host.
    pub const fn on_other_seeds(&mut self) {
        self.may_have_peers = true;
    }

    /// All hosts are known, since another host that knows them told, or enough time has passed.
    pub const fn on_listed(&mut self) {
        self.listed = true;
    }

    /// Whether all hosts are known, as far as can be told.
    #[must_use]
    pub const fn is_listed(&self) -> bool {
        self.listed
    }

    /// Whether a host of each of these halls is known.
    pub fn knows_halls<'a>(&self, mut halls: impl Iterator<Item = &'a str>) -> bool {
        halls.all(|hall| self.records().any(|record| record.hall == hall))
    }

    /// The hosts to name to a caller in `region`: those that live, are ready and stay, and `own`. Its own
    /// region's, if there are any, else all.
    #[must_use]
    pub fn named_for(&self, region: &str, own: Option<&HostRecord>, now: Moment) -> NamedHosts {
        let near = self.live_addresses(|record| record.region == region, own, now);
        if !near.is_empty() {
            return NamedHosts {
                addresses: near,
                is_elsewhere: false,
            };
        }
        NamedHosts {
            addresses: self.live_addresses(|_| true, own, now),
            is_elsewhere: true,
        }
    }

    fn live_addresses(
        &self,
        is_wanted: impl Fn(&HostRecord) -> bool,
        own: Option<&HostRecord>,
        now: Moment,
    ) -> Vec<net::SocketAddr> {
        let live = self.peers.values().filter(|peer| {
            let silent_ms = self.silent_ms(&peer.record.region);
            peer.stays(now, silent_ms) && peer.ready
        });
        live.map(|peer| &peer.record)
            .chain(own)
            .filter(|record| is_wanted(record))
            .map(|record| record.caller_address)
            .collect()
    }
}
