//! Selects the hosts that register in the store, and forgets hosts that are gone.
//!
//! **Load pattern.** Each call of the store is paid for, and hundreds of hosts that return at once
//! would each create, find, read and replace an entry. The entries only have to let a new host find
//! some other host, so a few hosts of each hall register; all others are known through gossip.

use std::collections;

use super::{HostRecord, PeerTable, REMOVE_TIMEOUT_MS};
use crate::entry::peer_message::GoneHost;
use crate::timer::Moment;

/// Hosts per hall that register in the store. With three, two may fail at the same moment and one
/// is still found. If a whole hall or region is lost, the entries of the others remain; if all
/// hosts are lost, they return at the same addresses and their entries remain.
pub const REGISTERED_HOSTS_PER_HALL: usize = 3;
/// A host of another region not seen for this long is forgotten, in milliseconds. Each heartbeat
/// goes to two hosts of other regions, so in a fleet of 470 hosts a given one is seen about every
/// 80 s.
const REMOTE_REMOVE_TIMEOUT_MS: u64 = 600_000;

/// A host's entry in the store.
#[derive(Debug)]
pub(super) struct HostEntry {
    run: u64,
    region: String,
}

impl PeerTable {
    /// Whether `own` is one of the hosts of its hall that register in the store.
    #[must_use]
    pub fn should_register(&self, own: &HostRecord, now: Moment) -> bool {
        let timeout_ms = self.timeout_ms(&own.region);
        let before = self.in_region(&own.region).filter(|peer| {
            peer.record.hall == own.hall
                && peer.record.watcher_rank() < own.watcher_rank()
                && peer.is_active(now, timeout_ms)
        });
        before.count() < REGISTERED_HOSTS_PER_HALL
    }

    /// Peer addresses of the hosts in the hall of `own` that are probably registered: the first by
    /// size and name hash.
    #[must_use]
    pub fn registered_hall_hosts(&self, own: &HostRecord) -> Vec<std::net::SocketAddr> {
        let local = self.in_region(&own.region).map(|peer| &peer.record);
        let mut hall: Vec<_> = local.filter(|record| record.hall == own.hall).collect();
        hall.sort_by_key(|record| record.watcher_rank());
        let registered = hall.iter().take(REGISTERED_HOSTS_PER_HALL);
        registered.map(|record| record.peer_address).collect()
    }

    /// Forgets hosts that were not seen for too long, and returns those of `region`.
    pub fn forget_silent(&mut self, region: &str, now: Moment) -> Vec<GoneHost> {
        let silence_ms =
            |peer: &super::PeerEntry| now.since(peer.last_seen.unwrap_or(peer.discovered_at));
        let is_expired = |peer: &super::PeerEntry| {
            let is_local = peer.record.region == region;
            silence_ms(peer)
                > if is_local {
                    REMOVE_TIMEOUT_MS
                } else {
                    REMOTE_REMOVE_TIMEOUT_MS
                }
        };
        let expired = self.peers.values().filter(|peer| is_expired(peer));
        let expired: Vec<HostRecord> = expired.map(|peer| peer.record.clone()).collect();
        for record in &expired {
            self.on_removed(&record.name, record.run);
        }
        let local = expired.into_iter().filter(|record| record.region == region);
        local
            .map(|record| GoneHost {
                name: record.name,
                run: record.run,
            })
            .collect()
    }

    /// Applies the complete list of host entries from the store. A hall with fewer than
    /// [`REGISTERED_HOSTS_PER_HALL`] entries has no other hosts; if that holds for every hall, all
    /// hosts are known. An empty list proves nothing while no other host is known, because hosts
    /// that start together register later.
    pub fn on_entries(&mut self, records: &[HostRecord]) {
        self.entries_read = true;
        self.store_entries.clear();
        let mut halls = collections::BTreeMap::<&str, usize>::new();
        for record in records {
            self.on_entry(record);
            *halls.entry(&record.hall).or_default() += 1;
        }
        let are_few = halls
            .values()
            .all(|count| *count < REGISTERED_HOSTS_PER_HALL);
        if are_few && !(records.is_empty() && self.may_have_peers && self.is_empty()) {
            self.on_membership_complete();
        }
    }

    /// Records that the store has an entry for this run of a host.
    pub fn on_entry(&mut self, record: &HostRecord) {
        let entry = HostEntry {
            run: record.run,
            region: record.region.clone(),
        };
        self.store_entries.insert(record.name.clone(), entry);
    }

    /// Records that the entry of this run of a host is gone from the store.
    pub fn on_entry_gone(&mut self, name: &str, run: u64) {
        if self
            .store_entries
            .get(name)
            .is_some_and(|entry| entry.run <= run)
        {
            self.store_entries.remove(name);
        }
    }

    /// Entries in the region of `own` whose hosts are already forgotten, as far as this host has
    /// seen them in the store.
    #[must_use]
    pub fn abandoned_entries(&self, own: &HostRecord) -> Vec<GoneHost> {
        let entries = self.store_entries.iter();
        let entries =
            entries.filter(|(name, entry)| entry.region == own.region && **name != own.name);
        let abandoned = entries.filter(|(name, entry)| self.run_of(name) < entry.run);
        abandoned
            .map(|(name, entry)| GoneHost {
                name: name.clone(),
                run: entry.run,
            })
            .collect()
    }
}
