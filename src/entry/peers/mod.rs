//! Tracks the other entry hosts: which are alive and ready, and which addresses lookups return.
//!
//! [`PeerTable`] is filled from the store and from heartbeats. Its submodules handle one task each:
//! `peer_status` the gossip about third hosts, `reconcile` finding missing hosts, `region_size`
//! host counts, `targets` the recipients of datagrams, `watchers` the choice of hosts that watch
//! the store, and `registration`, `coordinators`, `limit_owners`, `suspect_trackers` and
//! `handoff_targets` the choice of hosts for other duties.

mod coordinators;
mod handoff_targets;
mod limit_owners;
mod peer_status;
mod reconcile;
mod region_size;
mod registration;
mod suspect_trackers;
mod targets;
mod watchers;

use std::{cell, collections, net, rc};

pub use self::coordinators::CoordinatorAddress;
pub use self::handoff_targets::{HandoffQuery, HandoffTarget};
pub use self::limit_owners::{LimitOwner, LimitOwnerQuery};
pub use self::registration::REGISTERED_HOSTS_PER_HALL;
pub use self::targets::{HEARTBEAT_FANOUT, RELAYS_PER_HALL, UpdateTargets};
pub use self::watchers::{WATCHERS_PER_REGION, WatchCandidate};
use super::hash;
use super::peer_message::{PeerHeartbeat, WatchState};
use crate::timer::Moment;

/// A host not seen for this long is no longer advertised to callers, in milliseconds. Four
/// heartbeats fit in, so one lost datagram changes nothing, and it is well below the time within
/// which callers must stop being sent to a failed host.
pub const PEER_TIMEOUT_MS: u64 = 2_000;
/// The same in a region where most hosts are seen only through gossip: two more heartbeats for the
/// status to spread, in milliseconds.
pub const INDIRECT_PEER_TIMEOUT_MS: u64 = 3_000;
/// A host of the own region not seen for this long is forgotten and its entry is removed from the
/// store, in milliseconds.
const REMOVE_TIMEOUT_MS: u64 = 20_000;
/// One run of an entry host, as it is written to the store and sent to other hosts.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HostRecord {
    /// The host's name.
    pub name: String,
    /// Increases with each start of the host's process.
    pub run: u64,
    /// The hall that the host is in.
    pub hall: String,
    /// The region of that hall.
    pub region: String,
    /// Address for callers.
    pub caller_address: net::SocketAddr,
    /// Address from which other hosts fetch state.
    pub peer_address: net::SocketAddr,
    /// UDP address for heartbeats and other datagrams.
    pub heartbeat_address: net::SocketAddr,
    /// The host's share of a core, in thousandths. Larger hosts watch the store.
    pub processor_milli: u32,
    /// Number of hosts that this host knew in its region when it wrote the record, itself included;
    /// 0 if it did not report any.
    #[serde(default)]
    pub region_hosts: u32,
}

/// State of one other host.
#[derive(Debug)]
struct PeerEntry {
    record: HostRecord,
    last_seen: Option<Moment>,
    discovered_at: Moment,
    ready: bool,
    /// Whether it reaches servers of at least one service.
    reaches_servers: bool,
    leaving: bool,
    watch: WatchState,
}

impl PeerEntry {
    fn is_alive(&self, now: Moment, timeout_ms: u64) -> bool {
        self.last_seen
            .is_some_and(|seen| now.since(seen) <= timeout_ms)
    }

    /// Whether the host was seen, or discovered, so recently that it may be alive.
    fn may_be_alive(&self, now: Moment, timeout_ms: u64) -> bool {
        self.silent_ms(now) <= timeout_ms
    }

    /// How long ago the host was seen, in milliseconds, or discovered: the first heartbeat of a newly
    /// discovered host may still be on its way.
    fn silent_ms(&self, now: Moment) -> u64 {
        now.since(self.last_seen.unwrap_or(self.discovered_at))
    }

    /// Whether the host is alive and has not announced its shutdown.
    fn is_active(&self, now: Moment, timeout_ms: u64) -> bool {
        self.is_alive(now, timeout_ms) && !self.leaving
    }

    /// Applies a heartbeat that came from the host itself.
    fn on_heartbeat(
        &mut self,
        heartbeat: &PeerHeartbeat,
        now: Moment,
        timeout_ms: u64,
    ) -> PeerChange {
        let was_silent = !self.is_alive(now, timeout_ms);
        let starts_leaving = heartbeat.leaving && !self.leaving;
        self.last_seen = Some(now);
        self.ready = heartbeat.ready;
        self.reaches_servers = heartbeat.reaches_servers;
        self.watch = heartbeat.watch;
        // A leaving host never returns in the same run; a late datagram must not reset the flag.
        self.leaving |= heartbeat.leaving;
        match (starts_leaving, was_silent) {
            (true, _) => PeerChange::Leaving,
            (false, true) => PeerChange::Appeared,
            (false, false) => PeerChange::None,
        }
    }
}

/// A host that can serve callers.
#[derive(Debug, Clone, Copy)]
pub struct ServingHost<'a> {
    /// Its record.
    pub record: &'a HostRecord,
    /// Whether it reaches servers of at least one service.
    pub reaches_servers: bool,
}

/// Hosts that callers may be sent to.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AdvertisedHosts {
    /// Addresses for callers.
    pub addresses: Vec<net::SocketAddr>,
    /// Whether the hosts are in other regions than the caller, because none of the caller's region
    /// is known to be alive.
    pub is_remote: bool,
}

/// The effect of a heartbeat, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerChange {
    /// A host or a new run of it was seen for the first time, or again after a timeout.
    Appeared,
    /// The host announced its shutdown.
    Leaving,
    /// Nothing that concerns callers.
    None,
}

/// The other entry hosts.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// After the same insertions, `FxHashMap` iterates in the same order in every process, so
    /// random choices with the same seed give the same hosts.
    peers: rustc_hash::FxHashMap<String, PeerEntry>,
    /// Host names by the short hashes used in gossip.
    names_by_hash: collections::HashMap<u32, String>,
    /// State of the requests for missing hosts.
    reconcile: reconcile::ReconcileState,
    /// Number of known hosts by region.
    region_counts: collections::BTreeMap<String, u32>,
    /// Hashes of all host names, computed on demand. Rebuilding all indexes for each new host took
    /// 7.3 ms of a whole core for 295 hosts; this takes 0.17 ms.
    name_hashes: cell::RefCell<Option<rc::Rc<[u64]>>>,
    /// Entries of hosts in the store; filled only on hosts that watch the store.
    store_entries: collections::HashMap<String, registration::HostEntry>,
    /// The largest recently reported size of each region.
    reported_sizes: collections::BTreeMap<String, region_size::ReportedSize>,
    /// Whether the entries in the store were read at least once.
    entries_read: bool,
    /// Whether all hosts are presumed to be known.
    membership_complete: bool,
    /// Whether the settings name other seeds, so that other hosts probably exist.
    may_have_peers: bool,
    /// The shortest time in which changes in the store must be in force, in milliseconds.
    shortest_bound_ms: Option<u64>,
}

impl PeerTable {
    /// Adds a host, or a newer run of it, learned from the store or another host.
    pub fn on_record(&mut self, record: &HostRecord, now: Moment) {
        self.on_reported_size(&record.region, record.region_hosts, now);
        let known = self.peers.get(&record.name);
        if known.is_some_and(|known| known.record.run >= record.run) {
            return;
        }
        let entry = PeerEntry {
            record: record.clone(),
            last_seen: None,
            discovered_at: now,
            ready: false,
            reaches_servers: true,
            leaving: false,
            watch: WatchState::Idle,
        };
        let previous = self.peers.insert(record.name.clone(), entry);
        match previous {
            Some(previous) => self.decrement_region_count(&previous.record.region),
            None => self.on_new_name(&record.name),
        }
        // Hosts that start together find no entries in the store and learn of each other by
        // heartbeats.
        if self.entries_read && self.store_entries.is_empty() {
            self.on_membership_complete();
        }
        let count = self.region_counts.entry(record.region.clone());
        *count.or_default() += 1;
    }

    fn on_new_name(&mut self, name: &str) {
        self.reconcile.on_new_name();
        self.names_by_hash
            .insert(peer_status::short_hash(name), name.to_owned());
        *self.name_hashes.get_mut() = None;
    }

    fn decrement_region_count(&mut self, region: &str) {
        if let Some(count) = self.region_counts.get_mut(region) {
            *count = count.saturating_sub(1);
        }
    }

    /// Applies a heartbeat and the peer statuses in it.
    pub fn on_heartbeat(&mut self, heartbeat: &PeerHeartbeat, now: Moment) -> PeerChange {
        if let Some(record) = &heartbeat.record {
            self.on_record(record, now);
        }
        self.on_statuses(&heartbeat.peer_statuses, now);
        let region = self
            .peers
            .get(&heartbeat.host)
            .map(|peer| &peer.record.region);
        let timeout_ms = region.map_or(PEER_TIMEOUT_MS, |region| self.timeout_ms(region));
        match self.peers.get_mut(&heartbeat.host) {
            Some(peer) if peer.record.run == heartbeat.run => {
                peer.on_heartbeat(heartbeat, now, timeout_ms)
            }
            _ => PeerChange::None,
        }
    }

    /// Removes a host after its entry is gone from the store, unless a later run is known. The
    /// report of an earlier run's end may arrive late.
    pub fn on_removed(&mut self, name: &str, run: u64) {
        let known = self.peers.get(name);
        if known.is_some_and(|known| known.record.run <= run)
            && let Some(removed) = self.peers.remove(name)
        {
            self.decrement_region_count(&removed.record.region);
            self.names_by_hash.remove(&peer_status::short_hash(name));
            *self.name_hashes.get_mut() = None;
        }
    }

    /// The known run of a host; 0 if the host is unknown.
    #[must_use]
    pub fn run_of(&self, name: &str) -> u64 {
        self.peers.get(name).map_or(0, |peer| peer.record.run)
    }

    /// Hashes of the names of all other hosts; `None` until all hosts are presumed to be known.
    #[must_use]
    pub fn other_hashes(&self) -> Option<rc::Rc<[u64]>> {
        let hash_all = || self.peers.keys().map(|name| hash::of_name(name)).collect();
        self.membership_complete.then(|| {
            let mut hashes = self.name_hashes.borrow_mut();
            rc::Rc::clone(hashes.get_or_insert_with(hash_all))
        })
    }

    fn in_region<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a PeerEntry> {
        let peers = self.peers.values();
        peers.filter(move |peer| peer.record.region == region)
    }

    /// How long a host of `region` may go unseen before it counts as gone, in milliseconds.
    fn timeout_ms(&self, region: &str) -> u64 {
        let count = self.region_counts.get(region);
        if count.is_some_and(|count| *count as usize > HEARTBEAT_FANOUT) {
            INDIRECT_PEER_TIMEOUT_MS
        } else {
            PEER_TIMEOUT_MS
        }
    }

    /// The peer address of a host, if the host is known.
    #[must_use]
    pub fn peer_address(&self, host: &str) -> Option<net::SocketAddr> {
        self.peers.get(host).map(|peer| peer.record.peer_address)
    }

    /// The heartbeat address of a host, if the host is known.
    #[must_use]
    pub fn heartbeat_address(&self, host: &str) -> Option<net::SocketAddr> {
        self.peers
            .get(host)
            .map(|peer| peer.record.heartbeat_address)
    }

    /// Whether a known host in `region` has this peer address.
    #[must_use]
    pub fn is_in_region(&self, peer_address: net::SocketAddr, region: &str) -> bool {
        let mut hosts = self.in_region(region);
        hosts.any(|peer| peer.record.peer_address == peer_address)
    }

    /// Whether no other host is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The records of all other hosts.
    pub fn records(&self) -> impl Iterator<Item = &HostRecord> {
        self.peers.values().map(|peer| &peer.record)
    }

    /// Whether this host has read the entries in the store at least once.
    #[must_use]
    pub const fn has_read_entries(&self) -> bool {
        self.entries_read
    }

    /// Records that the settings name other seeds.
    pub const fn on_other_seeds(&mut self) {
        self.may_have_peers = true;
    }

    /// Records that all hosts are known: another host reported a complete list, or enough time has
    /// passed.
    pub const fn on_membership_complete(&mut self) {
        self.membership_complete = true;
    }

    /// Whether all hosts are presumed to be known.
    #[must_use]
    pub const fn is_membership_complete(&self) -> bool {
        self.membership_complete
    }

    /// Whether a host of each of these halls is known.
    pub fn knows_halls<'a>(&self, mut halls: impl Iterator<Item = &'a str>) -> bool {
        halls.all(|hall| self.records().any(|record| record.hall == hall))
    }

    /// The hosts to advertise to a caller in `region`: all that are alive, ready and not leaving,
    /// and `own`. Hosts of other regions are included only if the caller's region has none. Hosts
    /// that reach no server are included only if all hosts of all regions are such.
    #[must_use]
    pub fn advertised_for(
        &self,
        region: &str,
        own: Option<ServingHost<'_>>,
        now: Moment,
    ) -> AdvertisedHosts {
        let live: Vec<ServingHost<'_>> = self.serving_hosts(now).chain(own).collect();
        let reaches_any = live.iter().any(|host| host.reaches_servers);
        let wanted = live
            .iter()
            .filter(|host| host.reaches_servers || !reaches_any);
        let (local, remote): (Vec<&HostRecord>, Vec<&HostRecord>) = wanted
            .map(|host| host.record)
            .partition(|record| record.region == region);
        let is_remote = local.is_empty();
        let records = if is_remote { remote } else { local };
        let addresses = records.into_iter().map(|record| record.caller_address);
        AdvertisedHosts {
            addresses: addresses.collect(),
            is_remote,
        }
    }

    /// Whether another host that serves callers reaches servers.
    #[must_use]
    pub fn any_reaches_servers(&self, now: Moment) -> bool {
        self.serving_hosts(now).any(|host| host.reaches_servers)
    }

    /// The other hosts that are alive, ready and not leaving.
    fn serving_hosts(&self, now: Moment) -> impl Iterator<Item = ServingHost<'_>> {
        let live = self.peers.values().filter(move |peer| {
            let timeout_ms = self.timeout_ms(&peer.record.region);
            peer.is_active(now, timeout_ms) && peer.ready
        });
        live.map(|peer| ServingHost {
            record: &peer.record,
            reaches_servers: peer.reaches_servers,
        })
    }
}
